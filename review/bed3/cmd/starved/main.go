// Command starved shows what becomes of a kind of request whose prompts have a part in common when
// all model runners crash once, before their first whole answers to it. TROUBLE=0 leaves out the
// crash. It exits with 1 if that kind is served less than a quarter as often as all requests, 0 if
// not, and 2 if it could not run.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnbend/auburnbend/platform/platformtest"
	"github.com/auburnbend/auburnbend/review/bed3"
)

const (
	engines = 3
	// rowLifetime is three intervals of heartbeats.
	rowLifetime = 3600 * time.Millisecond
	// down is for_s of the crash, and crashAfter its time from the first draft on.
	down, crashAfter = time.Second, time.Second
	// day is the time for which drafts are asked for.
	day = 30 * time.Second

	drafters, bookers = 8, 4
	events            = 40
	eventInterval     = 50 * time.Millisecond
	// systemPrompt is the part that all drafts have in common.
	systemPrompt = "5c1e07a2:800"
)

// kind counts the requests of a kind.
type kind struct{ sent, served atomic.Int64 }

func (k *kind) share() float64 { return float64(k.served.Load()) / float64(max(1, k.sent.Load())) }

// recorder notes runs.
type recorder struct {
	platformtest.NoSignals
	bed *bed3.Bed
}

func (r recorder) RunStarted(run platformtest.Run) {
	r.bed.Note("server %s runs request %s", run.Server, run.AttemptID)
}

func (r recorder) LoadOrdered(l platformtest.Load) {
	r.bed.Note("server %s takes layers %d to %d of version %d", l.Server, l.From, l.To, l.Version)
}

func main() {
	code, err := run(os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println(err)
		code = 2
	}
	os.Exit(code)
}

func run(trouble bool) (int, error) {
	b, err := bed3.New(os.Args[1])
	if err != nil {
		return 2, err
	}
	defer b.Close()
	runners, err := b.StartEngines(engines, platformtest.BackendConfig{Slots: 16, WorkTime: eventInterval, Events: events}, recorder{bed: b})
	if err != nil {
		return 2, err
	}
	err = b.StartServer(20, "i-7f3a91c2", func(x *bed3.Exchange) {
		x.Body()
		time.Sleep(15 * time.Millisecond)
		x.Done()
	})
	if err != nil {
		return 2, err
	}
	b.Store.PutLiveConfig(platformtest.LiveConfig{
		Version: 1, EngineService: bed3.EngineService, Slots: 16, Weights: bed3.Weights, Origin: runners.Origin, OriginMbps: 20, PlainServices: []string{"desk"},
		Team: "bakers", APIKey: bed3.Key,
		Routes: []platformtest.Route{
			{Host: "bed.example", Prefix: "/draft/", Kind: "streaming", Service: bed3.EngineService, TimeoutMS: 6000, TargetMS: 500, MaxServers: 2, Resumable: true},
			{Host: "bed.example", Prefix: "/order/", Kind: "non_idempotent", Service: "desk", TimeoutMS: 600, TargetMS: 100, MaxServers: 2},
		},
	})
	var entries []*bed3.Entry
	for i := range 2 {
		e, err := b.StartEntry(bed3.Settings{Name: fmt.Sprintf("edge-kigali-a-%d", i+1), IP: b.IP(10 + i), Zone: "kigali-a", Store: b.Store.Address()})
		if err != nil {
			return 2, err
		}
		entries = append(entries, e)
	}
	time.Sleep(6 * time.Second)
	end := time.Now().Add(day)
	if trouble {
		time.AfterFunc(crashAfter, func() { crash(b, runners) })
	}
	var drafts, orders kind
	var calling sync.WaitGroup
	caller := b.NewCaller()
	for n := range drafters {
		calling.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("draft-%d-%d", n, i)
				a := caller.SendWith(entries[(n+i)%len(entries)], "POST", "/draft/x", id, "a blazon for "+id, 6*time.Second, map[string]string{
					bed3.Name("model"): bed3.Weights.Model, bed3.Name("usage"): "1050,200", bed3.Name("parts"): fmt.Sprintf("%s,%x:250", systemPrompt, 0x1000000+n*0x10000+i),
				})
				drafts.count(a, a.Err == nil && strings.HasSuffix(a.Body, platformtest.EventData(id, events-1)+"\n\n"))
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	for n := range bookers {
		calling.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				a := caller.Send(entries[(n+i)%len(entries)], "POST", "/order/x", fmt.Sprintf("order-%d-%d", n, i), "a plate", 600*time.Millisecond)
				orders.count(a, a.Err == nil)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	calling.Wait()
	all := float64(drafts.served.Load()+orders.served.Load()) / float64(drafts.sent.Load()+orders.sent.Load())
	fmt.Printf("served: %d of %d drafts, %d of %d orders; %.2f of the drafts and %.2f of all\n", drafts.served.Load(), drafts.sent.Load(), orders.served.Load(), orders.sent.Load(), drafts.share(), all)
	switch {
	case orders.share() < 0.5:
		return 2, fmt.Errorf("orders are not served either")
	case drafts.share() < all/4:
		return 1, nil
	}
	return 0, nil
}

func (k *kind) count(a bed3.Answer, whole bool) {
	k.sent.Add(1)
	if a.Status == 200 && a.Signature != "" && whole {
		k.served.Add(1)
	}
}

// crash ends all runners at once and starts them again.
func crash(b *bed3.Bed, runners *bed3.Engines) {
	b.Note("all model runners crash")
	for _, r := range runners.Backends {
		r.Crash(rowLifetime)
	}
	time.Sleep(down)
	for _, r := range runners.Backends {
		if err := r.Start(); err != nil {
			b.Note("a runner does not start: %v", err)
		}
	}
	b.Note("all model runners have started again")
}
