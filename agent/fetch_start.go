package agent

import (
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// fetchStart keeps since when a manifest is being fetched, over fetches that fail
// and are tried again. It is safe for concurrent use.
type fetchStart struct {
	mu       sync.Mutex
	manifest model.Digest
	at       time.Time
}

// since returns when the manifest was first fetched; another one replaces it.
func (f *fetchStart) since(manifest model.Digest, now time.Time) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.manifest != manifest {
		f.manifest, f.at = manifest, now
	}
	return f.at
}

// done forgets the manifest, which is complete.
func (f *fetchStart) done() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.manifest = model.Digest{}
}
