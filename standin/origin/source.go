// Package origin is the stand-in of the sources of weights: the origin, and
// with limits the rate-limited weight store.
package origin

import (
	"context"
	"io"
	"sync"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/standin/fault"
)

// Source serves objects from memory. It implements backing.WeightSource and is
// safe for concurrent use.
type Source struct {
	// Faults are the fault switches of the source.
	Faults fault.Switch

	cfg      Config
	mu       sync.Mutex
	objects  map[string][]byte
	bytes    bucket
	requests bucket
	link     pacer
	stats    Stats
}

// New returns a source without objects.
func New(cfg Config) *Source {
	cfg.applyDefaults()
	now := cfg.Clock.Now()
	return &Source{
		cfg:      cfg,
		objects:  make(map[string][]byte),
		bytes:    newBucket(cfg.BytesPerSecond, cfg.Burst, now),
		requests: newBucket(cfg.RequestsPerSecond, cfg.Burst, now),
		link:     pacer{rate: cfg.LinkBytesPerSecond},
	}
}

// Put stores an object. The source keeps data, which must not change.
func (s *Source) Put(object string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[object] = data
}

// Size returns the length of an object in bytes, or ErrNotFound.
func (s *Source) Size(object string) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[object]
	if !ok {
		return 0, merry.Wrap(backing.ErrNotFound)
	}
	return int64(len(data)), nil
}

// ReadRange implements backing.WeightSource. A range beyond the end of the
// object is cut at the end.
func (s *Source) ReadRange(ctx context.Context, object string, offset, length int64) (io.ReadCloser, error) {
	down, err := s.Faults.Enter(ctx)
	if down || err != nil {
		return nil, merry.Wrap(backing.ErrUnavailable, merry.WithCause(err))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[object]
	if !ok {
		return nil, merry.Wrap(backing.ErrNotFound)
	}
	now := s.cfg.Clock.Now()
	if wait := max(s.bytes.wait(now), s.requests.wait(now)); wait > 0 {
		s.stats.Throttled++
		return nil, merry.Wrap(&backing.ThrottledError{RetryAfter: wait})
	}
	offset = min(max(0, offset), int64(len(data)))
	data = data[offset:min(offset+max(0, length), int64(len(data)))]
	s.requests.take(1)
	s.bytes.take(float64(len(data)))
	s.stats.Requests++
	if len(data) > 0 && s.Faults.CorruptNext() {
		data = append([]byte(nil), data...)
		data[len(data)/2] ^= 1
	}
	return &reader{ctx: ctx, source: s, data: data, faults: s.Faults.Get()}, nil
}

// Stats returns what was read so far.
func (s *Source) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}
