package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/serving"
)

// BenchmarkSubscribedEngines measures the choice of the engines that an entry subscribes
// to, which it makes each second.
func BenchmarkSubscribedEngines(b *testing.B) {
	for _, engines := range []int{160, 10_000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			regions := make(map[string]string)
			for i := range 5 {
				regions[fmt.Sprint("d", i)] = fmt.Sprint("r", i)
			}
			g := New(Config{Clock: clock.System{}, Log: eventlog.Discard(), Placement: placement.Config{Domain: "d0", Regions: regions}})
			g.SetConfig(&serving.Config{Version: 1, Services: []serving.Service{{Name: "drafts", Engine: &serving.Engine{Slots: 8}}}})
			g.UpdateServers(func(d *directory.Directory, _ time.Time) {
				for i := range engines {
					d.Put(&directory.Server{ID: fmt.Sprint("i-", i), Service: "drafts", Address: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250), Domain: fmt.Sprint("d", i%5)})
				}
			})
			table := g.table.Load()
			b.ReportAllocs()
			for b.Loop() {
				if len(g.subscribedEngines(table, "e", true)) == 0 {
					b.Fatal("no engines")
				}
			}
		})
	}
}
