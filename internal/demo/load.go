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
	// orderShare is the share of calls that are orders.
	orderShare = 0.2
	// thinkTime is the longest pause of a caller between two calls.
	thinkTime = 40 * time.Millisecond
	// maxTokens bounds the length of a draft.
	maxTokens = 40
)

// load is a number of callers that send until they are stopped.
type load struct {
	d       *deployment.Deployment
	tally   *tally
	callers int
	seed    int64
	client  *deployment.Client
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
	stopped chan struct{}
}

func newLoad(d *deployment.Deployment, t *tally, callers int, seed int64) *load {
	return &load{d: d, tally: t, callers: callers, seed: seed, client: deployment.NewClient(), stopped: make(chan struct{})}
}

func (l *load) start(ctx context.Context) {
	ctx, l.cancel = context.WithCancel(ctx)
	for i := range l.callers {
		l.tasks.Go(func() { l.call(ctx, i) })
	}
}

// stop lets the calls in flight end.
func (l *load) stop() {
	close(l.stopped)
	l.tasks.Wait()
	l.cancel()
	l.client.Close()
}

func (l *load) call(ctx context.Context, caller int) {
	rng := rand.New(rand.NewSource(l.seed + int64(caller)))
	for n := 0; ; n++ {
		select {
		case <-l.stopped:
			return
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rng.Int63n(int64(thinkTime)))):
		}
		id := fmt.Sprintf("caller-%d-%d", caller, n)
		if rng.Float64() < orderShare {
			l.order(ctx, rng, id)
		} else {
			l.draft(ctx, rng, id)
		}
	}
}

func (l *load) draft(ctx context.Context, rng *rand.Rand, id string) {
	tenant := deployment.TenantLarge
	if rng.Intn(4) == 0 {
		tenant = deployment.TenantSmall
	}
	body := deployment.DraftBody(rng, 1+rng.Intn(maxTokens))
	answer := l.client.Send(ctx, l.entry(rng), deployment.Call{
		Service: deployment.DraftService, Tenant: tenant, RequestID: id, Body: body, Stream: rng.Intn(2) == 0,
	})
	l.tally.draft(l.d, answer, body)
}

// order sends one order through two entries at once, as a caller does that
// loses patience.
func (l *load) order(ctx context.Context, rng *rand.Rand, id string) {
	var both sync.WaitGroup
	for range 2 {
		url := l.entry(rng)
		both.Go(func() {
			answer := l.client.Send(ctx, url, deployment.Call{
				Service: deployment.OrderService, Tenant: deployment.TenantSmall,
				RequestID: id, IdempotencyKey: id, Body: []byte(`{"plate":"` + id + `"}`),
			})
			l.tally.order(id, answer)
		})
	}
	both.Wait()
}

func (l *load) entry(rng *rand.Rand) string { return l.d.Entries[rng.Intn(len(l.d.Entries))].URL }
