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

// Machine decides what happens with the weights of one instance. Every event
// method may add actions, which Actions returns in order. It is not safe for
// concurrent use.
type Machine struct {
	cfg    Config
	random *rand.Rand
	guard  *engine.Guard
	phases *stateless.StateMachine
	now    time.Time

	wanted   model.Weights
	fetched  StagedWeights
	fetching bool
	// live is zero when the instance serves nothing.
	live confirmed
	// previous is what was live before a load or a loss. A state that still
	// equals it shows that nothing has changed.
	previous  confirmed
	candidate candidate

	reading   bool
	missed    int
	nextRead  time.Time
	guardWake time.Time

	quiesced   bool
	permitting bool
	permitAt   time.Time

	failures int
	failure  error
	retryAt  time.Time

	actions []Action
}

// NewMachine returns a machine that wants nothing and knows nothing about the engine.
func NewMachine(cfg Config, random *rand.Rand) *Machine {
	cfg.applyDefaults()
	m := &Machine{cfg: cfg, random: random, guard: engine.NewGuard(cfg.Guard)}
	m.phases = m.newPhases()
	return m
}

// Phase returns the phase of the wanted version.
func (m *Machine) Phase() wire.Phase {
	return m.phases.MustState().(wire.Phase) //nolint:forcetypeassert // the only type of state
}

// Wanted returns the wanted version; zero when none is.
func (m *Machine) Wanted() model.Weights { return m.wanted }

// Live returns the weights that are served; zero when none are.
func (m *Machine) Live() model.Weights { return m.live.weights }

// TakeActions returns what to do, in order, and forgets it.
func (m *Machine) TakeActions() []Action {
	out := m.actions
	m.actions = nil
	return out
}

// NextTick returns when Tick is due at the latest.
func (m *Machine) NextTick() time.Time {
	wake := m.now.Add(m.cfg.StatePollInterval)
	earlier := func(t time.Time) {
		if t.Before(wake) {
			wake = t
		}
	}
	switch m.Phase() {
	case wire.PhaseFailed:
		earlier(m.retryAt)
	case wire.PhaseVerified:
		if !m.permitting {
			earlier(m.permitAt)
		}
	}
	if m.guard.Outstanding() {
		earlier(m.guardWake)
	}
	return wake
}

// fire moves the phase. The table permits every trigger that the methods fire
// in the phases that they check, so an error is a broken invariant.
func (m *Machine) fire(t trigger) {
	if err := m.phases.Fire(t); err != nil {
		panic(merry.Prependf(err, "phase %s", m.Phase()))
	}
}

func (m *Machine) act(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) report(phase wire.Phase, err error) {
	m.act(Action{Kind: ActionReport, Weights: m.wanted, Phase: phase, Err: err})
}

func (m *Machine) serve() { m.act(Action{Kind: ActionServe, Weights: m.live.weights}) }

func (m *Machine) fail(err error) {
	m.failure = err
	m.fire(triggerFailed)
}
