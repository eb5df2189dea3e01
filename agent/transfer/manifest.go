package transfer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/lib/wire"
)

const (
	// maxManifest bounds an encoded manifest in bytes; it fits into one frame.
	maxManifest = 4 << 20
	// manifestRetry is the wait after a failed round over all sources.
	manifestRetry = 500 * time.Millisecond
	// manifestWait bounds the wait for one peer or tracker. It is longer than
	// the time that a tracker gives to the agent that reads the origin.
	manifestWait = 3 * time.Second
	// manifestRoundLimit bounds a round: a read from the origin may stall.
	manifestRoundLimit = 10 * time.Second
	// manifestHedge is the wait for one source before the next is asked as well.
	manifestHedge = 500 * time.Millisecond
)

// fetchManifest gets a manifest from the tracker, else from peers, else from the
// origin, and retries until the context ends.
func (s *Service) fetchManifest(ctx context.Context, digest model.Digest, object string) (*known, error) {
	for attempt := 0; ; attempt++ {
		if k := s.known(digest); k != nil {
			return k, nil
		}
		k, err := s.manifestRound(ctx, digest, object, attempt)
		if err == nil {
			return k, nil
		}
		if errors.Is(err, weights.ErrManifestDigest) || errors.Is(err, weights.ErrManifestInvalid) {
			s.cfg.Log.Log(eventlog.ManifestCorrupt, "manifest", digest.Short(), "err", err)
		}
		select {
		case <-ctx.Done():
			return nil, merry.Wrap(ctx.Err(), merry.WithCause(err))
		case <-time.After(s.jitter(manifestRetry)):
		}
	}
}

// manifestRound asks entries and peers one after the other and the origin last.
// A source that has not answered after manifestHedge is left running while the
// next one is asked; a tracker's refusal sends this agent to the origin at once.
func (s *Service) manifestRound(ctx context.Context, digest model.Digest, object string, attempt int) (*known, error) {
	ctx, cancel := context.WithTimeout(ctx, manifestRoundLimit)
	defer cancel()
	type answer struct {
		known *known
		err   error
	}
	sources := s.manifestPeers(digest)
	answers := make(chan answer, len(sources)+1)
	running := 0
	for next := 0; ; {
		if next <= len(sources) {
			ask := func() (*known, error) { return s.manifestFromOrigin(ctx, digest, object, attempt) }
			if next < len(sources) {
				address := sources[next]
				ask = func() (*known, error) { return s.manifestFrom(ctx, address, digest) }
			}
			next++
			running++
			go func() {
				k, err := ask()
				answers <- answer{k, err}
			}()
		}
		select {
		case a := <-answers:
			if running--; a.err == nil {
				return a.known, nil
			}
			if errors.Is(a.err, errAbsent) {
				next = max(next, len(sources))
			}
			if running == 0 && next > len(sources) || ctx.Err() != nil {
				return nil, a.err
			}
		case <-time.After(manifestHedge):
		}
	}
}

func (s *Service) manifestPeers(digest model.Digest) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(rendezvous(digest, s.entries), s.peers...)
}

func (s *Service) manifestFrom(ctx context.Context, address string, digest model.Digest) (*known, error) {
	conn, err := s.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetReadDeadline(time.Now().Add(manifestWait))
	if err := conn.Send(&wire.ManifestFetch{Manifest: digest}); err != nil {
		return nil, err
	}
	for {
		m, err := conn.Receive()
		if err != nil {
			return nil, err
		}
		switch m := m.(type) {
		case *wire.ManifestData:
			return s.learn(digest, m.Data)
		case *wire.ManifestRefused:
			return nil, errAbsent
		}
	}
}

// manifestFromOrigin reads the object until its digest matches. Reads may end
// early, so one without a byte marks the end.
func (s *Service) manifestFromOrigin(ctx context.Context, digest model.Digest, object string, attempt int) (*known, error) {
	src, count := s.source(attempt)
	if src == nil {
		return nil, errNoSource
	}
	var buf bytes.Buffer
	for {
		r, err := src.ReadRange(ctx, object, int64(buf.Len()), int64(maxManifest-buf.Len()))
		if err != nil && buf.Len() == 0 {
			return nil, err
		}
		n := int64(0)
		if err == nil {
			stop := context.AfterFunc(ctx, func() { _ = r.Close() })
			n, _ = io.Copy(&buf, io.LimitReader(r, int64(maxManifest-buf.Len())))
			stop()
			_ = r.Close()
			count.Add(n)
		}
		k, decodeErr := s.learn(digest, buf.Bytes())
		if decodeErr == nil || n == 0 || ctx.Err() != nil {
			return k, decodeErr
		}
	}
}
