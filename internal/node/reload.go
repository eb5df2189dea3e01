package node

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/platform"
)

// settingsInterval is how often the settings file is looked at without a signal:
// it may change without one.
const settingsInterval = 5 * time.Second

// settingsFile follows the settings file of a process.
type settingsFile struct {
	path    string
	current *platform.Settings
	// modified is when the file that was read last was written.
	modified time.Time
	log      *eventlog.Logger
}

func newSettingsFile(path string, current *platform.Settings, log *eventlog.Logger) *settingsFile {
	f := &settingsFile{path: path, current: current, log: log}
	f.modified, _ = f.stat()
	return f
}

// stat returns when the file was written, and whether it is there. A file that is
// missing for a moment, as while it is replaced, counts as unchanged.
func (f *settingsFile) stat() (time.Time, bool) {
	info, err := os.Stat(f.path)
	if err != nil {
		return time.Time{}, false
	}
	return info.ModTime(), true
}

// follow reads the file again at each signal and whenever it changes, and applies
// it, until ctx ends. A file that cannot be used changes nothing.
func (f *settingsFile) follow(ctx context.Context, signals <-chan os.Signal, apply func(*platform.Settings)) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			f.read(apply)
		case <-ticker.C:
			if modified, there := f.stat(); there && !modified.Equal(f.modified) {
				f.read(apply)
			}
		}
	}
}

func (f *settingsFile) read(apply func(*platform.Settings)) {
	f.modified, _ = f.stat()
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
