package gateway

import (
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/msgstream"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/serving"
	"github.com/auburnbend/auburnbend/lib/wire"
	"github.com/auburnbend/auburnbend/peerlink"
)

// datagramTarget is an entry that gets datagrams of faulty peers, with servers that they
// may name.
type datagramTarget struct {
	link  *PeerLink
	clock *clock.Fake
}

const (
	datagramAddress = "127.0.0.2:7700"
	datagramServer  = "engine"
)

func newDatagramTarget(t interface{ Fatal(...any) }) *datagramTarget {
	target := &datagramTarget{clock: clock.NewFake(time.Unix(1000, 0))}
	g := New(Config{Clock: target.clock, Log: eventlog.Discard(), Placement: placement.Config{Domain: "north", Regions: map[string]string{"north": "n"}}})
	engine := &serving.Engine{Slots: 8, StepTime: 13 * time.Millisecond, PrefillTokensPerSecond: 12700, StepsPerPrefillChunk: 5, PrefillChunkTokens: 2048, MeanPromptTokens: 900, MeanOutputTokens: 75}
	g.SetConfig(&serving.Config{Version: 1, Services: []serving.Service{{Name: "drafts", Engine: engine}, {Name: "desk"}}})
	link, err := NewPeerLink(g, "entry", "n", "127.0.0.1", 0, 1)
	if err != nil {
		t.Fatal(err)
	}
	target.link = link
	g.UpdateServers(func(d *directory.Directory, _ time.Time) {
		d.Put(&directory.Server{ID: datagramServer, Service: "drafts", Address: datagramAddress, Domain: "north", Slots: 8, Weights: map[string]directory.Weights{"m": {Version: 1, Complete: true}}})
		d.Put(&directory.Server{ID: "plain", Service: "desk", Address: "127.0.0.3:7700", Domain: "north", Slots: 8})
		d.Put(&directory.Server{ID: "sound", Service: "desk", Address: "127.0.0.4:7700", Domain: "north", Slots: 8})
	})
	return target
}

func (d *datagramTarget) close() { _ = d.link.conn.Close() }

// receive handles a datagram as if it came from a peer, and returns whether it could be
// read.
func (d *datagramTarget) receive(data []byte) bool {
	var datagram peerlink.Datagram
	if len(data) > maxDatagramBytes || msgstream.Unmarshal(data, &datagram) != nil {
		return false
	}
	d.link.handleDatagram(&datagram, netip.MustParseAddrPort("127.0.0.1:1"))
	return true
}

// check does what an entry does from time to time, and returns an error unless a server
// that no datagram names serves.
func (d *datagramTarget) check() error {
	g := d.link.gateway
	for range 2 {
		d.clock.Advance(time.Second)
		g.expireLeases()
		g.gossipToResend()
		g.State()
		for _, service := range []string{"drafts", "desk"} {
			g.mu.Lock()
			lease, refusal := g.pick(placement.Request{Service: service, Domain: "north", Remaining: time.Second, LatencyTarget: time.Second}, g.now())
			if lease != nil {
				g.picker.Done(lease, placement.Answered, g.now())
			}
			g.mu.Unlock()
			if refusal != nil && (refusal.RetryAfter < 0 || refusal.RetryAfter > time.Hour) {
				return fmt.Errorf("refused for %v", refusal.RetryAfter)
			}
			if lease != nil && lease.Predicted < 0 {
				return fmt.Errorf("predicted %v", lease.Predicted)
			}
			if service == "desk" && refusal != nil {
				return fmt.Errorf("the sound server gets no requests: %s", refusal.Reason)
			}
		}
	}
	return nil
}

var (
	oddInts   = rapid.SampledFrom([]int{0, 1, -1, 5, 1000, math.MaxInt64, math.MinInt64, 1 << 40, -1 << 40})
	oddFloats = rapid.SampledFrom([]float64{0, 1, -1, 0.5, math.NaN(), math.Inf(1), math.Inf(-1), 1e300, 1e-300, math.MaxFloat64, math.SmallestNonzeroFloat64})
	oddTexts  = rapid.SampledFrom([]string{"", datagramServer, "plain", "drafts", "desk", "m", "n", "x", "\x00\xff", datagramAddress, "127.0.0.1:1", "not an address"})
)

func drawKey(t *rapid.T) peerlink.ServerKey {
	id := rapid.SampledFrom([]string{datagramServer, "plain", "x", ""}).Draw(t, "id")
	return peerlink.ServerKey{ID: id, StartUnixMilli: int64(rapid.SampledFrom([]int{0, 0, 1, math.MinInt64}).Draw(t, "start"))}
}

func drawList[T any](t *rapid.T, draw func(*rapid.T) T) (list []T) {
	for range rapid.IntRange(0, 3).Draw(t, "length") {
		list = append(list, draw(t))
	}
	return list
}

func drawLimit(t *rapid.T) peerlink.RateLimit {
	return peerlink.RateLimit{Server: drawKey(t), PerSecond: oddFloats.Draw(t, "per second"), AgeMillis: int64(oddInts.Draw(t, "age"))}
}

func drawVersionDeadline(t *rapid.T) peerlink.VersionDeadline {
	return peerlink.VersionDeadline{int64(oddInts.Draw(t, "later version")), int64(oddInts.Draw(t, "later in"))}
}

func drawSuspect(t *rapid.T) wire.Suspect {
	return wire.Suspect{Fingerprint: model.FingerprintOf("t", "s", []byte(oddTexts.Draw(t, "content"))), Incidents: drawList(t, func(t *rapid.T) wire.Incident {
		return wire.Incident{Instance: model.InstanceID(oddTexts.Draw(t, "instance")), AgeMillis: int64(oddInts.Draw(t, "age")), Cleared: rapid.Bool().Draw(t, "cleared")}
	})}
}

func drawText(t *rapid.T) string { return oddTexts.Draw(t, "text") }

// drawDatagram draws a datagram that a peer of this version never sends.
func drawDatagram(t *rapid.T) *peerlink.Datagram {
	number := func(name string) int { return oddInts.Draw(t, name) }
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		return &peerlink.Datagram{Gossip: &peerlink.Gossip{
			Suspects: wire.SuspectUpdate{Suspects: drawList(t, drawSuspect)}, Draining: drawList(t, drawKey), Limits: drawList(t, drawLimit), Forward: rapid.Bool().Draw(t, "forward"),
		}}
	case 1:
		return &peerlink.Datagram{Status: &peerlink.Status{
			Address: datagramAddress, StartUnixMilli: int64(number("start")), Running: number("running"), Queued: number("queued"), AgeMicros: int64(number("age")),
			PrefillTokens: number("tokens"), Slowdown: oddFloats.Draw(t, "slowdown"), Closed: rapid.Bool().Draw(t, "closed"), Model: "m", Version: number("version"),
			Region: "n", Neighbours: drawList(t, drawText), Sequence: uint64(number("sequence")),
		}}
	case 2:
		return &peerlink.Datagram{PlacementNotice: &peerlink.PlacementNotice{
			Entry: "other", Incarnation: 1, Lease: uint64(rapid.IntRange(0, 3).Draw(t, "lease")), Ended: rapid.Bool().Draw(t, "ended"), Result: uint8(rapid.IntRange(0, 255).Draw(t, "result")),
		}}
	case 3:
		return &peerlink.Datagram{PlacementResponse: &peerlink.PlacementResponse{Incarnation: 1, Lease: uint64(number("lease")), PredictedMicros: int64(number("predicted"))}}
	default:
		return &peerlink.Datagram{PlacementRequest: &peerlink.PlacementRequest{
			Entry: "other", Incarnation: 1, Lease: uint64(rapid.IntRange(0, 3).Draw(t, "lease")), Domain: drawText(t), Service: rapid.SampledFrom([]string{"drafts", "desk", "x"}).Draw(t, "service"), Model: drawText(t),
			Version: number("version"), MinVersion: number("min"), NextVersion: number("next"), NextMillis: int64(number("next in")), LaterVersions: drawList(t, drawVersionDeadline), PromptTokens: number("prompt"), OutputTokens: number("output"),
			LatencyTargetMillis: int64(number("target")), RemainingMillis: int64(number("remaining")), Exclude: drawList(t, drawKey), Homes: drawList(t, drawText), HomesOnly: rapid.Bool().Draw(t, "homes"),
			Evacuated: drawList(t, drawText), Limits: drawList(t, drawLimit), OpenLeases: []uint64{1, 2}, OpenLeasesKnown: rapid.Bool().Draw(t, "open"),
		}}
	}
}

// Guards against a datagram of a faulty or later peer that ends the process, or after which
// an entry refuses all requests: a rate limit of 1e300 a second led to a division by zero.
func TestOddDatagrams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		target := newDatagramTarget(t)
		defer target.close()
		for range rapid.IntRange(1, 12).Draw(t, "datagrams") {
			data, err := msgpack.Marshal(drawDatagram(t))
			if err != nil {
				t.Fatal(err)
			}
			target.receive(data)
			if err := target.check(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// FuzzDatagram handles arbitrary bytes of a peer.
func FuzzDatagram(f *testing.F) {
	for seed := range 20 {
		gen := rapid.Custom(drawDatagram)
		data, err := msgpack.Marshal(gen.Example(seed))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("\x81\xa1c\x81\xa1r\x91\x81\xa1r\xcb\x7e\x37\xe4\x3c\x88\x00\x75\x9c"))
	f.Fuzz(func(t *testing.T, data []byte) {
		target := newDatagramTarget(t)
		defer target.close()
		if target.receive(data) {
			if err := target.check(); err != nil {
				t.Fatal(err)
			}
		}
	})
}
