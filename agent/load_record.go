package agent

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"

	"github.com/auburnbend/auburnbend/agent/backend"
)

// loadRecordName is the name of the record's file in the staging directory, which
// outlives the agent but not the instance.
const loadRecordName = "loaded.json"

// loadRecordFile stores the load record of an instance.
type loadRecordFile struct{ path string }

func newLoadRecordFile(stagingDir string) loadRecordFile {
	return loadRecordFile{path: filepath.Join(stagingDir, loadRecordName)}
}

// read returns the record, or the zero value if there is none or it is unreadable. The
// engine then loads its weights again.
func (f loadRecordFile) read() backend.LoadRecord {
	var r backend.LoadRecord
	data, err := os.ReadFile(f.path)
	if err != nil || json.Unmarshal(data, &r) != nil {
		return backend.LoadRecord{}
	}
	return r
}

// write replaces the record. A process that stops meanwhile leaves the previous record or
// the new one. After an error there is no record.
func (f loadRecordFile) write(r backend.LoadRecord) error {
	if r == (backend.LoadRecord{}) {
		return f.remove()
	}
	err := f.replace(r)
	if err != nil {
		err = errors.Join(err, f.remove())
	}
	return err
}

func (f loadRecordFile) replace(r backend.LoadRecord) error {
	data, err := json.Marshal(r)
	if err != nil {
		return err
	}
	incoming := f.path + ".incoming"
	if err := os.WriteFile(incoming, data, 0o600); err != nil {
		return errors.Join(err, os.Remove(incoming))
	}
	return os.Rename(incoming, f.path)
}

func (f loadRecordFile) remove() error {
	if err := os.Remove(f.path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return nil
}
