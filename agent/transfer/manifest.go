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
	// maxManifestSize is the maximum size of an encoded manifest in bytes; it
	// fits into one frame.
	maxManifestSize = 4 << 20
	// manifestRetryDelay is the maximum wait, with jitter, after all sources
	// failed.
	manifestRetryDelay = 500 * time.Millisecond
	// manifestTimeout is the time limit for one peer or tracker. It exceeds the
	// time that a tracker allows an agent to read the manifest from the origin.
	manifestTimeout = 3 * time.Second
	// manifestRoundTimeout is the time limit for one attempt with all sources,
	// since a read from the origin may stall.
	manifestRoundTimeout = 10 * time.Second
	// manifestHedgeDelay is the wait for one source before the next one is
	// asked in parallel.
	manifestHedgeDelay = 500 * time.Millisecond
)

// fetchManifest returns a manifest from the tracker, a peer or the origin, in
// this order of preference. It retries until ctx ends.
func (s *Service) fetchManifest(ctx context.Context, digest model.Digest, object string) (*parsedManifest, error) {
	for attempt := 0; ; attempt++ {
		if parsed := s.lookupManifest(digest); parsed != nil {
			return parsed, nil
		}
		parsed, err := s.tryManifestSources(ctx, digest, object, attempt)
		if err == nil {
			return parsed, nil
		}
		if errors.Is(err, weights.ErrManifestDigest) || errors.Is(err, weights.ErrManifestInvalid) {
			s.cfg.Log.Log(eventlog.ManifestCorrupt, "manifest", digest.Short(), "err", err)
		}
		select {
		case <-ctx.Done():
			return nil, merry.Wrap(ctx.Err(), merry.WithCause(err))
		case <-time.After(s.jitter(manifestRetryDelay)):
		}
	}
}

// tryManifestSources asks entries and peers one after the other and the origin
// last. A request without a response after manifestHedgeDelay continues
// while the next source is asked. A refusal sends this agent to the origin at
// once.
func (s *Service) tryManifestSources(ctx context.Context, digest model.Digest, object string, attempt int) (*parsedManifest, error) {
	ctx, cancel := context.WithTimeout(ctx, manifestRoundTimeout)
	defer cancel()
	type response struct {
		parsed *parsedManifest
		err    error
	}
	sources := s.manifestSources(digest)
	responses := make(chan response, len(sources)+1)
	running := 0
	for next := 0; ; {
		if next <= len(sources) {
			ask := func() (*parsedManifest, error) { return s.manifestFromOrigin(ctx, digest, object, attempt) }
			if next < len(sources) {
				address := sources[next]
				ask = func() (*parsedManifest, error) { return s.manifestFromPeer(ctx, address, digest) }
			}
			next++
			running++
			go func() {
				parsed, err := ask()
				responses <- response{parsed, err}
			}()
		}
		select {
		case res := <-responses:
			if running--; res.err == nil {
				return res.parsed, nil
			}
			if errors.Is(res.err, errAbsent) {
				next = max(next, len(sources))
			}
			if running == 0 && next > len(sources) || ctx.Err() != nil {
				return nil, res.err
			}
		case <-time.After(manifestHedgeDelay):
		}
	}
}

// manifestSources returns the entries in rendezvous order, followed by the
// peers.
func (s *Service) manifestSources(digest model.Digest) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(rankEntries(digest, s.entries), s.peers...)
}

func (s *Service) manifestFromPeer(ctx context.Context, address string, digest model.Digest) (*parsedManifest, error) {
	conn, err := s.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetReadDeadline(time.Now().Add(manifestTimeout))
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
			return s.addManifest(digest, m.Data)
		case *wire.ManifestRefused:
			return nil, errAbsent
		}
	}
}

// manifestFromOrigin reads the object until its digest matches. Reads may end
// early, so only a read without any bytes marks the end of the object.
func (s *Service) manifestFromOrigin(ctx context.Context, digest model.Digest, object string, attempt int) (*parsedManifest, error) {
	src, count := s.chooseSource(attempt)
	if src == nil {
		return nil, errNoSource
	}
	var buf bytes.Buffer
	for {
		r, err := src.ReadRange(ctx, object, int64(buf.Len()), int64(maxManifestSize-buf.Len()))
		if err != nil && buf.Len() == 0 {
			return nil, err
		}
		n := int64(0)
		if err == nil {
			stop := context.AfterFunc(ctx, func() { _ = r.Close() })
			n, _ = io.Copy(&buf, io.LimitReader(r, int64(maxManifestSize-buf.Len())))
			stop()
			_ = r.Close()
			count.Add(n)
		}
		parsed, decodeErr := s.addManifest(digest, buf.Bytes())
		if decodeErr == nil || n == 0 || ctx.Err() != nil {
			return parsed, decodeErr
		}
	}
}
