package versions_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburnbend/auburnbend/lib/versions"
)

// BenchmarkRequest measures what each request asks of a Registry that has run for long.
func BenchmarkRequest(b *testing.B) {
	start := time.Unix(1000, 0)
	for _, declared := range []int{3, 1000, 20_000} {
		b.Run(fmt.Sprint(declared), func(b *testing.B) {
			r := versions.NewRegistry(8 * time.Second)
			now := start
			for version := range declared {
				now = now.Add(time.Minute)
				r.Declare("m", 2+version, now)
			}
			b.ReportAllocs()
			for b.Loop() {
				r.MinVersion("m", now)
				r.Deadlines("m", now)
				r.Deadline("m", declared)
			}
		})
	}
}
