package directory_test

import (
	"fmt"
	"testing"

	"github.com/auburnbend/auburnbend/lib/directory"
)

// BenchmarkUpdate measures an engine's report of new weights with the look-ups that
// follow it. In a rollout each engine sends one.
func BenchmarkUpdate(b *testing.B) {
	for _, engines := range []int{160, 10_000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			d := directory.New()
			address := func(i int) string { return fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250) }
			for i := range engines {
				d.Put(&directory.Server{ID: fmt.Sprint("i-", i), Service: "drafts", Address: address(i)})
			}
			b.ReportAllocs()
			version := 0
			for b.Loop() {
				version++
				updated := *d.ByAddress(address(version % engines))
				updated.Weights = map[string]directory.Weights{"m": {Version: version, Complete: true}}
				d.Update(&updated)
				if len(d.ByService("drafts")) != engines {
					b.Fatal("servers are missing")
				}
			}
		})
	}
}
