package directory_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/lib/directory"
)

// TestLookupsFollowUpdates guards against look-ups that return a server as it was before
// an update, or another one than the last that started at an address.
func TestLookupsFollowUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		d := directory.New()
		version := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "server"))
			version++
			s := &directory.Server{
				ID: id, Service: rapid.SampledFrom([]string{"a", "b", "unknown"}).Draw(t, "service"), Address: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "address")),
				StartUnixMilli: int64(rapid.IntRange(0, 2).Draw(t, "start")), Weights: map[string]directory.Weights{"m": {Version: version}},
			}
			switch rapid.IntRange(0, 5).Draw(t, "change") {
			case 0:
				d.Remove(id, false, now)
			case 1:
				d.Put(s)
			case 2:
				d.SetServices(rapid.SampledFrom([][]string{{"a"}, {"a", "b"}}).Draw(t, "services"))
			case 3:
				d.Update(s)
			default:
				// The usual update: only the weights have changed.
				d.ForEach(func(listed *directory.Server) {
					if listed.ID == id {
						updated := *listed
						updated.Weights = s.Weights
						s = &updated
					}
				})
				d.Update(s)
			}
			if rapid.Bool().Draw(t, "look up") {
				d.ByAddress("0")
				d.ByService("a")
			}
			addresses := make(map[string]bool)
			count := make(map[string]int)
			d.ForEach(func(s *directory.Server) {
				count[s.Service]++
				addresses[s.Address] = true
			})
			for _, service := range []string{"a", "b", "unknown"} {
				if len(d.ByService(service)) != count[service] {
					t.Fatalf("%d servers of %s, want %d", len(d.ByService(service)), service, count[service])
				}
				for _, s := range d.ByService(service) {
					if s != d.Get(s.Key()) {
						t.Fatalf("server %s is not the listed one", s.ID)
					}
				}
			}
			for address := range addresses {
				if s := d.ByAddress(address); s != nil && s != d.Get(s.Key()) {
					t.Fatalf("server %s at %s is not the listed one", s.ID, address)
				}
			}
		}
	})
}
