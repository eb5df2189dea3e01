package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/platform/platformtest"
)

const (
	// callersPerEntry is the number of callers that send one request after the other
	// to one entry. About half of them reuse their connection.
	callersPerEntry = 5
	// thinkTime is the mean pause between two requests of a caller.
	thinkTime = 120 * time.Millisecond
	// notReadyPause is the pause before the next readiness check of an entry that is
	// not ready.
	notReadyPause = 100 * time.Millisecond
	// balancerReactionTime is how long callers still use an entry that is not ready.
	// The load balancer checks readiness once a second and reacts to two failed checks.
	balancerReactionTime = 2 * time.Second
	// readyTimeout limits one readiness check.
	readyTimeout = time.Second
	// clientTimeoutSlack is how long after the timeout of its request a caller closes
	// the connection.
	clientTimeoutSlack = 2 * time.Second
)

// runCallers runs the callers of all entries until ctx ends.
func (t *testbed) runCallers(ctx context.Context, seed uint64) {
	var callers sync.WaitGroup
	for entry := range t.entries {
		for number := range callersPerEntry {
			callers.Add(1)
			go func() {
				defer callers.Done()
				t.newCaller(entry, number, seed).run(ctx)
			}()
		}
	}
	callers.Wait()
}

// newCaller returns a caller of an entry. Callers with an odd number reuse their
// connection.
func (t *testbed) newCaller(entry, number int, seed uint64) *caller {
	return &caller{
		testbed: t, entry: entry, name: fmt.Sprintf("%d-%d", entry, number),
		rng:             rand.New(rand.NewPCG(seed, uint64(entry*callersPerEntry+number)+2)),
		client:          &http.Client{Transport: &http.Transport{DisableKeepAlives: number%2 == 0, DisableCompression: true, MaxConnsPerHost: 1}},
		readinessClient: &http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// firstPoisonCaller is the lowest number of a caller that sends poison requests. The
// start of the step is added to it, so that each step uses other request ids.
const firstPoisonCaller = 100

// sendPoison sends poison requests, which crash each server that runs them, to the
// entries in turn.
func (t *testbed) sendPoison(ctx context.Context, s Step) {
	prefixes := []string{"/status/", "/order/", "/resumed/"}
	prefix := prefixes[s.Target%len(prefixes)]
	var callers []*caller
	for entry := range t.entries {
		callers = append(callers, t.newCaller(entry, firstPoisonCaller+int(s.Start.Milliseconds()), uint64(s.Target)))
	}
	for end := time.Now().Add(s.Duration); time.Now().Before(end) && ctx.Err() == nil; wait(ctx, poisonInterval) {
		c := callers[t.poisonCount.Add(1)%uint64(len(callers))]
		if c.routed() {
			c.sendPoison(prefix)
		}
	}
}

func (c *caller) sendPoison(prefix string) {
	for i := range routes {
		r := &routes[i]
		if r.Prefix != prefix {
			continue
		}
		c.requestCount++
		call := platformtest.Call{
			Host: host, AttemptID: fmt.Sprintf("a%s-%d", c.name, c.requestCount), APIKey: key, Timeout: time.Duration(r.TimeoutMS) * time.Millisecond,
			Path: prefix + "poison", LastEventID: -1, Body: poisonBody,
		}
		if r.streams() {
			call.Model, call.PromptTokens, call.MaxTokens = model, 100, 5*eventsPerStream
		}
		c.send(call, r)
	}
}

// caller sends requests to one entry.
type caller struct {
	testbed *testbed
	entry   int
	name    string
	rng     *rand.Rand
	client  *http.Client
	// readinessClient checks whether the entry is ready.
	readinessClient *http.Client
	// unreadySince is when the entry was first seen not to be ready, or zero if it is.
	unreadySince time.Time
	requestCount int
}

func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		pause := c.sendNext()
		wait(ctx, pause+time.Duration(c.rng.Int64N(int64(2*thinkTime))))
	}
}

// sendNext sends a request on a random route and returns the pause that the caller was
// asked to make.
func (c *caller) sendNext() time.Duration {
	r := c.pickRoute()
	call := c.newCall(r)
	if !c.routed() {
		return notReadyPause
	}
	return c.send(call, r)
}

// newCall returns the next request of the caller.
func (c *caller) newCall(r *route) platformtest.Call {
	c.requestCount++
	call := platformtest.Call{
		Host: host, AttemptID: fmt.Sprintf("a%s-%d", c.name, c.requestCount), APIKey: key, Timeout: time.Duration(r.TimeoutMS) * time.Millisecond,
		LastEventID: -1, Body: fmt.Sprintf("body of %s-%d", c.name, c.requestCount),
	}
	call.Path = r.Prefix + call.AttemptID
	if !r.streams() {
		call.Parts = promptOf(call.AttemptID, c.requestCount, ownTokens)
		return call
	}
	call.Parts = promptOf(call.AttemptID, c.requestCount, 10+c.rng.IntN(200))
	call.Model, call.PromptTokens, call.MaxTokens = model, platformtest.TokenCount(call.Parts), 5*eventsPerStream
	return call
}

// send sends a request and records its outcome. It returns the Retry-After of the
// response, or zero.
func (c *caller) send(call platformtest.Call, r *route) time.Duration {
	o := outcome{call: call, route: *r, entry: c.entry, ready: c.unreadySince.IsZero(), sent: c.testbed.recorder.now()}
	ctx, cancel := context.WithTimeout(context.Background(), call.Timeout+clientTimeoutSlack)
	defer cancel()
	req, err := call.Request(ctx, address(c.testbed.slot, groupEntry, c.entry, callersPort))
	if err != nil {
		panic(err)
	}
	// Without GetBody, the HTTP client does not resend the request on a new connection.
	req.GetBody = nil
	resp, err := c.client.Do(req)
	if err == nil {
		o.response = platformtest.ReadResponse(resp)
	}
	o.err, o.ended = err, c.testbed.recorder.now()
	c.testbed.recorder.addOutcome(o)
	return o.response.RetryAfter
}

// routed reports whether the load balancer would route the caller to the entry now.
func (c *caller) routed() bool {
	if platformtest.Ready(c.readinessClient, address(c.testbed.slot, groupEntry, c.entry, readyPort)) {
		c.unreadySince = time.Time{}
		return true
	}
	if c.unreadySince.IsZero() {
		c.unreadySince = time.Now()
	}
	return time.Since(c.unreadySince) < balancerReactionTime
}

func (c *caller) pickRoute() *route {
	draw := c.rng.Float64()
	for i := range routes {
		if draw -= routes[i].share; draw < 0 {
			return &routes[i]
		}
	}
	return &routes[len(routes)-1]
}
