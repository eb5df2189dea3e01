package transfer

import (
	"context"

	"github.com/auburnbend/auburnbend/lib/model"
)

// target is a wanted version and who waits for it.
type target struct {
	digest model.Digest
	known  *known
	result chan error // buffered
}

// Fetch makes a version wanted and returns once all its chunks are held and the
// whole set was verified. The object names the encoded manifest at the origin.
// A later Fetch of another version replaces it: this one returns ErrReplaced,
// and what both versions share is kept, also in flight. When ctx ends the
// version stays wanted until another one is.
func (s *Service) Fetch(ctx context.Context, manifest model.Digest, object string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(s.ctx, cancel)
	defer stop()
	k, err := s.fetchManifest(ctx, manifest, object)
	if err != nil {
		return err
	}
	t := &target{digest: manifest, known: k, result: make(chan error, 1)}
	select {
	case s.targets <- t:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-t.result:
		return err
	case <-ctx.Done():
		if s.ctx.Err() != nil {
			return ErrClosed
		}
		return ctx.Err()
	}
}
