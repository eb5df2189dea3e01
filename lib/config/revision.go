package config

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/msgstream"
)

// Head identifies a revision by its number and chain digest. The zero Head stands
// for the empty configuration before the first revision. It is stored with its
// field names as keys.
type Head struct {
	Number uint64
	Digest model.Digest
}

// Change is the content of one revision. The chain digest covers all of its
// fields.
type Change struct {
	Number uint64 `msgpack:"n"`
	// Author is the name of the operator.
	Author string `msgpack:"a"`
	// Operation is the operation ID of the request.
	Operation string `msgpack:"o"`
	// UnixMillis is the time of acceptance in milliseconds since the Unix epoch.
	UnixMillis int64 `msgpack:"t"`
	Delta      Delta `msgpack:"d"`
}

// Time returns the time of acceptance.
func (c *Change) Time() time.Time { return time.UnixMilli(c.UnixMillis).UTC() }

// Revision is one accepted change as it is stored and sent: the encoded Change
// and its chain digest. A snapshot additionally contains the whole configuration,
// and a merged revision the changes of earlier revisions. Both contain the chain
// digest of the preceding revision. A Revision must not be modified.
type Revision struct {
	Number uint64       `msgpack:"n"`
	Digest model.Digest `msgpack:"d"`
	// Change is an encoded Change.
	Change []byte `msgpack:"c"`
	// PreviousDigest is the chain digest of the preceding revision. It is set on
	// snapshots and merged revisions. Snapshot is an encoded Config and set on
	// snapshots only.
	PreviousDigest *model.Digest `msgpack:"p"`
	Snapshot       []byte        `msgpack:"s"`
	// MergedDelta, BaseNumber and BaseDigest are set on merged revisions only.
	// MergedDelta is a compressed Delta without StateDigest. It contains the
	// objects that the revisions after the base changed, except those that Change
	// changes too.
	MergedDelta []byte        `msgpack:"m"`
	BaseNumber  uint64        `msgpack:"b"`
	BaseDigest  *model.Digest `msgpack:"bd"`
}

// NewRevision returns the revision that follows previous in the digest chain. It
// sets the number of the change.
func NewRevision(previous Head, change Change) (Revision, error) {
	change.Number = previous.Number + 1
	b, err := encode(&change)
	if err != nil {
		return Revision{}, err
	}
	return Revision{Number: change.Number, Digest: chainDigest(previous.Digest, b), Change: b}, nil
}

// WithSnapshot returns the revision as a snapshot with the configuration that it
// results in. Previous is the chain digest of the preceding revision.
func (r Revision) WithSnapshot(previous model.Digest, c *Config) (Revision, error) {
	b, err := c.Encode()
	r.PreviousDigest, r.Snapshot = &previous, b
	r.MergedDelta, r.BaseNumber, r.BaseDigest = nil, 0, nil
	return r, err
}

// IsSnapshot reports whether the revision contains the whole configuration.
func (r Revision) IsSnapshot() bool { return r.PreviousDigest != nil && !r.IsMerged() }

// Head returns the number and chain digest of the revision.
func (r Revision) Head() Head { return Head{Number: r.Number, Digest: r.Digest} }

// DecodeChange decodes the change. It returns ErrMalformed for invalid data.
func (r Revision) DecodeChange() (Change, error) {
	var c Change
	if err := msgstream.Unmarshal(r.Change, &c); err != nil {
		return Change{}, merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	if c.Number != r.Number {
		return Change{}, merry.Wrap(ErrMalformed, merry.AppendMessagef("revision %d contains change %d", r.Number, c.Number))
	}
	return c, nil
}

// ApplyTo applies the revision to the configuration of the preceding revision. It
// returns ErrChainBroken if the revision does not continue the digest chain.
func (r Revision) ApplyTo(previous Head, c *Config) (*Config, error) {
	if r.Number != previous.Number+1 || chainDigest(previous.Digest, r.Change) != r.Digest {
		return nil, merry.Wrap(ErrChainBroken, merry.AppendMessagef("revision %d does not continue revision %d", r.Number, previous.Number))
	}
	change, err := r.DecodeChange()
	if err != nil {
		return nil, err
	}
	return change.Delta.Apply(c)
}

// SnapshotConfig returns the configuration of a snapshot. It returns ErrChainBroken
// if the revision is not a snapshot, or if its configuration or chain digest does
// not match the change.
func (r Revision) SnapshotConfig() (*Config, error) {
	if !r.IsSnapshot() || chainDigest(*r.PreviousDigest, r.Change) != r.Digest {
		return nil, merry.Wrap(ErrChainBroken, merry.AppendMessagef("revision %d is not a snapshot or does not match its chain digest", r.Number))
	}
	change, err := r.DecodeChange()
	if err != nil {
		return nil, err
	}
	if model.Sum(r.Snapshot) != change.Delta.StateDigest {
		return nil, merry.Wrap(ErrChainBroken, merry.AppendMessagef("snapshot of revision %d does not match its state digest", r.Number))
	}
	return Decode(r.Snapshot)
}

// Encode returns the encoding that is stored and sent.
func (r Revision) Encode() ([]byte, error) { return encode(&r) }

// DecodeRevision decodes a revision. It returns ErrMalformed for invalid data.
func DecodeRevision(data []byte) (Revision, error) {
	var r Revision
	if err := msgstream.Unmarshal(data, &r); err != nil {
		return Revision{}, merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	return r, nil
}

// chainDigest returns the chain digest of a revision: the digest of the preceding
// chain digest followed by the encoded change.
func chainDigest(previous model.Digest, change []byte) model.Digest {
	buf := make([]byte, 0, len(previous)+len(change))
	buf = append(buf, previous[:]...)
	return model.Sum(append(buf, change...))
}
