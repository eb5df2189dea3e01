package transfer

import (
	"context"

	"github.com/auburnbend/auburnbend/lib/model"
)

// target is a requested version and the channel for the result of its fetch.
type target struct {
	digest model.Digest
	parsed *parsedManifest
	result chan error // buffered
}

// Fetch makes a version the target and returns once all of its chunks are held
// and verified. object names the encoded manifest at the origin. A later Fetch
// of another version replaces the target, and this call returns ErrReplaced;
// chunks that both versions share are kept, including those in flight. If ctx
// ends, Fetch returns its error but the version remains the target. If the
// service is closed during the transfer, it returns ErrClosed.
func (s *Service) Fetch(ctx context.Context, manifest model.Digest, object string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(s.ctx, cancel)
	defer stop()
	parsed, err := s.fetchManifest(ctx, manifest, object)
	if err != nil {
		return err
	}
	t := &target{digest: manifest, parsed: parsed, result: make(chan error, 1)}
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
