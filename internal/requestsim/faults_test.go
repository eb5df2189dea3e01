package requestsim

import (
	"time"

	"github.com/auburnbend/auburnbend/internal/tabletest"
)

// swapMessages swaps two adjacent messages to an entry.
func (sim *simulation) swapMessages() {
	for _, c := range sim.connsWithMessages(false) {
		if n := len(c.toEntry); n > 1 {
			i := sim.draw("position", n-1)
			c.toEntry[i], c.toEntry[i+1] = c.toEntry[i+1], c.toEntry[i]
			return
		}
	}
}

func (sim *simulation) drawOpenConn() *conn {
	var open []*conn
	for _, c := range sim.conns {
		if !c.closed {
			open = append(open, c)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return open[sim.draw("link", len(open))]
}

func (sim *simulation) blackholeConn() {
	if c := sim.drawOpenConn(); c != nil && sim.chance("really", 2) {
		c.blackholed = true
		c.toEntry = nil
	}
}

func (sim *simulation) closeConn() {
	if c := sim.drawOpenConn(); c != nil && sim.chance("really", 2) {
		c.entry.connectionLost(c)
		if sim.chance("agent notices", 2) {
			c.agent.connectionLost(c, sim.now)
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
// message sent before the pause arrives after it.
func (sim *simulation) pauseEntries() {
	if !sim.chance("really", 10) {
		return
	}
	sim.now = sim.now.Add(11 * time.Minute)
	sim.delayedStarts = nil
	for _, c := range sim.conns {
		c.toAgent, c.blackholed = nil, true
		c.agent.connectionLost(c, sim.now)
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
