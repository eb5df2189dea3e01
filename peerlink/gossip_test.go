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

// Guards against gossip that is lost because it doesn't fit into a datagram.
func TestDatagramsCarryAllGossip(t *testing.T) {
	const limit = 1200
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	rapid.Check(t, func(t *rapid.T) {
		gossip := &peerlink.Gossip{Forward: rapid.Bool().Draw(t, "forward")}
		drawSuspects := func(label string) *wire.SuspectUpdate {
			update := &wire.SuspectUpdate{}
			for i := range rapid.IntRange(0, 40).Draw(t, label) {
				s := wire.Suspect{Fingerprint: model.FingerprintOf("t", "s", []byte(fmt.Sprint(i)))}
				for j := range rapid.IntRange(0, 16).Draw(t, "incidents") {
					s.Incidents = append(s.Incidents, wire.Incident{Instance: model.InstanceID(fmt.Sprintf("i-%08d/%d", j, 1796383521361+j)), AgeMillis: 600_000})
				}
				update.Suspects = append(update.Suspects, s)
			}
			return update
		}
		gossip.AddSuspects(drawSuspects("suspects"))
		gossip.AddParts(drawSuspects("parts"))
		for i := range rapid.IntRange(0, 60).Draw(t, "draining") {
			gossip.Draining = append(gossip.Draining, peerlink.ServerKey{ID: fmt.Sprintf("i-%010d", i), StartUnixMilli: 1796383521361})
		}
		for i := range rapid.IntRange(0, 60).Draw(t, "limits") {
			gossip.Limits = append(gossip.Limits, peerlink.RateLimit{Server: peerlink.ServerKey{ID: fmt.Sprintf("i-%010d", i), StartUnixMilli: 1796383521361}, PerSecond: 1.7, AgeMillis: 60_000})
		}
		suspects, parts, draining, limits := 0, 0, 0, 0
		for _, data := range gossip.Datagrams(limit) {
			if len(data) > limit {
				t.Fatalf("datagram has %d bytes, limit is %d", len(data), limit)
			}
			var d peerlink.Datagram
			if err := msgpack.Unmarshal(data, &d); err != nil {
				t.Fatal(err)
			}
			if d.Gossip.Forward != gossip.Forward {
				t.Fatal("Forward is lost")
			}
			suspects += len(d.Gossip.Suspects.Suspects)
			parts += len(d.Gossip.Parts.Suspects)
			draining += len(d.Gossip.Draining)
			limits += len(d.Gossip.Limits)
		}
		if suspects != len(gossip.Suspects.Suspects) || parts != len(gossip.Parts.Suspects) || draining != len(gossip.Draining) || limits != len(gossip.Limits) {
			t.Fatalf("got %d of %d suspects, %d of %d parts, %d of %d servers and %d of %d limits", suspects, len(gossip.Suspects.Suspects), parts, len(gossip.Parts.Suspects), draining, len(gossip.Draining), limits, len(gossip.Limits))
		}
	})
}
