package config

import "github.com/ansel1/merry/v2"

// mergeSteps merges several steps into one revision that leads from the base of the
// first step to last. Previous is the head of the revision that precedes last.
func mergeSteps(steps []retainedStep, last Revision, previous Head) (Revision, error) {
	var earlierDelta Delta
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
			earlier, err := revision.earlierChanges()
			if err != nil {
				return Revision{}, err
			}
			earlierDelta = earlierDelta.Merge(earlier)
		}
		if i == len(steps)-1 {
			earlierDelta = earlierDelta.withoutObjectsOf(change.Delta)
		} else {
			earlierDelta = earlierDelta.Merge(change.Delta)
		}
	}
	encoded, err := earlierDelta.Encode()
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

// IsMerged reports whether the revision also contains the changes of earlier
// revisions.
func (r Revision) IsMerged() bool { return r.BaseDigest != nil }

// ApplyMergedTo applies a merged revision to the configuration of its base or of any
// later revision before it. It returns ErrChainBroken if the revision is not merged,
// the result does not match the state digest or the change does not match the chain
// digest.
func (r Revision) ApplyMergedTo(c *Config) (*Config, error) {
	if !r.IsMerged() || r.PreviousDigest == nil || chainDigest(*r.PreviousDigest, r.Change) != r.Digest {
		return nil, merry.Wrap(ErrChainBroken, merry.AppendMessagef("revision %d is not a merged revision or does not match its chain digest", r.Number))
	}
	change, err := r.DecodeChange()
	if err != nil {
		return nil, err
	}
	earlier, err := r.earlierChanges()
	if err != nil {
		return nil, err
	}
	whole := earlier.Merge(change.Delta)
	return whole.Apply(c)
}

// earlierChanges decodes the merged changes of the revisions before this one.
func (r Revision) earlierChanges() (Delta, error) {
	data, err := decompress(r.MergedDelta)
	if err != nil {
		return Delta{}, err
	}
	return DecodeDelta(data)
}
