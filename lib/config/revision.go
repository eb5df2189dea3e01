package config

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/msgstream"
)

// Head names a revision by number and chain digest. The zero Head is the empty
// configuration before the first revision.
type Head struct {
	Number uint64
	Digest model.Digest
}

// Change is what one revision adds to the chain. The chain digest covers all of
// it.
type Change struct {
	Number uint64 `msgpack:"n"`
	// Author names the operator.
	Author string `msgpack:"a"`
	// Operation is the operator's id of the change.
	Operation string `msgpack:"o"`
	// UnixMillis is the time of acceptance in milliseconds since 1970.
	UnixMillis int64 `msgpack:"t"`
	Delta      Delta `msgpack:"d"`
}

// Time returns the time of acceptance.
func (c *Change) Time() time.Time { return time.UnixMilli(c.UnixMillis).UTC() }

// Revision is one accepted change as it is stored and sent: the encoded Change
// and its chain digest. A snapshot adds the whole configuration and the digest
// before it, a merged revision the changes of earlier revisions. Treat it as
// immutable.
type Revision struct {
	Number uint64       `msgpack:"n"`
	Digest model.Digest `msgpack:"d"`
	// Change is an encoded Change.
	Change []byte `msgpack:"c"`
	// PreviousDigest is the digest before the change; it is set on snapshots and
	// merged revisions. Snapshot is an encoded Config, on snapshots only.
	PreviousDigest *model.Digest `msgpack:"p"`
	Snapshot       []byte        `msgpack:"s"`
	// MergedDelta is set on merged revisions only, together with Previous: a compressed
	// Delta without a state, of the values that the revisions after Base changed
	// and the last change does not set.
	MergedDelta []byte        `msgpack:"m"`
	BaseNumber  uint64        `msgpack:"b"`
	BaseDigest  *model.Digest `msgpack:"bd"`
}

// NewRevision returns the revision that continues the chain after previous.
func NewRevision(previous Head, change Change) (Revision, error) {
	change.Number = previous.Number + 1
	b, err := encode(&change)
	if err != nil {
		return Revision{}, err
	}
	return Revision{Number: change.Number, Digest: chain(previous.Digest, b), Change: b}, nil
}

// WithSnapshot returns the revision together with the configuration that it
// leads to.
func (r Revision) WithSnapshot(previous model.Digest, c *Config) (Revision, error) {
	b, err := c.Encode()
	r.PreviousDigest, r.Snapshot = &previous, b
	r.MergedDelta, r.BaseNumber, r.BaseDigest = nil, 0, nil
	return r, err
}

// IsSnapshot reports whether the revision carries the whole configuration.
func (r Revision) IsSnapshot() bool { return r.PreviousDigest != nil && !r.IsMerged() }

// Head returns the revision's number and digest.
func (r Revision) Head() Head { return Head{Number: r.Number, Digest: r.Digest} }

// DecodeChange returns the change, or ErrMalformed.
func (r Revision) DecodeChange() (Change, error) {
	var c Change
	if err := msgstream.Unmarshal(r.Change, &c); err != nil {
		return Change{}, merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	if c.Number != r.Number {
		return Change{}, merry.Wrap(ErrMalformed, merry.AppendMessagef("revision %d carries change %d", r.Number, c.Number))
	}
	return c, nil
}

// ApplyTo applies the revision to the configuration before it. It returns
// ErrChain if the revision does not continue the chain.
func (r Revision) ApplyTo(previous Head, c *Config) (*Config, error) {
	if r.Number != previous.Number+1 || chain(previous.Digest, r.Change) != r.Digest {
		return nil, merry.Wrap(ErrChainBroken, merry.AppendMessagef("revision %d does not continue revision %d", r.Number, previous.Number))
	}
	change, err := r.DecodeChange()
	if err != nil {
		return nil, err
	}
	return change.Delta.Apply(c)
}

// SnapshotConfig returns the configuration of a snapshot. It returns ErrChain if the
// snapshot is not the state that its own change leads to.
func (r Revision) SnapshotConfig() (*Config, error) {
	if !r.IsSnapshot() || chain(*r.PreviousDigest, r.Change) != r.Digest {
		return nil, merry.Wrap(ErrChainBroken, merry.AppendMessagef("snapshot of revision %d", r.Number))
	}
	change, err := r.DecodeChange()
	if err != nil {
		return nil, err
	}
	if model.Sum(r.Snapshot) != change.Delta.StateDigest {
		return nil, merry.Wrap(ErrChainBroken, merry.AppendMessagef("snapshot of revision %d has another state", r.Number))
	}
	return Decode(r.Snapshot)
}

// Encode returns the form that is stored and sent.
func (r Revision) Encode() ([]byte, error) { return encode(&r) }

// DecodeRevision reads the form that Encode returns.
func DecodeRevision(data []byte) (Revision, error) {
	var r Revision
	if err := msgstream.Unmarshal(data, &r); err != nil {
		return Revision{}, merry.Wrap(ErrMalformed, merry.WithCause(err))
	}
	return r, nil
}

// chain continues the digest chain.
func chain(previous model.Digest, change []byte) model.Digest {
	buf := make([]byte, 0, len(previous)+len(change))
	buf = append(buf, previous[:]...)
	return model.Sum(append(buf, change...))
}
