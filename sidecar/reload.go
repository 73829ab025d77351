package sidecar

import (
	"context"
	"os"
	"reflect"
	"time"

	"go.uber.org/zap"

	"marjoramsaddle/platform"
)

// settingsCheck is how often the settings file is looked at; it may change
// without a signal.
const settingsCheck = time.Second

// SettingsSource supplies the settings anew.
type SettingsSource struct {
	// File is looked at for changes.
	File string
	// ReloadSignals asks for a reload at once.
	ReloadSignals <-chan os.Signal
	Load          func() (platform.Settings, error)
}

// followSettings takes over changed settings.
func (d *Daemon) followSettings(ctx context.Context, source SettingsSource) {
	ticker := time.NewTicker(settingsCheck)
	defer ticker.Stop()
	seen := modified(source.File)
	for {
		select {
		case <-ctx.Done():
			return
		case <-source.ReloadSignals:
		case <-ticker.C:
			latest := modified(source.File)
			if latest.Equal(seen) {
				continue
			}
			seen = latest
		}
		d.reload(source)
	}
}

// modified returns when the file was changed. A file that cannot be looked at
// counts as unchanged until it is back; loading it reports the reason.
func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (d *Daemon) reload(source SettingsSource) {
	loaded, err := source.Load()
	if err != nil {
		d.log.Error("reload refused; the former settings stay", zap.Error(err))
		return
	}
	former := d.settings.Load()
	if reflect.DeepEqual(*former, loaded) {
		d.log.Info("reloaded; nothing has changed")
		return
	}
	if needsRestart(former, &loaded) {
		d.log.Warn("reload refused; addresses change at a restart only")
		return
	}
	d.settings.Store(&loaded)
	d.members.setSeeds(loaded.Seeds)
	d.members.setLink(loaded.LinkRate)
	d.log.Info("reloaded", zap.String("service", string(loaded.Service)), zap.Strings("seeds", loaded.Seeds))
}

// needsRestart reports whether a field has changed that is bound to a socket.
func needsRestart(former, loaded *platform.Settings) bool {
	return former.CallerAddress != loaded.CallerAddress || former.HopAddress != loaded.HopAddress ||
		former.ControlAddress != loaded.ControlAddress || former.ReadinessAddress != loaded.ReadinessAddress ||
		former.BackendAddress != loaded.BackendAddress || former.StoreAddress != loaded.StoreAddress ||
		former.IP != loaded.IP || former.Domain != loaded.Domain
}
