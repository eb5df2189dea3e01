package config

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Replica is the copy of the accepted configuration in one process. It accepts
// revisions from the store and from other processes, and applies only higher ones
// that continue its digest chain, so that a stale source cannot take it back to
// an older revision. Current is safe for concurrent use; all other methods are
// not.
type Replica struct {
	cfg   ReplicaConfig
	start time.Time
	view  atomic.Pointer[View]

	// startWindowOver is false while a new replica collects revisions without
	// putting them in force.
	startWindowOver bool
	// state is the highest revision applied. It is in force, and equal to view,
	// once the start window is over.
	state replicaState
	// confirmedAt is when the store last confirmed, directly or through peers,
	// that state is the newest revision.
	confirmedAt time.Time
	// highestReported is the highest revision number reported by any source.
	highestReported uint64
	retained        []retainedStep
	retainedBytes   int
	// responses caches what RevisionsAfter has encoded since the last revision was
	// applied, by the index of the first retained step, because many agents
	// request the same revisions in a burst of changes.
	responses map[int][]byte
}

// replicaState is a configuration together with the data that is needed to send it
// as a snapshot.
type replicaState struct {
	head     Head
	config   *Config
	revision Revision
	previous Head
	accepted time.Time
}

// retainedStep is one encoded revision kept for other processes. It leads from
// base to the revision with the given number and spans several revisions if it is
// merged.
type retainedStep struct {
	base   Head
	number uint64
	data   []byte
}

// NewReplica returns a replica without a configuration. Its start window begins at
// now.
func NewReplica(cfg ReplicaConfig, now time.Time) *Replica {
	cfg.applyDefaults()
	return &Replica{cfg: cfg, start: now, state: replicaState{config: &Config{}}}
}

// Current returns the configuration in force, or nil if there is none yet. It is
// safe for concurrent use.
func (r *Replica) Current() *View { return r.view.Load() }

// Head returns the highest revision that the replica holds, which may not be in
// force yet.
func (r *Replica) Head() Head { return r.state.head }

// Age returns the time since the store last confirmed, directly or through peers,
// that the revision of the replica was the newest one.
func (r *Replica) Age(now time.Time) time.Duration {
	if r.confirmedAt.IsZero() {
		return now.Sub(r.start)
	}
	return max(0, now.Sub(r.confirmedAt))
}

// ObserveHead processes the head reported by a source. Age is the time since the
// source's own head was confirmed, 0 for the store. It reports whether the replica
// is behind the source, and returns ErrChainBroken if the source holds a different
// revision under the same number.
func (r *Replica) ObserveHead(head Head, age time.Duration, now time.Time) (behind bool, err error) {
	r.highestReported = max(r.highestReported, head.Number)
	if head.Number > r.state.head.Number {
		return true, nil
	}
	if head.Number < r.state.head.Number {
		return false, nil
	}
	if head.Digest != r.state.head.Digest {
		return false, merry.Wrap(ErrChainBroken, merry.AppendMessagef("revision %d has digest %s in the replica and %s at the source", head.Number, r.state.head.Digest.Short(), head.Digest.Short()))
	}
	if at := now.Add(-age); at.After(r.confirmedAt) {
		r.confirmedAt = at
	}
	return false, nil
}

// Apply applies encoded revisions in order. It skips those that are not higher
// than the replica's and returns the number of applied ones. On an error the
// earlier ones remain applied: ErrMalformed and ErrChainBroken mean damaged data,
// ErrRevisionGap means that preceding revisions are missing.
func (r *Replica) Apply(encoded [][]byte, now time.Time) (applied int, err error) {
	for _, data := range encoded {
		revision, err := DecodeRevision(data)
		if err != nil {
			return applied, err
		}
		ok, err := r.applyRevision(revision)
		if err != nil {
			return applied, err
		}
		if ok {
			applied++
		}
	}
	r.Tick(now)
	return applied, nil
}

// Tick ends the start window when its time is over. While a reported higher
// revision is still missing, the window is extended to at most maxStartWindows
// times its length.
func (r *Replica) Tick(now time.Time) {
	if r.startWindowOver {
		return
	}
	elapsed := now.Sub(r.start)
	if elapsed >= maxStartWindows*r.cfg.StartWindow || elapsed >= r.cfg.StartWindow && r.state.head.Number >= r.highestReported {
		r.EndStartWindow()
	}
}

// EndStartWindow ends the start window early if the replica holds a revision. It
// is called when all known sources have answered.
func (r *Replica) EndStartWindow() {
	if r.startWindowOver || r.state.head.Number == 0 {
		return
	}
	r.startWindowOver = true
	r.publish()
}

// applyRevision applies a revision if it is higher than the replica's, and reports
// whether it did.
func (r *Replica) applyRevision(revision Revision) (bool, error) {
	if revision.Number <= r.state.head.Number {
		return false, nil
	}
	next := replicaState{head: revision.Head(), revision: revision, previous: r.state.head}
	var err error
	switch {
	case revision.Number == r.state.head.Number+1:
		next.config, err = revision.ApplyTo(r.state.head, r.state.config)
	case revision.IsMerged():
		next.previous = Head{Number: revision.Number - 1}
		next.config, err = r.applyMerged(revision)
		if err == nil {
			next.previous.Digest = *revision.PreviousDigest
		}
	case revision.IsSnapshot():
		// A snapshot across a gap only proves that its configuration matches
		// its digest, not that the digest continues this replica's chain. It
		// is accepted because the store and authorized peers hold only
		// revisions that the store committed.
		next.config, err = revision.SnapshotConfig()
		next.previous = Head{Number: revision.Number - 1}
		if err == nil {
			next.previous.Digest = *revision.PreviousDigest
			r.retained, r.retainedBytes = nil, 0
		}
	default:
		err = merry.Wrap(ErrRevisionGap, merry.AppendMessagef("received revision %d, replica holds %d", revision.Number, r.state.head.Number))
	}
	if err != nil {
		return false, err
	}
	change, err := revision.DecodeChange()
	if err != nil {
		return false, err
	}
	next.accepted = change.Time()
	base := next.previous
	if revision.IsMerged() {
		base = r.state.head
	}
	r.state, r.responses = next, nil
	r.retain(base, revision)
	if r.startWindowOver {
		r.publish()
	}
	return true, nil
}

// applyMerged applies a merged revision. Its base must be part of this replica's
// history, as far as that is retained. If an earlier merged revision spanned the
// base, the replica does not know its digest, and only the checks of a snapshot
// across a gap remain.
func (r *Replica) applyMerged(revision Revision) (*Config, error) {
	if revision.BaseNumber > r.state.head.Number {
		return nil, merry.Wrap(ErrRevisionGap, merry.AppendMessagef("received merged revision on base %d, replica holds %d", revision.BaseNumber, r.state.head.Number))
	}
	if known, ok := r.digestOf(revision.BaseNumber); ok && known != *revision.BaseDigest {
		return nil, merry.Wrap(ErrChainBroken, merry.AppendMessagef("merged revision %d is based on a different revision %d", revision.Number, revision.BaseNumber))
	}
	return revision.ApplyMergedTo(r.state.config)
}

// digestOf returns the chain digest of a revision if it is the current or a
// retained one.
func (r *Replica) digestOf(number uint64) (model.Digest, bool) {
	if number == r.state.head.Number {
		return r.state.head.Digest, true
	}
	for _, step := range r.retained {
		if step.base.Number == number {
			return step.base.Digest, true
		}
	}
	return model.Digest{}, false
}

// publish puts the state in force.
func (r *Replica) publish() {
	r.view.Store(&View{Config: r.state.config, Head: r.state.head, Accepted: r.state.accepted})
}

// IsDamaged reports whether an error from Apply or ObserveHead means that the
// source holds a damaged copy or a different history.
func IsDamaged(err error) bool {
	return errors.Is(err, ErrChainBroken) || errors.Is(err, ErrMalformed)
}
