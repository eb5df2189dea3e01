package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// StepKind is the kind of a Step.
type StepKind string

// Kinds of steps.
const (
	KillEntry             StepKind = "kill-entry"
	KillAgent             StepKind = "kill-agent"
	KillAll               StepKind = "kill-all"
	PauseEntry            StepKind = "pause-entry"
	PauseAgent            StepKind = "pause-agent"
	StopEntry             StepKind = "stop-entry"
	ReloadEntry           StepKind = "hangup"
	StoreLink             StepKind = "store-link"
	ServerLink            StepKind = "server-link"
	OriginLink            StepKind = "origin-link"
	StoreDown             StepKind = "store-down"
	StoreDropsHistory     StepKind = "store-forgets"
	StoreStale            StepKind = "store-stale"
	CrashServer           StepKind = "crash-server"
	DrainServer           StepKind = "drain-server"
	ServerMisbehaves      StepKind = "trouble-server"
	EnginesBreakStreams   StepKind = "break-streams"
	ServerSignalsDraining StepKind = "leave-server"
	ServerSendsRetryAfter StepKind = "pause-server"
	ServerLimitsRate      StepKind = "limit-server"
	SendPoison            StepKind = "ask-poison"
	CorruptStagedPiece    StepKind = "rot-piece"
	CorruptOriginPieces   StepKind = "spoil-pieces"
	SlowStaging           StepKind = "slow-staging"
	DelayOrders           StepKind = "delay-orders"
	DamageStagedPieces    StepKind = "damage-staged"
	CorruptPiecesOften    StepKind = "rot-often"
	DelayOrdersLong       StepKind = "delay-orders-long"
	CorruptAfterOrders    StepKind = "rot-after-orders"
	RestartEntries        StepKind = "restart-entries"
	RestartAgents         StepKind = "restart-agents"
	LoseReports           StepKind = "lose-reports"
	ChangeConfig          StepKind = "change-config"
	DeclareVersion        StepKind = "declare-weights"
)

// plannedWork contains the steps that are planned work. They must not disturb any
// request, so they do not suspend checks as faults do.
var plannedWork = map[StepKind]bool{
	StopEntry: true, ReloadEntry: true, DrainServer: true, ServerSignalsDraining: true, ServerSendsRetryAfter: true, ServerLimitsRate: true, ChangeConfig: true, DeclareVersion: true, CorruptStagedPiece: true, CorruptOriginPieces: true,
	SlowStaging: true, DelayOrders: true, DamageStagedPieces: true, CorruptPiecesOften: true,
	OddRow: true,
}

// processFaults are the faults that only stop processes.
var processFaults = []StepKind{KillEntry, KillAgent, KillAll, PauseEntry, PauseAgent}

// Step is one fault or one piece of planned work.
type Step struct {
	Kind StepKind
	// Start is the time from the start of traffic.
	Start, Duration time.Duration
	// Target determines the process, link or server: its index modulo their number.
	Target int
	// LinkFault applies to StoreLink, ServerLink and OriginLink.
	LinkFault LinkFault
}

func (s Step) String() string {
	return fmt.Sprintf("%5.1fs %-15s target %d for %.1fs link %d", s.Start.Seconds(), s.Kind, s.Target, s.Duration.Seconds(), s.LinkFault)
}

const (
	// firstStepStart is the earliest start of a step. It leaves time for a start
	// without faults.
	firstStepStart = 1500 * time.Millisecond
	// maxStepDuration is longer than the timeouts of connections, which are 2 s.
	maxStepDuration = 3 * time.Second
	minStepDuration = 200 * time.Millisecond
	// minSteps and maxSteps limit the number of steps of a run. They are high enough
	// that some steps overlap.
	minSteps, maxSteps = 5, 12
)

// stepKinds are the kinds that NewPlan draws from. Kinds that are listed several times
// are more likely.
var stepKinds = []StepKind{
	KillEntry, KillEntry, KillAgent, KillAll, PauseEntry, PauseAgent, StopEntry, StopEntry, ReloadEntry,
	StoreLink, StoreLink, ServerLink, ServerLink, OriginLink, StoreDown, StoreDropsHistory, StoreStale,
	CrashServer, CrashServer, DrainServer, ServerMisbehaves, ServerMisbehaves, CorruptStagedPiece, CorruptOriginPieces,
	EnginesBreakStreams,
	ServerSignalsDraining, ServerSignalsDraining, ServerSendsRetryAfter, ServerSendsRetryAfter, ServerLimitsRate, ServerLimitsRate, SendPoison, SendPoison,
	ChangeConfig, ChangeConfig, DeclareVersion, DeclareVersion, OddRow, OddRow,
}

// weightsStepKinds are drawn separately, so that the other steps of a seed stay the same.
var weightsStepKinds = []StepKind{SlowStaging, DelayOrders, DamageStagedPieces, CorruptPiecesOften}

// weightsStepDuration is the time from the declaration of a version until its last engine
// has been ordered to load it.
const weightsStepDuration = 8 * time.Second

// newWeightsSteps returns steps that affect how engines load weights, each kind with equal
// probability, and the declaration of a version at their start.
func newWeightsSteps(seed uint64, window time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, 2))
	duration := min(weightsStepDuration, window-2*firstStepStart)
	start := firstStepStart + time.Duration(rng.Int64N(int64(window-firstStepStart-duration)))
	steps := []Step{{Kind: DeclareVersion, Start: start}}
	for _, kind := range weightsStepKinds {
		if rng.IntN(2) == 0 {
			steps = append(steps, Step{Kind: kind, Target: rng.IntN(64), Start: start, Duration: duration})
		}
	}
	return steps
}

// NewPlan returns random steps for a seed, ordered by start. All of them end within
// window.
func NewPlan(seed uint64, window time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, 1))
	steps := make([]Step, minSteps+rng.IntN(maxSteps-minSteps+1))
	for i := range steps {
		s := Step{
			Kind: stepKinds[rng.IntN(len(stepKinds))], Target: rng.IntN(64),
			LinkFault: LinkDelayed + LinkFault(rng.IntN(int(LinkBlackhole-LinkDelayed)+1)),
		}
		s.Duration = minStepDuration + time.Duration(rng.Int64N(int64(maxStepDuration-minStepDuration)))
		s.Start = firstStepStart + time.Duration(rng.Int64N(int64(window-firstStepStart-s.Duration)))
		if i > 0 && rng.IntN(3) == 0 {
			// Some steps start before the previous one has ended.
			s.Start = min(steps[i-1].Start+time.Duration(rng.Int64N(int64(steps[i-1].Duration))), window-s.Duration)
		}
		steps[i] = s
	}
	steps = append(steps, newWeightsSteps(seed, window)...)
	steps = append(steps, newPoisonPartSteps(seed, window)...)
	steps = append(steps, newConfigsBehindCutSteps(seed, window)...)
	steps = append(steps, newStoreRestoredSteps(seed, window)...)
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.Start, b.Start) })
	return steps
}

// undisturbed reports whether there was no fault, other than planned work, between two
// points in time and for settle before.
func undisturbed(steps []Step, from, to, settle time.Duration) bool {
	for _, s := range steps {
		if !plannedWork[s.Kind] && s.Start <= to && s.Start+s.Duration+settle >= from {
			return false
		}
	}
	return true
}
