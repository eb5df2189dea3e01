package requestsim

import (
	"time"

	"github.com/auburnbend/auburnbend/internal/tabletest"
)

// swap exchanges two neighbouring messages to an entry.
func (w *world) swap() {
	for _, l := range w.busy(false) {
		if n := len(l.toEntry); n > 1 {
			i := w.pick("position", n-1)
			l.toEntry[i], l.toEntry[i+1] = l.toEntry[i+1], l.toEntry[i]
			return
		}
	}
}

func (w *world) openLink() *link {
	var open []*link
	for _, l := range w.links {
		if !l.closed {
			open = append(open, l)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return open[w.pick("link", len(open))]
}

func (w *world) silence() {
	if l := w.openLink(); l != nil && w.chance("really", 2) {
		l.silent = true
		l.toEntry = nil
	}
}

func (w *world) closeLink() {
	if l := w.openLink(); l != nil && w.chance("really", 2) {
		l.entry.lose(l)
		if w.chance("agent notices", 2) {
			l.agent.lose(l, w.now)
		}
	}
}

func (w *world) changeStore() {
	fault := tabletest.Fault(w.pick("fault", 5))
	reads := w.chance("reads fail", 2)
	w.fault = func(write bool) tabletest.Fault {
		if write || reads {
			return fault
		}
		return tabletest.NoFault
	}
	if w.chance("healthy", 2) {
		w.fault = nil
	}
}

// pass lets time go by: deadlines pass, agents give up on entries.
func (w *world) pass() {
	w.now = w.now.Add(time.Duration(1+w.pick("tenths", 60)) * 100 * time.Millisecond)
	for _, a := range w.agents {
		a.tick()
	}
	for _, e := range w.entries {
		for _, l := range e.live {
			if !l.ask.told && l.machine.Remaining(w.now) <= 0 && w.chance("timer on time", 2) {
				e.apply(l, l.machine.DeadlinePassed(w.now), nil)
			}
		}
	}
}

func (w *world) entryDies() {
	if w.chance("really", 3) {
		w.entries[w.pick("entry", entryCount)].die()
	}
}

func (w *world) agentDies() {
	if w.chance("really", 3) {
		w.agents[w.pick("agent", agentCount)].restart()
	}
}

func (w *world) engineDies() {
	if w.chance("really", 2) {
		w.agents[w.pick("agent", agentCount)].crashEngine()
	}
}

// longPause stops all entries for longer than agents remember attempt ids. The
// agents miss the heartbeats and close the connections within seconds, so no
// message arrives as late as that.
func (w *world) longPause() {
	if !w.chance("really", 10) {
		return
	}
	w.now = w.now.Add(11 * time.Minute)
	w.copies = nil
	for _, l := range w.links {
		l.toAgent, l.silent = nil, true
		l.agent.lose(l, w.now)
	}
	for _, a := range w.agents {
		a.tick()
	}
}

func (w *world) callerLeaves() {
	e := w.entries[w.pick("entry", entryCount)]
	if len(e.live) == 0 || !w.chance("really", 3) {
		return
	}
	if l := e.live[w.pick("request", len(e.live))]; !l.ask.told {
		e.apply(l, l.machine.Canceled(w.now), nil)
	}
}
