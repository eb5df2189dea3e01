package demo

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/internal/deployment"
)

const (
	// orderShare is the share of orders among all calls; the others are drafts.
	orderShare = 0.2
	// maxThinkTime is the longest pause of a caller between two calls.
	maxThinkTime = 40 * time.Millisecond
	// maxTokens is the maximum length of a draft.
	maxTokens = 40
)

// loadGenerator runs concurrent callers that send calls until they are stopped.
type loadGenerator struct {
	deployment  *deployment.Deployment
	results     *results
	callers     int
	seed        int64
	client      *deployment.Client
	cancel      context.CancelFunc
	callersDone sync.WaitGroup
	stopped     chan struct{}
}

func newLoadGenerator(d *deployment.Deployment, r *results, callers int, seed int64) *loadGenerator {
	return &loadGenerator{deployment: d, results: r, callers: callers, seed: seed, client: deployment.NewClient(), stopped: make(chan struct{})}
}

func (l *loadGenerator) start(ctx context.Context) {
	ctx, l.cancel = context.WithCancel(ctx)
	for i := range l.callers {
		l.callersDone.Go(func() { l.runCaller(ctx, i) })
	}
}

// stop stops the callers and waits for calls in flight.
func (l *loadGenerator) stop() {
	close(l.stopped)
	l.callersDone.Wait()
	l.cancel()
	l.client.Close()
}

func (l *loadGenerator) runCaller(ctx context.Context, caller int) {
	rng := rand.New(rand.NewSource(l.seed + int64(caller)))
	for n := 0; ; n++ {
		select {
		case <-l.stopped:
			return
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rng.Int63n(int64(maxThinkTime)))):
		}
		id := fmt.Sprintf("caller-%d-%d", caller, n)
		if rng.Float64() < orderShare {
			l.sendOrder(ctx, rng, id)
		} else {
			l.sendDraft(ctx, rng, id)
		}
	}
}

func (l *loadGenerator) sendDraft(ctx context.Context, rng *rand.Rand, id string) {
	tenant := deployment.TenantLarge
	if rng.Intn(4) == 0 {
		tenant = deployment.TenantSmall
	}
	body := deployment.DraftBody(rng, 1+rng.Intn(maxTokens))
	answer := l.client.Send(ctx, l.drawEntryURL(rng), deployment.Call{
		Service: deployment.DraftService, Tenant: tenant, RequestID: id, Body: body, Stream: rng.Intn(2) == 0,
	})
	l.results.recordDraft(l.deployment, answer, body)
}

// sendOrder sends the same order twice at once through randomly drawn entries, as a
// caller does that retries before the first answer.
func (l *loadGenerator) sendOrder(ctx context.Context, rng *rand.Rand, id string) {
	var both sync.WaitGroup
	for range 2 {
		url := l.drawEntryURL(rng)
		both.Go(func() {
			answer := l.client.Send(ctx, url, deployment.Call{
				Service: deployment.OrderService, Tenant: deployment.TenantSmall,
				RequestID: id, IdempotencyKey: id, Body: []byte(`{"plate":"` + id + `"}`),
			})
			l.results.recordOrder(id, answer)
		})
	}
	both.Wait()
}

func (l *loadGenerator) drawEntryURL(rng *rand.Rand) string {
	return l.deployment.Entries[rng.Intn(len(l.deployment.Entries))].URL
}
