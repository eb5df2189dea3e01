package node

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/platform"
)

// settingsPollInterval is how often the settings file is checked for changes, which
// may come without a signal.
const settingsPollInterval = 5 * time.Second

// settingsFile watches the settings file of a process. It is not safe for concurrent
// use.
type settingsFile struct {
	path    string
	current *platform.Settings
	// modTime is the modification time of the file when it was last read.
	modTime time.Time
	log     *eventlog.Logger
}

func newSettingsFile(path string, current *platform.Settings, log *eventlog.Logger) *settingsFile {
	f := &settingsFile{path: path, current: current, log: log}
	f.modTime, _ = f.readModTime()
	return f
}

// readModTime returns the modification time of the file, and false if the file does
// not exist. A file that is briefly missing while it is replaced counts as unchanged.
func (f *settingsFile) readModTime() (time.Time, bool) {
	info, err := os.Stat(f.path)
	if err != nil {
		return time.Time{}, false
	}
	return info.ModTime(), true
}

// watch reads the file at each signal and whenever it has changed, until ctx ends. It
// calls apply if any setting has changed. An invalid file is logged and ignored.
func (f *settingsFile) watch(ctx context.Context, signals <-chan os.Signal, apply func(*platform.Settings)) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			f.reload(apply)
		case <-ticker.C:
			if modTime, exists := f.readModTime(); exists && !modTime.Equal(f.modTime) {
				f.reload(apply)
			}
		}
	}
}

func (f *settingsFile) reload(apply func(*platform.Settings)) {
	f.modTime, _ = f.readModTime()
	settings, err := platform.LoadSettings(f.path)
	if err != nil {
		f.log.Log(eventlog.SettingsRejected, "err", err)
		return
	}
	changed := f.current.ChangedFields(settings)
	f.current = settings
	f.log.Log(eventlog.SettingsRead, "changed", strings.Join(changed, ","))
	if len(changed) > 0 {
		apply(settings)
	}
}
