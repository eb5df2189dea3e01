package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// StepKind is what a step of a plan does.
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
	ServerSignalsDraining StepKind = "leave-server"
	ServerSendsRetryAfter StepKind = "pause-server"
	SendPoison            StepKind = "ask-poison"
	CorruptStagedPiece    StepKind = "rot-piece"
	CorruptOriginPieces   StepKind = "spoil-pieces"
	ChangeConfig          StepKind = "change-config"
	DeclareVersion        StepKind = "declare-weights"
)

// planned are the steps of planned work: they excuse nothing.
var planned = map[StepKind]bool{
	StopEntry: true, ReloadEntry: true, DrainServer: true, ServerSignalsDraining: true, ServerSendsRetryAfter: true, ChangeConfig: true, DeclareVersion: true, CorruptStagedPiece: true, CorruptOriginPieces: true,
}

// Step is one fault or one piece of planned work.
type Step struct {
	Kind StepKind
	// Start counts from the start of traffic. For is how long a fault lasts.
	Start, Duration time.Duration
	// Target numbers the process, link or server; Link is the fault of a link.
	Target    int
	LinkFault LinkFault
}

func (s Step) String() string {
	return fmt.Sprintf("%5.1fs %-15s target %d for %.1fs link %d", s.Start.Seconds(), s.Kind, s.Target, s.Duration.Seconds(), s.LinkFault)
}

const (
	// firstStep leaves time for a calm start.
	firstStep = 1500 * time.Millisecond
	// longestFault is above the time-outs of connections, which are 2 s.
	longestFault  = 3 * time.Second
	shortestFault = 200 * time.Millisecond
	// fewestSteps and mostSteps bound the steps of a run, so that some overlap.
	fewestSteps, mostSteps = 5, 12
)

// kinds are the steps that are drawn, likelier ones more often.
var kinds = []StepKind{
	KillEntry, KillEntry, KillAgent, KillAll, PauseEntry, PauseAgent, StopEntry, StopEntry, ReloadEntry,
	StoreLink, StoreLink, ServerLink, ServerLink, OriginLink, StoreDown, StoreDropsHistory, StoreStale,
	CrashServer, CrashServer, DrainServer, ServerMisbehaves, ServerMisbehaves, CorruptStagedPiece, CorruptOriginPieces,
	ServerSignalsDraining, ServerSignalsDraining, ServerSendsRetryAfter, ServerSendsRetryAfter, SendPoison, SendPoison,
	ChangeConfig, ChangeConfig, DeclareVersion, DeclareVersion,
}

// NewPlan draws the steps of a seed. All of them end before busy is over.
func NewPlan(seed uint64, busy time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, 1))
	steps := make([]Step, fewestSteps+rng.IntN(mostSteps-fewestSteps+1))
	for i := range steps {
		s := Step{
			Kind: kinds[rng.IntN(len(kinds))], Target: rng.IntN(64),
			LinkFault: LinkDelayed + LinkFault(rng.IntN(int(LinkBlackhole-LinkDelayed)+1)),
		}
		s.Duration = shortestFault + time.Duration(rng.Int64N(int64(longestFault-shortestFault)))
		s.Start = firstStep + time.Duration(rng.Int64N(int64(busy-firstStep-s.Duration)))
		if i > 0 && rng.IntN(3) == 0 {
			// Some steps meet: they come while another one lasts.
			s.Start = min(steps[i-1].Start+time.Duration(rng.Int64N(int64(steps[i-1].Duration))), busy-s.Duration)
		}
		steps[i] = s
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.Start, b.Start) })
	return steps
}

// calm reports whether no fault, planned work apart, was there between two
// moments or in the time before that it takes to settle.
func calm(steps []Step, from, to, settle time.Duration) bool {
	for _, s := range steps {
		if !planned[s.Kind] && s.Start <= to && s.Start+s.Duration+settle >= from {
			return false
		}
	}
	return true
}
