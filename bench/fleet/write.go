package fleet

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"marjoramsaddle/standin/authority"
)

// SettingsFile is the name of a daemon's settings in its host's folder.
const SettingsFile = "settings.json"

const settingsMode = 0o600

// Files are the paths of one host's files.
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

// Settings returns a daemon's settings, which are then encoded as JSON. The
// fleet does not know their format.
type Settings func(host Host, seeds []Host, files Files) any

// Write creates the folder of each host with its certificate and its settings.
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
		if err := os.WriteFile(files.Settings, data, settingsMode); err != nil {
			return fmt.Errorf("write settings of %s: %w", host.Name, err)
		}
	}
	return nil
}
