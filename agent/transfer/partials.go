package transfer

import (
	"sync"

	"github.com/auburnbend/auburnbend/lib/model"
)

// partials keeps the received beginnings of chunks whose origin reads ended
// early, so that the next read can resume. It holds at most maxBytes and is
// safe for concurrent use.
type partials struct {
	mu       sync.Mutex
	maxBytes int64
	bytes    int64
	data     map[model.Digest][]byte
}

func newPartials(maxBytes int64) *partials {
	return &partials{maxBytes: maxBytes, data: make(map[model.Digest][]byte)}
}

// take removes and returns the beginning of a chunk, or nil.
func (p *partials) take(digest model.Digest) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	data := p.data[digest]
	delete(p.data, digest)
	p.bytes -= int64(len(data))
	return data
}

// put stores the beginning of a chunk if there is room.
func (p *partials) put(digest model.Digest, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.data[digest]; ok || len(data) == 0 || p.bytes+int64(len(data)) > p.maxBytes {
		return
	}
	p.data[digest] = data
	p.bytes += int64(len(data))
}

// clear drops all partial chunks when the target version changes.
func (p *partials) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.data, p.bytes = make(map[model.Digest][]byte), 0
}
