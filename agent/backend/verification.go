package backend

import (
	"errors"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// ErrLoadUnverified means that an engine may have loaded other bytes than those of the
// weights that it reports. It serves nothing until it has loaded them again.
var ErrLoadUnverified = merry.New("loaded weights are not verified")

// verificationStep is what a load waits for while no order is outstanding.
type verificationStep uint8

const (
	// verifyNothing: no load is running, or its order is outstanding.
	verifyNothing verificationStep = iota
	// verifyStaged: the staged files are being verified before the order is sent.
	verifyStaged
	// verifyLoaded: the staged files are being verified after the engine has read them.
	verifyLoaded
	// verifyState: the files were intact; a state that is read now must show that the
	// engine still has what it loaded from them.
	verifyState
)

// verification is the state of the checks of a load.
type verification struct {
	step verificationStep
	// number tells the result that the machine waits for from earlier ones.
	number uint64
	// loaded is the state that the engine reported after the load.
	loaded confirmedState
	// staleRead is true if the pending read of the state began before verifyState.
	staleRead bool
}

// startVerification emits an action whose result HandleVerified receives.
func (m *Machine) startVerification(step verificationStep, kind ActionKind, loaded confirmedState) {
	m.verification = verification{step: step, number: m.verification.number + 1, loaded: loaded}
	m.emit(Action{Kind: kind, Weights: m.staged.Weights, Staged: m.staged, Number: m.verification.number})
}

// endVerification makes the machine ignore the result of a running verification.
func (m *Machine) endVerification() {
	m.verification = verification{number: m.verification.number}
}

// stagedFilesStale reports whether the staged files were verified so long ago that they
// must be verified again before the engine is ordered to load them.
func (m *Machine) stagedFilesStale() bool {
	return m.now.Sub(m.staged.VerifiedAt) > m.cfg.MaxVerificationAge
}

// submitLoad submits the load order, or first verifies the staged files if that was too
// long ago.
func (m *Machine) submitLoad() {
	if m.stagedFilesStale() {
		m.startVerification(verifyStaged, ActionVerifyStaged, confirmedState{})
		return
	}
	err := m.guard.Submit(engine.Order{
		Kind: engine.OrderLoad, Weights: m.staged.Weights, Base: m.staged.Base, Adapter: m.staged.Adapter,
	})
	if err != nil {
		panic(err) // a load starts only if no order is outstanding
	}
}

// confirmLoad compares a state that was read after a load with the state at its end.
func (m *Machine) confirmLoad(s engine.State, err error) {
	if err != nil {
		m.failedReads++
		if errors.Is(err, engine.ErrNotStarted) || m.failedReads >= m.cfg.MaxFailedReads {
			m.endLoad(merry.Wrap(ErrLoadUnverified, merry.WithCause(err)))
		}
		return
	}
	m.failedReads = 0
	v := &m.verification
	switch {
	case s.Busy || confirmedStateOf(s) != v.loaded:
		m.endLoad(merry.Wrap(ErrLoadUnverified, merry.AppendMessage("engine changed its state after the load")))
	case v.step != verifyState:
	case v.staleRead:
		v.staleRead = false
		m.nextReadAt = m.now
	default:
		m.setLive(v.loaded)
		m.endLoad(nil)
	}
}

// endLoad leaves the phase of the load. If another version is wanted by now, the loaded
// version is served until it is replaced.
func (m *Machine) endLoad(err error) {
	m.endVerification()
	switch {
	case m.wanted != m.staged.Weights:
		m.fire(triggerLoadSuperseded)
	case err != nil:
		m.fail(err)
	default:
		m.fire(triggerConfirmed)
	}
}

// withdrawLoad ends a load whose order was not sent, and reports whether it did.
func (m *Machine) withdrawLoad() bool {
	if m.Phase() != wire.PhaseLoading {
		return false
	}
	switch m.verification.step {
	case verifyStaged:
		m.endVerification()
		return true
	case verifyNothing:
		return m.guard.Withdraw()
	default:
		return false
	}
}
