package signals

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/internal/measure/run"
	"github.com/auburnbend/auburnbend/platform/platformtest"
)

const (
	// thinkTime is the time between two requests of a caller.
	thinkTime      = 10 * time.Millisecond
	requestTimeout = 2 * time.Second
	// clientTimeout is longer than the timeouts of all routes.
	clientTimeout = 4 * time.Second
	readyInterval = 50 * time.Millisecond
)

// load runs callers that send requests to their entries until they are stopped.
type load struct {
	fleet   *fleet
	options options
	stopped chan struct{}
	callers sync.WaitGroup
}

func newLoad(f *fleet, o options) *load {
	return &load{fleet: f, options: o, stopped: make(chan struct{})}
}

// awaitReady waits until each entry has answered a request of each route.
func (l *load) awaitReady(ctx context.Context, timeout time.Duration) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: clientTimeout}
	deadline := time.Now().Add(timeout)
	for entry := range l.fleet.entries {
		for _, route := range routes {
			for n := 0; l.send(ctx, client, entry, route.Prefix, fmt.Sprintf("ready-%d%s%d", entry, route.Prefix, n)).Status != http.StatusOK; n++ {
				if time.Now().After(deadline) {
					return merry.Errorf("entry %d does not serve %s", entry, route.Prefix)
				}
				if err := run.Sleep(ctx, readyInterval); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (l *load) start(ctx context.Context) {
	for entry := range l.fleet.entries {
		for number := range l.options.callers {
			l.callers.Go(func() { l.runCaller(ctx, entry, number) })
		}
	}
}

func (l *load) stop() {
	close(l.stopped)
	l.callers.Wait()
}

func (l *load) runCaller(ctx context.Context, entry, number int) {
	rng := rand.New(rand.NewPCG(l.options.seed, uint64(entry*l.options.callers+number)))
	client := &http.Client{Transport: &http.Transport{}, Timeout: clientTimeout}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		select {
		case <-l.stopped:
			return
		case <-time.After(thinkTime):
		}
		prefix := routes[rng.IntN(len(routes))].Prefix
		attempt := fmt.Sprintf("%d-%d-%d", entry, number, n)
		l.fleet.recorder.recordResponse(l.send(ctx, client, entry, prefix, attempt))
	}
}

// send sends a request to an entry. It returns a zero Response if the connection fails.
func (l *load) send(ctx context.Context, client *http.Client, entry int, prefix, attempt string) platformtest.Response {
	l.fleet.recorder.recordSent(attempt, entry)
	call := platformtest.Call{Host: host, Path: prefix + "x", AttemptID: attempt, APIKey: apiKey, Timeout: requestTimeout, LastEventID: -1, Body: attempt}
	if prefix == "/draft/" {
		call.Model, call.PromptTokens, call.MaxTokens = weights.Model, 100, 15
	}
	req, err := call.Request(ctx, l.fleet.entries[entry])
	if err != nil {
		return platformtest.Response{}
	}
	resp, err := client.Do(req)
	if err != nil {
		return platformtest.Response{}
	}
	return platformtest.ReadResponse(resp)
}
