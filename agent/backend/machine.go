package backend

import (
	"math/rand"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/qmuntal/stateless"

	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Machine is the state machine of the weights of one instance. Each method that
// handles an event may add actions, which TakeActions returns in order. Machine is not
// safe for concurrent use.
type Machine struct {
	cfg    Config
	random *rand.Rand
	guard  *engine.Guard
	phases *stateless.StateMachine
	now    time.Time

	wanted model.Weights
	// staged is the version being fetched or loaded, without files until fetched.
	staged   StagedWeights
	fetching bool
	// live is zero if the instance serves nothing.
	live confirmedState
	// previous is the last state that was made live. If the engine still reports it,
	// nothing has changed since.
	previous  confirmedState
	candidate candidate
	// recordChecked is true once an idle engine's state was compared with Config.Recorded.
	recordChecked bool
	// recorded is the stored record.
	recorded LoadRecord

	verification verification

	readPending bool
	failedReads int
	nextReadAt  time.Time
	guardWakeAt time.Time

	quiesced      bool
	permitPending bool
	nextPermitAt  time.Time

	failures int
	failure  error
	retryAt  time.Time

	actions []Action
}

// NewMachine returns a machine without a wanted version and without any information
// about the engine. random is used for the jitter of the backoff.
func NewMachine(cfg Config, random *rand.Rand) *Machine {
	cfg.applyDefaults()
	m := &Machine{cfg: cfg, random: random, guard: engine.NewGuard(cfg.Guard), recorded: cfg.Recorded}
	m.phases = m.newPhases()
	return m
}

// Phase returns the phase of the wanted version.
func (m *Machine) Phase() wire.Phase {
	return m.phases.MustState().(wire.Phase) //nolint:forcetypeassert // the only type of state
}

// Wanted returns the wanted version, or zero if there is none.
func (m *Machine) Wanted() model.Weights { return m.wanted }

// Live returns the weights that are served, or zero if there are none.
func (m *Machine) Live() model.Weights { return m.live.weights }

// TakeActions returns the actions to carry out, in order, and removes them.
func (m *Machine) TakeActions() []Action {
	out := m.actions
	m.actions = nil
	return out
}

// NextTick returns the time by which Tick must be called.
func (m *Machine) NextTick() time.Time {
	next := m.now.Add(m.cfg.StatePollInterval)
	atLatest := func(t time.Time) {
		if t.Before(next) {
			next = t
		}
	}
	switch m.Phase() {
	case wire.PhaseFailed:
		atLatest(m.retryAt)
	case wire.PhaseVerified:
		if !m.permitPending {
			atLatest(m.nextPermitAt)
		}
	}
	if m.guard.Outstanding() {
		atLatest(m.guardWakeAt)
	}
	return next
}

// fire triggers a transition. Methods check the phase before they fire a trigger that
// not every phase permits, so an error is a violated invariant.
func (m *Machine) fire(t trigger) {
	if err := m.phases.Fire(t); err != nil {
		panic(merry.Prependf(err, "phase %s", m.Phase()))
	}
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) reportPhase(phase wire.Phase, err error) {
	m.emit(Action{Kind: ActionReport, Weights: m.wanted, Phase: phase, Err: err})
}

func (m *Machine) serve() { m.emit(Action{Kind: ActionServe, Weights: m.live.weights}) }

// record replaces the stored record.
func (m *Machine) record(r LoadRecord) {
	if r != m.recorded {
		m.recorded = r
		m.emit(Action{Kind: ActionRecord, Record: r})
	}
}

func (m *Machine) fail(err error) {
	m.failure = err
	m.fire(triggerFailed)
}
