package sidecar

import (
	"context"
	"os"
	"reflect"
	"time"

	"go.uber.org/zap"

	"marjoramsaddle/platform"
)

// settingsPollInterval is how often the settings file is checked for changes, which
// may come without a signal.
const settingsPollInterval = time.Second

// SettingsSource loads the settings again when they may have changed.
type SettingsSource struct {
	// File is checked for changes of its modification time.
	File string
	// ReloadSignals triggers a reload at once.
	ReloadSignals <-chan os.Signal
	Load          func() (platform.Settings, error)
}

// watchSettings reloads the settings on a signal or when the file has changed.
func (d *Daemon) watchSettings(ctx context.Context, source SettingsSource) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModified := modTime(source.File)
	for {
		select {
		case <-ctx.Done():
			return
		case <-source.ReloadSignals:
		case <-ticker.C:
			current := modTime(source.File)
			if current.Equal(lastModified) {
				continue
			}
			lastModified = current
		}
		d.reload(source)
	}
}

// modTime returns the file's modification time. It is zero if the file cannot be
// read, which triggers one reload that reports the reason.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies the loaded settings, unless they are invalid or need a restart.
func (d *Daemon) reload(source SettingsSource) {
	loaded, err := source.Load()
	if err != nil {
		d.log.Error("reload rejected; keeping the previous settings", zap.Error(err))
		return
	}
	previous := d.settings.Load()
	if reflect.DeepEqual(*previous, loaded) {
		d.log.Info("reloaded; settings are unchanged")
		return
	}
	if needsRestart(previous, &loaded) {
		d.log.Warn("reload rejected; changed addresses or domain need a restart")
		return
	}
	d.settings.Store(&loaded)
	d.members.setSeeds(loaded.Seeds)
	d.members.setLinkRate(loaded.LinkRate)
	d.log.Info("reloaded", zap.String("service", string(loaded.Service)), zap.Strings("seeds", loaded.Seeds))
}

// needsRestart reports whether a field that sockets depend on has changed.
func needsRestart(previous, loaded *platform.Settings) bool {
	return previous.CallerAddress != loaded.CallerAddress || previous.HopAddress != loaded.HopAddress ||
		previous.ControlAddress != loaded.ControlAddress || previous.ReadinessAddress != loaded.ReadinessAddress ||
		previous.BackendAddress != loaded.BackendAddress || previous.StoreAddress != loaded.StoreAddress ||
		previous.IP != loaded.IP || previous.Domain != loaded.Domain
}
