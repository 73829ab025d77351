package fleet

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"marjoramsaddle/standin/authority"
)

// SettingsFile is the name of the daemon's settings file in a host's folder.
const SettingsFile = "settings.json"

const settingsFileMode = 0o600

// Files holds the paths of a host's folder and files.
type Files struct {
	Folder      string
	Settings    string
	Root        string
	Certificate string
	Key         string
}

// FilesOf returns the paths of a host's files under a folder.
func FilesOf(dir string, host Host) Files {
	folder := filepath.Join(dir, string(host.Name))
	return Files{
		Folder:      folder,
		Settings:    filepath.Join(folder, SettingsFile),
		Root:        filepath.Join(folder, authority.RootFile),
		Certificate: filepath.Join(folder, authority.CertificateFile),
		Key:         filepath.Join(folder, authority.KeyFile),
	}
}

// Settings is a function that returns a daemon's settings, to be encoded as JSON. This
// package does not depend on their format.
type Settings func(host Host, seeds []Host, files Files) any

// Write creates the folder of each host with its certificate, key and settings.
func (l *Layout) Write(dir string, issuer *authority.Authority, settings Settings) error {
	for i, host := range l.Hosts {
		files := FilesOf(dir, host)
		identity, err := issuer.Issue(host.Domain, host.Name)
		if err != nil {
			return err
		}
		if err := issuer.Write(files.Folder, identity); err != nil {
			return fmt.Errorf("write identity of %s: %w", host.Name, err)
		}
		data, err := json.MarshalIndent(settings(host, l.Seeds(i), files), "", "  ")
		if err != nil {
			return fmt.Errorf("encode settings of %s: %w", host.Name, err)
		}
		if err := os.WriteFile(files.Settings, data, settingsFileMode); err != nil {
			return fmt.Errorf("write settings of %s: %w", host.Name, err)
		}
	}
	return nil
}
