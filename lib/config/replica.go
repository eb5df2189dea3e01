package config

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Replica is a process's copy of the accepted configuration. It takes what the
// store, peers and agents offer and applies only higher revisions that continue
// its digest chain, so that no stale source can lower it. Current may be called
// from any goroutine; all other methods belong to one owner.
type Replica struct {
	cfg   ReplicaConfig
	start time.Time
	view  atomic.Pointer[View]

	// settled is false while a new replica collects offers.
	settled bool
	// candidate is the highest offer while not settled, and otherwise the
	// state that view shows.
	state     replicaState
	confirmed time.Time
	// highest is the highest revision that any source reported.
	highest  uint64
	retained []retainedStep
	bytes    int
	// answers holds what was served since the last revision, by the index of the
	// first retained step: in a burst many agents ask for the same.
	answers map[int][]byte
}

// replicaState is a configuration with what is needed to send it as a snapshot.
type replicaState struct {
	head     Head
	config   *Config
	revision Revision
	previous Head
	accepted time.Time
}

// retainedStep is one encoded revision kept for others. It leads from base to
// number, over several revisions if it is merged.
type retainedStep struct {
	base   Head
	number uint64
	data   []byte
}

// NewReplica returns a replica without a configuration.
func NewReplica(cfg ReplicaConfig, now time.Time) *Replica {
	cfg.applyDefaults()
	return &Replica{cfg: cfg, start: now, state: replicaState{config: &Config{}}}
}

// Current returns the configuration in force, or nil before the first one. It
// is safe for concurrent use.
func (r *Replica) Current() *View { return r.view.Load() }

// Head returns the highest revision that the replica holds.
func (r *Replica) Head() Head { return r.state.head }

// Age returns the time since the store confirmed, directly or through peers,
// that the replica's revision was the newest.
func (r *Replica) Age(now time.Time) time.Duration {
	if r.confirmed.IsZero() {
		return now.Sub(r.start)
	}
	return max(0, now.Sub(r.confirmed))
}

// ObserveHead takes the head that a source reports, with the age of the source's
// own confirmation (0 for the store). It reports whether revisions are to be
// fetched from the source, and returns ErrChain if the source holds another
// history.
func (r *Replica) ObserveHead(head Head, age time.Duration, now time.Time) (behind bool, err error) {
	r.highest = max(r.highest, head.Number)
	if head.Number > r.state.head.Number {
		return true, nil
	}
	if head.Number < r.state.head.Number {
		return false, nil
	}
	if head.Digest != r.state.head.Digest {
		return false, merry.Wrap(ErrChainBroken, merry.AppendMessagef("revision %d is %s here and %s at the source", head.Number, r.state.head.Digest.Short(), head.Digest.Short()))
	}
	if at := now.Add(-age); at.After(r.confirmed) {
		r.confirmed = at
	}
	return false, nil
}

// Apply takes encoded revisions in order. It applies those that are higher and
// continue the chain, and reports how many. On an error the earlier ones stay
// applied: ErrMalformed and ErrChain mean damaged data, ErrGap that revisions
// before it are missing.
func (r *Replica) Apply(encoded [][]byte, now time.Time) (applied int, err error) {
	for _, data := range encoded {
		revision, err := DecodeRevision(data)
		if err != nil {
			return applied, err
		}
		ok, err := r.take(revision)
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

// Tick ends the start window when its time is over, or later while a reported
// higher revision is still being fetched.
func (r *Replica) Tick(now time.Time) {
	if r.settled {
		return
	}
	elapsed := now.Sub(r.start)
	if elapsed >= startPatience*r.cfg.StartWindow || elapsed >= r.cfg.StartWindow && r.state.head.Number >= r.highest {
		r.EndStartWindow()
	}
}

// EndStartWindow ends the start window early. The assembly calls it when every known
// source has answered.
func (r *Replica) EndStartWindow() {
	if r.settled || r.state.head.Number == 0 {
		return
	}
	r.settled = true
	r.publish()
}

// take applies one revision if it is higher.
func (r *Replica) take(revision Revision) (bool, error) {
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
		next.config, err = r.advance(revision)
		if err == nil {
			next.previous.Digest = *revision.PreviousDigest
		}
	case revision.IsSnapshot():
		// A snapshot over a gap proves that its state belongs to its digest, not
		// that the digest continues this replica's. It comes from the store or
		// an authorised peer, which accept only what the store committed.
		next.config, err = revision.SnapshotConfig()
		next.previous = Head{Number: revision.Number - 1}
		if err == nil {
			next.previous.Digest = *revision.PreviousDigest
			r.retained, r.bytes = nil, 0
		}
	default:
		err = merry.Wrap(ErrRevisionGap, merry.AppendMessagef("revision %d offered, %d held", revision.Number, r.state.head.Number))
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
	r.state, r.answers = next, nil
	r.retain(base, revision)
	if r.settled {
		r.publish()
	}
	return true, nil
}

// advance applies a merged revision. Its base must lie in this replica's history
// as far as that is retained. A base that this replica passed over within an
// earlier merged revision leaves the checks of a snapshot over a gap.
func (r *Replica) advance(revision Revision) (*Config, error) {
	if revision.BaseNumber > r.state.head.Number {
		return nil, merry.Wrap(ErrRevisionGap, merry.AppendMessagef("revisions after %d offered, %d held", revision.BaseNumber, r.state.head.Number))
	}
	if known, ok := r.digestOf(revision.BaseNumber); ok && known != *revision.BaseDigest {
		return nil, merry.Wrap(ErrChainBroken, merry.AppendMessagef("merged revision %d continues another revision %d", revision.Number, revision.BaseNumber))
	}
	return revision.ApplyMergedTo(r.state.config)
}

// digestOf returns the chain digest of a revision that the replica held.
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

func (r *Replica) publish() {
	r.view.Store(&View{Config: r.state.config, Head: r.state.head, Accepted: r.state.accepted})
}

// IsDamaged reports whether an error of Offer or Observe means that the source
// holds a damaged or foreign copy.
func IsDamaged(err error) bool {
	return errors.Is(err, ErrChainBroken) || errors.Is(err, ErrMalformed)
}
