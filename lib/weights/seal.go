package weights

import (
	"context"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Seal records that all chunks of a manifest were intact, and the stamps that their data
// had then. Store.CheckSeal compares them with a later state. The zero value matches no
// state.
type Seal struct {
	stamps map[model.Digest]Stamp
}

// Seal verifies all chunks of a manifest like Verify and returns their seal. It returns
// ErrChunkChanged if a chunk is written meanwhile, and the error of ctx if that ends first.
func (s *Store) Seal(ctx context.Context, m *Manifest) (Seal, error) {
	seal := Seal{stamps: make(map[model.Digest]Stamp, len(m.Chunks))}
	for _, c := range m.Chunks {
		stamp, err := s.cfg.Storage.Stamp(c.Digest)
		if err != nil {
			s.drop(c.Digest)
			return Seal{}, err
		}
		seal.stamps[c.Digest] = stamp
	}
	if err := s.CheckSeal(ctx, m, seal); err != nil {
		return Seal{}, err
	}
	return seal, nil
}

// CheckSeal verifies all chunks of a manifest like Verify, and that nobody has written to
// them since the seal was made, in which case it returns ErrChunkChanged. After it has
// returned nil, everyone who has read the chunks in between has read intact data. If ctx
// ends first, it returns the error of ctx.
func (s *Store) CheckSeal(ctx context.Context, m *Manifest, seal Seal) error {
	if err := s.verify(ctx, m); err != nil {
		return err
	}
	for i, c := range m.Chunks {
		stamp, err := s.cfg.Storage.Stamp(c.Digest)
		if err != nil {
			s.drop(c.Digest)
			return err
		}
		if sealed, ok := seal.stamps[c.Digest]; !ok || stamp != sealed {
			return merry.Wrap(ErrChunkChanged, merry.AppendMessagef("chunk %d of %d", i, len(m.Chunks)))
		}
	}
	return nil
}
