package transfer

import (
	"sync"

	"github.com/auburnbend/auburnbend/lib/model"
)

// partials keeps the beginnings of chunks whose origin read ended early, so
// that the next read resumes where it stopped. It is bounded in bytes.
type partials struct {
	mu    sync.Mutex
	max   int64
	bytes int64
	data  map[model.Digest][]byte
}

func newPartials(maxBytes int64) *partials {
	return &partials{max: maxBytes, data: make(map[model.Digest][]byte)}
}

// take returns and removes the beginning of a chunk.
func (p *partials) take(digest model.Digest) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	data := p.data[digest]
	delete(p.data, digest)
	p.bytes -= int64(len(data))
	return data
}

// put keeps the beginning of a chunk if there is room.
func (p *partials) put(digest model.Digest, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.data[digest]; ok || len(data) == 0 || p.bytes+int64(len(data)) > p.max {
		return
	}
	p.data[digest] = data
	p.bytes += int64(len(data))
}

// clear forgets all beginnings, when another version is wanted.
func (p *partials) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.data, p.bytes = make(map[model.Digest][]byte), 0
}
