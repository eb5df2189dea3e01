package signals

import (
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/platform/platformtest"
)

// recorder records what servers get and send, and what callers get. It is safe for
// concurrent use.
type recorder struct {
	mu sync.Mutex
	// sentTo holds the entry of each request, by attempt.
	sentTo    map[string]int
	arrivals  map[string][]arrival
	signals   []signal
	responses []platformtest.Response
}

// arrival is a request that reached a server.
type arrival struct {
	entry int
	at    time.Time
}

// signal is what a server told an entry: to pause until a time, or else that it drains.
type signal struct {
	server     string
	entry      int
	at         time.Time
	pauseUntil time.Time
}

var _ platformtest.Recorder = (*recorder)(nil)

func newRecorder() *recorder {
	return &recorder{sentTo: make(map[string]int), arrivals: make(map[string][]arrival)}
}

func (r *recorder) recordSent(attempt string, entry int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sentTo[attempt] = entry
}

func (r *recorder) recordResponse(response platformtest.Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.responses = append(r.responses, response)
}

// RequestArrived implements platformtest.Recorder.
func (r *recorder) RequestArrived(server, attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals[server] = append(r.arrivals[server], arrival{r.sentTo[attempt], time.Now()})
}

// DrainingSent implements platformtest.Recorder.
func (r *recorder) DrainingSent(server, attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.signals = append(r.signals, signal{server: server, entry: r.sentTo[attempt], at: time.Now()})
}

// RetryAfterSent implements platformtest.Recorder.
func (r *recorder) RetryAfterSent(server, attempt string, retryAfter time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.signals = append(r.signals, signal{server, r.sentTo[attempt], now, now.Add(retryAfter)})
}

// RunStarted implements platformtest.Recorder.
func (r *recorder) RunStarted(platformtest.Run) {}

// RateLimitSent implements platformtest.Recorder.
func (r *recorder) RateLimitSent(string, string, float64) {}

// LoadOrdered implements platformtest.Recorder.
func (r *recorder) LoadOrdered(platformtest.Load) {}
