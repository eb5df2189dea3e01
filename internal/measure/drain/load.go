package drain

import (
	"context"
	"fmt"
	"math/rand"
	"sync"

	"github.com/auburnbend/auburnbend/internal/deployment"
)

// requestResult is what became of a request.
type requestResult int

const (
	completed requestResult = iota
	notRun
	// cutOff is any other end.
	cutOff
	// wrongResponse is an answer that is complete and not that of one version.
	wrongResponse
)

// load is a number of callers that send drafts until they are stopped.
type load struct {
	d       *deployment.Deployment
	o       options
	client  *deployment.Client
	stopped chan struct{}
	callers sync.WaitGroup

	mu     sync.Mutex
	counts map[requestResult]int
}

func newLoad(d *deployment.Deployment, o options) *load {
	return &load{d: d, o: o, client: deployment.NewClient(), stopped: make(chan struct{}), counts: make(map[requestResult]int)}
}

func (l *load) start(ctx context.Context) {
	for i := range l.o.callers {
		l.callers.Go(func() { l.call(ctx, i) })
	}
}

func (l *load) stop() {
	close(l.stopped)
	l.callers.Wait()
	l.client.Close()
}

func (l *load) call(ctx context.Context, caller int) {
	rng := rand.New(rand.NewSource(l.o.seed + int64(caller)))
	for n := 0; ctx.Err() == nil; n++ {
		select {
		case <-l.stopped:
			return
		default:
		}
		body := deployment.DraftBody(rng, l.o.tokens)
		a := l.client.Send(ctx, l.d.Entries[rng.Intn(len(l.d.Entries))].URL, deployment.Call{
			Service: deployment.DraftService, Tenant: deployment.TenantLarge,
			RequestID: fmt.Sprintf("draft-%d-%d", caller, n), Body: body, Stream: true,
		})
		l.record(l.classify(a, body))
	}
}

func (l *load) classify(a deployment.Answer, body []byte) requestResult {
	switch a.Outcome {
	case "completed":
		if _, whole := l.d.VersionOfAnswer(a.Body, body); !whole {
			return wrongResponse
		}
		return completed
	case "not_run":
		return notRun
	default:
		return cutOff
	}
}

func (l *load) record(v requestResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[v]++
}

func (l *load) count(v requestResult) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[v]
}
