package spread

import (
	"fmt"
	"testing"
)

// BenchmarkNewPlan measures the plan of one instance, which it computes again whenever
// the list of engines changes.
func BenchmarkNewPlan(b *testing.B) {
	for _, engines := range []int{160, 10_000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			members := make([]Member, engines)
			for i := range members {
				members[i] = Member{ID: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250), Region: fmt.Sprint("r", i%5)}
			}
			b.ReportAllocs()
			for b.Loop() {
				NewPlan(members[0], members, 96)
			}
		})
	}
}
