package agent

import (
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// wishes keeps since when a manifest is being fetched, over fetches that fail
// and are tried again. It is safe for concurrent use.
type wishes struct {
	mu       sync.Mutex
	manifest model.Digest
	at       time.Time
}

// since returns when the manifest was first fetched; another one replaces it.
func (w *wishes) since(manifest model.Digest, now time.Time) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.manifest != manifest {
		w.manifest, w.at = manifest, now
	}
	return w.at
}

// done ends the wish.
func (w *wishes) done() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.manifest = model.Digest{}
}
