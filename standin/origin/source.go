// Package origin is a stand-in for the sources of weights: the origin and, with rate
// limits, the weight store.
package origin

import (
	"context"
	"io"
	"sync"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/standin/fault"
)

// Source is an in-memory source of weights that implements backing.WeightSource. It is
// safe for concurrent use.
type Source struct {
	// Faults injects faults into the source.
	Faults fault.Injector

	cfg Config

	// mu protects the fields below.
	mu           sync.Mutex
	objects      map[string][]byte
	byteLimit    tokenBucket
	requestLimit tokenBucket
	link         linkPacer
	stats        Stats
}

// New returns a source without objects.
func New(cfg Config) *Source {
	cfg.applyDefaults()
	now := cfg.Clock.Now()
	return &Source{
		cfg:          cfg,
		objects:      make(map[string][]byte),
		byteLimit:    newTokenBucket(cfg.BytesPerSecond, cfg.Burst, now),
		requestLimit: newTokenBucket(cfg.RequestsPerSecond, cfg.Burst, now),
		link:         linkPacer{rate: cfg.LinkBytesPerSecond},
	}
}

// Put stores or replaces an object. It retains data, which must not be modified
// afterwards.
func (s *Source) Put(object string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[object] = data
}

// Size returns the size of an object in bytes. It returns backing.ErrNotFound if there is
// no such object.
func (s *Source) Size(object string) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[object]
	if !ok {
		return 0, merry.Wrap(backing.ErrNotFound)
	}
	return int64(len(data)), nil
}

// ReadRange implements backing.WeightSource. It limits the range to the end of the
// object.
func (s *Source) ReadRange(ctx context.Context, object string, offset, length int64) (io.ReadCloser, error) {
	down, err := s.Faults.BeforeCall(ctx)
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
	if wait := max(s.byteLimit.wait(now), s.requestLimit.wait(now)); wait > 0 {
		s.stats.Throttled++
		return nil, merry.Wrap(&backing.ThrottledError{RetryAfter: wait})
	}
	offset = min(max(0, offset), int64(len(data)))
	data = data[offset:min(offset+max(0, length), int64(len(data)))]
	s.requestLimit.take(1)
	s.byteLimit.take(float64(len(data)))
	s.stats.Requests++
	if len(data) > 0 && s.Faults.ShouldCorrupt() {
		data = append([]byte(nil), data...)
		data[len(data)/2] ^= 1
	}
	return &reader{ctx: ctx, source: s, data: data, faults: s.Faults.Get()}, nil
}

// Stats returns the counters.
func (s *Source) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}
