package catchup

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/internal/loopback"
	"github.com/auburnbend/auburnbend/internal/measure/run"
	"github.com/auburnbend/auburnbend/platform/platformtest"
)

// firstSubnet is the first subnet of loopback addresses that is tried.
const firstSubnet = 120

// result is what one cut costs.
type result struct {
	time           time.Duration
	bytes          int64
	calls, applied int
}

// measureCuts returns the median of each figure over several cuts.
func measureCuts(ctx context.Context, o options, routes, missed int) (result, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	subnet, reservation, err := loopback.ReserveSubnet(firstSubnet)
	if err != nil {
		return result{}, merry.Wrap(err)
	}
	defer reservation.Close()
	store := platformtest.NewStore()
	defer store.Close()
	link := platformtest.NewNarrowLink(linkRate, packetBytes)
	defer link.Close()
	address := fmt.Sprintf("127.%d.0.1:7000", subnet)
	if err := link.Receive(address, store.Address()); err != nil {
		return result{}, merry.Wrap(err)
	}
	version := 1
	put := func() {
		store.PutLiveConfig(liveConfig(version, routes))
		version++
	}
	put()
	e := &entry{}
	known := e.expect(1)
	go e.follow(ctx, address, o.bound)
	if err := await(ctx, known); err != nil {
		return result{}, err
	}
	var results []result
	for range o.rounds {
		r, err := cut(ctx, o, store, link, e, func() int64 {
			for range missed {
				put()
			}
			return int64(version - 1)
		})
		if err != nil {
			return result{}, err
		}
		results = append(results, r)
	}
	return medians(results), nil
}

// cut cuts the entry off from the store while configurations are written, and waits until
// the last one is in force.
func cut(ctx context.Context, o options, store *platformtest.Store, link *platformtest.NarrowLink, e *entry, write func() int64) (result, error) {
	if o.silent {
		store.Hold(true)
	} else {
		store.FailWith(http.StatusServiceUnavailable)
		if err := run.Sleep(ctx, 2*o.bound); err != nil {
			return result{}, merry.Wrap(err)
		}
	}
	done := e.expect(write())
	bytes, calls, start := link.Bytes(), store.Calls(), time.Now()
	if o.silent {
		store.Hold(false)
	} else {
		store.FailWith(0)
	}
	if err := await(ctx, done); err != nil {
		return result{}, err
	}
	return result{time: time.Since(start), bytes: link.Bytes() - bytes, calls: store.Calls() - calls, applied: e.appliedCount()}, nil
}

func await(ctx context.Context, done <-chan struct{}) error {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(catchUpTime):
		return merry.Errorf("the newest configuration is not in force after %v", catchUpTime)
	}
}

func medians(results []result) result {
	of := func(value func(result) int64) int64 {
		values := make([]int64, 0, len(results))
		for _, r := range results {
			values = append(values, value(r))
		}
		slices.Sort(values)
		return values[len(values)/2]
	}
	return result{
		time:  time.Duration(of(func(r result) int64 { return int64(r.time) })),
		bytes: of(func(r result) int64 { return r.bytes }),
		calls: int(of(func(r result) int64 { return int64(r.calls) })), applied: int(of(func(r result) int64 { return int64(r.applied) })),
	}
}

func liveConfig(version, routes int) platformtest.LiveConfig {
	c := platformtest.LiveConfig{Version: version, EngineService: "engines", Slots: 4, Weights: platformtest.Weights{Model: "m", Pieces: 8, PieceSize: 1024}, PlainServices: []string{"desk"}, Team: "carvers", APIKey: "key"}
	for i := range routes {
		c.Routes = append(c.Routes, platformtest.Route{Host: "a.example", Prefix: fmt.Sprintf("/route-%d/", i), Kind: "idempotent", Service: "desk", TimeoutMS: 2000, TargetMS: 500, MaxServers: 2})
	}
	return c
}
