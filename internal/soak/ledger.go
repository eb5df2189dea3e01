package soak

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/platform/platformtest"
)

// outcome is one request of a caller and its end.
type outcome struct {
	call  platformtest.Call
	route route
	entry int
	// ready tells that the entry said so right before.
	ready bool
	// sent and ended count from the start of traffic.
	sent, ended time.Duration
	// err tells that the connection ended without an answer.
	err    error
	answer platformtest.Response
}

// load is an order that an engine took.
type load struct {
	server  string
	version int
	whole   bool
	at      time.Duration
}

// declared is a version of the configuration or of the weights, and when the
// store had it.
type declared struct {
	version int
	at      time.Duration
}

// ledger collects what callers and backend servers saw. It is safe for
// concurrent use.
type ledger struct {
	started time.Time

	mu       sync.Mutex
	outcomes []outcome
	runs     map[string][]platformtest.Run
	loads    []load
	configs  []declared
	weights  []declared
	rotten   []time.Duration
	// events are arrivals at servers, and what these told about further requests.
	events []serverEvent
	// left is when servers told that they leave, by id.
	left map[string]time.Duration
}

var _ platformtest.Recorder = (*ledger)(nil)

func newLedger() *ledger {
	return &ledger{started: time.Now(), runs: make(map[string][]platformtest.Run), left: make(map[string]time.Duration)}
}

// unconnected reports whether the request never reached the entry.
func (o *outcome) unconnected() bool {
	var dial *net.OpError
	return errors.As(o.err, &dial) && dial.Op == "dial"
}

func (l *ledger) now() time.Duration { return time.Since(l.started) }

// RunStarted implements platformtest.Recorder.
func (l *ledger) RunStarted(r platformtest.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.AttemptID] = append(l.runs[r.AttemptID], r)
}

// serverEvent is a request that arrived at a server, or what the server told its sender.
type serverEvent struct {
	kind            eventKind
	server, attempt string
	at              time.Duration
	// pause is how long the server wants nothing.
	pause time.Duration
}

type eventKind int

const (
	eventArrived eventKind = iota
	eventLeaving
	eventPause
)

// RequestArrived implements platformtest.Recorder.
func (l *ledger) RequestArrived(server, attempt string) {
	l.record(serverEvent{kind: eventArrived, server: server, attempt: attempt})
}

// DrainingSent implements platformtest.Recorder.
func (l *ledger) DrainingSent(server, attempt string) {
	l.record(serverEvent{kind: eventLeaving, server: server, attempt: attempt})
}

// RetryAfterSent implements platformtest.Recorder.
func (l *ledger) RetryAfterSent(server, attempt string, pause time.Duration) {
	l.record(serverEvent{kind: eventPause, server: server, attempt: attempt, pause: pause})
}

func (l *ledger) record(e serverEvent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.at = l.now()
	l.events = append(l.events, e)
}

// LoadOrdered implements platformtest.Recorder.
func (l *ledger) LoadOrdered(server string, version int, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loads = append(l.loads, load{server: server, version: version, whole: whole, at: l.now()})
}

func (l *ledger) end(o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

func (l *ledger) note(change func(l *ledger, now time.Duration)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l, l.now())
}
