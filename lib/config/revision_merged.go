package config

import "github.com/ansel1/merry/v2"

// mergeSteps returns several steps as one revision that leads from the
// base of the first step to the last. Previous is the digest before the last.
func mergeSteps(steps []retainedStep, last Revision, previous Head) (Revision, error) {
	var rest Delta
	for i, step := range steps {
		revision, err := DecodeRevision(step.data)
		if err != nil {
			return Revision{}, err
		}
		change, err := revision.DecodeChange()
		if err != nil {
			return Revision{}, err
		}
		if revision.IsMerged() {
			earlier, err := revision.earlier()
			if err != nil {
				return Revision{}, err
			}
			rest = rest.Merge(earlier)
		}
		if i == len(steps)-1 {
			rest = rest.without(change.Delta)
		} else {
			rest = rest.Merge(change.Delta)
		}
	}
	encoded, err := rest.Encode()
	if err != nil {
		return Revision{}, err
	}
	compressed, err := compress(encoded)
	if err != nil {
		return Revision{}, err
	}
	base := steps[0].base
	return Revision{
		Number: last.Number, Digest: last.Digest, Change: last.Change,
		PreviousDigest: &previous.Digest, BaseNumber: base.Number, BaseDigest: &base.Digest, MergedDelta: compressed,
	}, nil
}

// IsMerged reports whether the revision carries the values of earlier revisions
// too.
func (r Revision) IsMerged() bool { return r.BaseDigest != nil }

// ApplyMergedTo applies a merged revision to a configuration between its base and
// itself. It returns ErrChain unless the result is the state that the last
// change leads to and the digest is that of the last change.
func (r Revision) ApplyMergedTo(c *Config) (*Config, error) {
	if !r.IsMerged() || r.PreviousDigest == nil || chain(*r.PreviousDigest, r.Change) != r.Digest {
		return nil, merry.Wrap(ErrChainBroken, merry.AppendMessagef("merged revision %d", r.Number))
	}
	change, err := r.DecodeChange()
	if err != nil {
		return nil, err
	}
	earlier, err := r.earlier()
	if err != nil {
		return nil, err
	}
	whole := earlier.Merge(change.Delta)
	return whole.Apply(c)
}

// earlier returns the changes before the last one.
func (r Revision) earlier() (Delta, error) {
	data, err := decompress(r.MergedDelta)
	if err != nil {
		return Delta{}, err
	}
	return DecodeDelta(data)
}
