package requestsim

import (
	"time"

	"github.com/auburnbend/auburnbend/internal/tabletest"
)

// swapMessages swaps two adjacent messages to an entry.
func (sim *simulation) swapMessages() {
	for _, l := range sim.linksWithMessages(false) {
		if n := len(l.toEntry); n > 1 {
			i := sim.draw("position", n-1)
			l.toEntry[i], l.toEntry[i+1] = l.toEntry[i+1], l.toEntry[i]
			return
		}
	}
}

func (sim *simulation) drawOpenLink() *link {
	var open []*link
	for _, l := range sim.links {
		if !l.closed {
			open = append(open, l)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return open[sim.draw("link", len(open))]
}

func (sim *simulation) blackholeLink() {
	if l := sim.drawOpenLink(); l != nil && sim.chance("really", 2) {
		l.blackholed = true
		l.toEntry = nil
	}
}

func (sim *simulation) closeLink() {
	if l := sim.drawOpenLink(); l != nil && sim.chance("really", 2) {
		l.entry.connectionLost(l)
		if sim.chance("agent notices", 2) {
			l.agent.connectionLost(l, sim.now)
		}
	}
}

func (sim *simulation) changeStoreFault() {
	fault := tabletest.Fault(sim.draw("fault", 5))
	reads := sim.chance("reads fail", 2)
	sim.fault = func(write bool) tabletest.Fault {
		if write || reads {
			return fault
		}
		return tabletest.NoFault
	}
	if sim.chance("healthy", 2) {
		sim.fault = nil
	}
}

// advanceTime advances the time by up to 6 s, so that deadlines pass and agents
// cancel attempts that have stayed detached for too long.
func (sim *simulation) advanceTime() {
	sim.now = sim.now.Add(time.Duration(1+sim.draw("tenths", 60)) * 100 * time.Millisecond)
	for _, a := range sim.agents {
		a.tick()
	}
	for _, e := range sim.entries {
		for _, r := range e.active {
			if !r.submission.answered && r.machine.Remaining(sim.now) <= 0 && sim.chance("timer on time", 2) {
				e.applyStep(r, r.machine.DeadlinePassed(sim.now), nil)
			}
		}
	}
}

func (sim *simulation) crashEntry() {
	if sim.chance("really", 3) {
		sim.entries[sim.draw("entry", entryCount)].crash()
	}
}

func (sim *simulation) restartAgent() {
	if sim.chance("really", 3) {
		sim.agents[sim.draw("agent", agentCount)].restart()
	}
}

func (sim *simulation) crashEngine() {
	if sim.chance("really", 2) {
		sim.agents[sim.draw("agent", agentCount)].crashEngine()
	}
}

// pauseEntries pauses all entries for longer than agents remember attempt ids. The
// agents miss the heartbeats and close the connections within seconds, so no
// message of before the pause arrives after it.
func (sim *simulation) pauseEntries() {
	if !sim.chance("really", 10) {
		return
	}
	sim.now = sim.now.Add(11 * time.Minute)
	sim.delayedStarts = nil
	for _, l := range sim.links {
		l.toAgent, l.blackholed = nil, true
		l.agent.connectionLost(l, sim.now)
	}
	for _, a := range sim.agents {
		a.tick()
	}
}

func (sim *simulation) cancelRequest() {
	e := sim.entries[sim.draw("entry", entryCount)]
	if len(e.active) == 0 || !sim.chance("really", 3) {
		return
	}
	if r := e.active[sim.draw("request", len(e.active))]; !r.submission.answered {
		e.applyStep(r, r.machine.Canceled(sim.now), nil)
	}
}
