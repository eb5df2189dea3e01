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
	// callersPerEntry callers send one request after another to their entry; half
	// of them keep their connection until it breaks.
	callersPerEntry = 5
	// thinkTime is the mean pause between two requests of a caller.
	thinkTime = 120 * time.Millisecond
	// awayPause is the pause before an entry is looked at again that takes no
	// callers.
	awayPause = 100 * time.Millisecond
	// balancerNotice is how long callers still come to an entry that is not ready:
	// the balancer asks once a second and acts on two misses.
	balancerNotice = 2 * time.Second
	// readyTimeout bounds the question whether an entry is ready.
	readyTimeout = time.Second
	// gaveUpAfter is how much longer than its limit a caller listens.
	gaveUpAfter = 2 * time.Second
)

// call runs the callers until ctx ends.
func (w *world) call(ctx context.Context, seed uint64) {
	var callers sync.WaitGroup
	for entry := range w.entries {
		for number := range callersPerEntry {
			callers.Add(1)
			go func() {
				defer callers.Done()
				w.newCaller(entry, number, seed).run(ctx)
			}()
		}
	}
	callers.Wait()
}

// newCaller returns a caller of an entry. Every other one keeps its connection.
func (w *world) newCaller(entry, number int, seed uint64) *caller {
	return &caller{
		world: w, entry: entry, name: fmt.Sprintf("%d-%d", entry, number),
		rng:    rand.New(rand.NewPCG(seed, uint64(entry*callersPerEntry+number)+2)),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: number%2 == 0, DisableCompression: true, MaxConnsPerHost: 1}},
		asker:  &http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// poisonCaller is the number of the callers that ask for what ends servers; each
// step has its own.
const poisonCaller = 100

// askPoison asks the entries in turn for what ends each server that runs it.
func (w *world) askPoison(ctx context.Context, s Step) {
	kinds := []string{"/status/", "/order/", "/resumed/"}
	prefix := kinds[s.Target%len(kinds)]
	var callers []*caller
	for entry := range w.entries {
		callers = append(callers, w.newCaller(entry, poisonCaller+int(s.Start.Milliseconds()), uint64(s.Target)))
	}
	for end := time.Now().Add(s.Duration); time.Now().Before(end) && ctx.Err() == nil; wait(ctx, poisonInterval) {
		c := callers[w.poisons.Add(1)%uint64(len(callers))]
		if c.goes() {
			c.poison(prefix)
		}
	}
}

func (c *caller) poison(prefix string) {
	for i := range routes {
		r := &routes[i]
		if r.Prefix != prefix {
			continue
		}
		c.count++
		call := platformtest.Call{
			Host: host, AttemptID: fmt.Sprintf("a%s-%d", c.name, c.count), APIKey: key, Timeout: time.Duration(r.TimeoutMS) * time.Millisecond,
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
	world  *world
	entry  int
	name   string
	rng    *rand.Rand
	client *http.Client
	// asker asks whether the entry is ready; unreadySince is when it was not, or
	// zero.
	asker        *http.Client
	unreadySince time.Time
	count        int
}

func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		pause := c.one()
		wait(ctx, pause+time.Duration(c.rng.Int64N(int64(2*thinkTime))))
	}
}

// one sends a request and returns how long the caller was told to stay away.
func (c *caller) one() time.Duration {
	r := c.drawRoute()
	c.count++
	call := platformtest.Call{
		Host: host, AttemptID: fmt.Sprintf("a%s-%d", c.name, c.count), APIKey: key, Timeout: time.Duration(r.TimeoutMS) * time.Millisecond,
		LastEventID: -1, Body: fmt.Sprintf("body of %s-%d", c.name, c.count),
	}
	call.Path = r.Prefix + call.AttemptID
	if r.streams() {
		call.Model, call.PromptTokens, call.MaxTokens = model, 50+c.rng.IntN(200), 5*eventsPerStream
	}
	if !c.goes() {
		return awayPause
	}
	return c.send(call, r)
}

// send sends a request and notes its end. It returns how long the caller was told to
// stay away.
func (c *caller) send(call platformtest.Call, r *route) time.Duration {
	o := outcome{call: call, route: *r, entry: c.entry, ready: c.unreadySince.IsZero(), sent: c.world.ledger.now()}
	ctx, cancel := context.WithTimeout(context.Background(), call.Timeout+gaveUpAfter)
	defer cancel()
	req, err := call.Request(ctx, address(c.world.slot, groupEntry, c.entry, callersPort))
	if err != nil {
		panic(err)
	}
	// The library may send a request again on a new connection; this one must not.
	req.GetBody = nil
	resp, err := c.client.Do(req)
	if err == nil {
		o.answer = platformtest.ReadResponse(resp)
	}
	o.err, o.ended = err, c.world.ledger.now()
	c.world.ledger.end(o)
	return o.answer.RetryAfter
}

// goes reports whether the balancer sends the caller to the entry.
func (c *caller) goes() bool {
	if platformtest.Ready(c.asker, address(c.world.slot, groupEntry, c.entry, readyPort)) {
		c.unreadySince = time.Time{}
		return true
	}
	if c.unreadySince.IsZero() {
		c.unreadySince = time.Now()
	}
	return time.Since(c.unreadySince) < balancerNotice
}

func (c *caller) drawRoute() *route {
	draw := c.rng.Float64()
	for i := range routes {
		if draw -= routes[i].share; draw < 0 {
			return &routes[i]
		}
	}
	return &routes[len(routes)-1]
}
