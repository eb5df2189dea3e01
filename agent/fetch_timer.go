package agent

import (
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// fetchTimer records when the fetch of a manifest began. Retries after failures do
// not reset it. It is safe for concurrent use.
type fetchTimer struct {
	mu        sync.Mutex
	manifest  model.Digest
	startedAt time.Time
}

// start returns when the first fetch of manifest began, which is now if the manifest
// differs from the previous one.
func (f *fetchTimer) start(manifest model.Digest, now time.Time) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.manifest != manifest {
		f.manifest, f.startedAt = manifest, now
	}
	return f.startedAt
}

// reset clears the timer after the manifest was fetched completely.
func (f *fetchTimer) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.manifest = model.Digest{}
}
