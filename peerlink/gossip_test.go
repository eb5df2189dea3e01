package peerlink_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
	"github.com/auburnbend/auburnbend/peerlink"
)

// Guards against news that are lost because they do not fit into a datagram.
func TestDatagramsHoldAllNews(t *testing.T) {
	const limit = 1200
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	rapid.Check(t, func(t *rapid.T) {
		n := &peerlink.Gossip{Forward: rapid.Bool().Draw(t, "spread")}
		for i := range rapid.IntRange(0, 40).Draw(t, "suspects") {
			s := wire.Suspect{Finger: model.FingerprintOf("t", "s", []byte(fmt.Sprint(i)))}
			for j := range rapid.IntRange(0, 16).Draw(t, "incidents") {
				s.Incidents = append(s.Incidents, wire.Incident{Instance: model.InstanceID(fmt.Sprintf("i-%08d/%d", j, 1796383521361+j)), AgeMillis: 600_000})
			}
			n.Suspects.Suspects = append(n.Suspects.Suspects, s)
		}
		for i := range rapid.IntRange(0, 60).Draw(t, "leaving") {
			n.Draining = append(n.Draining, peerlink.ServerKey{ID: fmt.Sprintf("i-%010d", i), StartUnixMilli: 1796383521361})
		}
		suspects, leaving := 0, 0
		for _, data := range n.Datagrams(limit) {
			if len(data) > limit {
				t.Fatalf("datagram of %d bytes", len(data))
			}
			var d peerlink.Datagram
			if err := msgpack.Unmarshal(data, &d); err != nil {
				t.Fatal(err)
			}
			if d.Gossip.Forward != n.Forward {
				t.Fatal("the mark to spread is lost")
			}
			suspects += len(d.Gossip.Suspects.Suspects)
			leaving += len(d.Gossip.Draining)
		}
		if suspects != len(n.Suspects.Suspects) || leaving != len(n.Draining) {
			t.Fatalf("%d of %d suspects and %d of %d servers arrive", suspects, len(n.Suspects.Suspects), leaving, len(n.Draining))
		}
	})
}
