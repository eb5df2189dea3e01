package drain

import (
	"context"
	"fmt"
	"math/rand"
	"sync"

	"github.com/auburnbend/auburnbend/internal/deployment"
)

// requestResult is the outcome of a request as its caller sees it.
type requestResult int

const (
	completed requestResult = iota
	notRun
	// cutOff is any other outcome.
	cutOff
	// wrongResponse is a completed response that is not that of a single version.
	wrongResponse
)

// loadGenerator runs callers that send draft requests until they are stopped.
type loadGenerator struct {
	d           *deployment.Deployment
	o           options
	client      *deployment.Client
	stopped     chan struct{}
	callersDone sync.WaitGroup

	mu     sync.Mutex
	counts map[requestResult]int
}

func newLoadGenerator(d *deployment.Deployment, o options) *loadGenerator {
	return &loadGenerator{d: d, o: o, client: deployment.NewClient(), stopped: make(chan struct{}), counts: make(map[requestResult]int)}
}

func (l *loadGenerator) start(ctx context.Context) {
	for i := range l.o.callers {
		l.callersDone.Go(func() { l.runCaller(ctx, i) })
	}
}

func (l *loadGenerator) stop() {
	close(l.stopped)
	l.callersDone.Wait()
	l.client.Close()
}

func (l *loadGenerator) runCaller(ctx context.Context, caller int) {
	rng := rand.New(rand.NewSource(l.o.seed + int64(caller)))
	for n := 0; ctx.Err() == nil; n++ {
		select {
		case <-l.stopped:
			return
		default:
		}
		body := deployment.DraftBody(rng, l.o.tokens)
		response := l.client.Send(ctx, l.d.Entries[rng.Intn(len(l.d.Entries))].URL, deployment.Call{
			Service: deployment.DraftService, Tenant: deployment.TenantLarge,
			RequestID: fmt.Sprintf("draft-%d-%d", caller, n), Body: body, Stream: true,
		})
		l.record(l.classify(response, body))
	}
}

func (l *loadGenerator) classify(response deployment.Answer, body []byte) requestResult {
	switch response.Outcome {
	case "completed":
		if _, ok := l.d.VersionOfAnswer(response.Body, body); !ok {
			return wrongResponse
		}
		return completed
	case "not_run":
		return notRun
	default:
		return cutOff
	}
}

func (l *loadGenerator) record(r requestResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[r]++
}

func (l *loadGenerator) count(r requestResult) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[r]
}
