package relay

import (
	"sync"

	"github.com/auburnbend/auburnbend/lib/watch"
)

// recorder records the rows that one instance has received.
type recorder struct {
	mu        sync.Mutex
	rows      map[string]string
	recovered bool
	lost      int
}

func (rec *recorder) Replace(rows watch.Rows, recovered bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.rows = make(map[string]string)
	rec.merge(rows, recovered)
}

func (rec *recorder) Apply(rows watch.Rows, recovered bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.merge(rows, recovered)
}

func (rec *recorder) merge(rows watch.Rows, recovered bool) {
	rec.recovered = rec.recovered || recovered
	for _, r := range rows.Rows {
		if r.Deleted {
			delete(rec.rows, r.Key)
			continue
		}
		rec.rows[r.Key] = string(r.Data)
	}
}

func (rec *recorder) Lost(error) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.lost++
}

func (rec *recorder) get(key string) string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.rows[key]
}

func (rec *recorder) afterOutage() bool {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.recovered
}
