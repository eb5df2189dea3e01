package soak

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/platform/platformtest"
)

// outcome is a request of a caller and how it ended.
type outcome struct {
	call  platformtest.Call
	route route
	entry int
	// ready reports whether the entry was ready right before the request.
	ready bool
	// sent and ended are times from the start of traffic.
	sent, ended time.Duration
	// err is set if the connection failed without a response.
	err      error
	response platformtest.Response
}

// load is an order to load weights that an engine accepted.
type load struct {
	platformtest.Load
	at time.Duration
}

// declaredVersion is a version of the configuration or of the weights, and the time at
// which it was written to the store.
type declaredVersion struct {
	version int
	at      time.Duration
}

// recorder records what callers and backend servers observe. It is safe for concurrent
// use.
type recorder struct {
	started time.Time

	mu       sync.Mutex
	outcomes []outcome
	runs     map[string][]platformtest.Run
	loads    []load
	configs  []declaredVersion
	weights  []declaredVersion
	// events are the arrivals at servers and the signals that these sent.
	events []serverEvent
	// drainingSince is when the rows of servers changed to draining, by id.
	drainingSince map[string]time.Duration
}

var _ platformtest.Recorder = (*recorder)(nil)

func newRecorder() *recorder {
	return &recorder{started: time.Now(), runs: make(map[string][]platformtest.Run), drainingSince: make(map[string]time.Duration)}
}

// neverConnected reports whether the request never reached the entry.
func (o *outcome) neverConnected() bool {
	var opErr *net.OpError
	return errors.As(o.err, &opErr) && opErr.Op == "dial"
}

func (rec *recorder) now() time.Duration { return time.Since(rec.started) }

// RunStarted implements platformtest.Recorder.
func (rec *recorder) RunStarted(r platformtest.Run) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.runs[r.AttemptID] = append(rec.runs[r.AttemptID], r)
}

// serverEvent is a request that arrived at a server or a signal that the server sent
// with the response.
type serverEvent struct {
	kind            eventKind
	server, attempt string
	at              time.Duration
	// retryAfter is the pause that the server asked for.
	retryAfter time.Duration
	// perSecond is the rate limit that the server named.
	perSecond float64
}

type eventKind int

const (
	eventArrived eventKind = iota
	eventDraining
	eventRetryAfter
	eventRateLimit
)

// RequestArrived implements platformtest.Recorder.
func (rec *recorder) RequestArrived(server, attempt string) {
	rec.addEvent(serverEvent{kind: eventArrived, server: server, attempt: attempt})
}

// DrainingSent implements platformtest.Recorder.
func (rec *recorder) DrainingSent(server, attempt string) {
	rec.addEvent(serverEvent{kind: eventDraining, server: server, attempt: attempt})
}

// RetryAfterSent implements platformtest.Recorder.
func (rec *recorder) RetryAfterSent(server, attempt string, pause time.Duration) {
	rec.addEvent(serverEvent{kind: eventRetryAfter, server: server, attempt: attempt, retryAfter: pause})
}

// RateLimitSent implements platformtest.Recorder.
func (rec *recorder) RateLimitSent(server, attempt string, perSecond float64) {
	rec.addEvent(serverEvent{kind: eventRateLimit, server: server, attempt: attempt, perSecond: perSecond})
}

func (rec *recorder) addEvent(e serverEvent) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	e.at = rec.now()
	rec.events = append(rec.events, e)
}

// LoadOrdered implements platformtest.Recorder.
func (rec *recorder) LoadOrdered(l platformtest.Load) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.loads = append(rec.loads, load{l, rec.now()})
}

func (rec *recorder) addOutcome(o outcome) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.outcomes = append(rec.outcomes, o)
}

func (rec *recorder) update(change func(rec *recorder, now time.Duration)) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	change(rec, rec.now())
}
