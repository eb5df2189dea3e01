package replica

import (
	"bytes"
	"math"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/msgstream"
	"github.com/auburnbend/auburnbend/peerlink"
)

// FuzzDatagram handles arbitrary bytes of a peer on an agent, and then subscribes an entry.
// The agent must report to it, and remember a bounded number of servers.
func FuzzDatagram(f *testing.F) {
	key := peerlink.ServerKey{ID: "i-1", StartUnixMilli: math.MinInt64}
	for _, d := range []peerlink.Datagram{
		{Subscription: &peerlink.Subscription{Entry: "e", Region: "n", Incarnation: math.MaxUint64, EveryChange: true, Draining: true}},
		{EntryLoad: &peerlink.EntryLoad{Entry: "e", PrefillTokens: math.MinInt64, Sequence: math.MaxUint64}},
		{Gossip: &peerlink.Gossip{Draining: []peerlink.ServerKey{key}, Forward: true}},
		{Gossip: &peerlink.Gossip{Limits: []peerlink.RateLimit{{Server: key, PerSecond: math.NaN(), AgeMillis: math.MinInt64}, {PerSecond: 1e300}, {PerSecond: 2, AgeMillis: math.MaxInt64}}}},
		{Status: &peerlink.Status{Address: "x"}},
	} {
		data, err := msgpack.Marshal(&d)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	entry, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = entry.Close() })
	address := entry.LocalAddr().(*net.UDPAddr).AddrPort()
	f.Fuzz(func(t *testing.T, data []byte) {
		var d peerlink.Datagram
		if len(data) > maxDatagramBytes || msgstream.Unmarshal(data, &d) != nil {
			return
		}
		now := clock.NewFake(time.Unix(1000, 0))
		agent, err := NewLoadReporter(New(Config{EngineAddress: "127.0.0.1:9", Region: "n", Clock: now, Listen: "127.0.0.1"}))
		if err != nil {
			t.Fatal(err)
		}
		defer agent.conn.Close()
		for range 2 {
			agent.handle(netip.MustParseAddrPort("127.0.0.1:1"), &d)
			now.Advance(time.Second)
			agent.prefillTokens()
		}
		agent.handle(address, &peerlink.Datagram{Subscription: &peerlink.Subscription{Entry: "sound", Region: "n", Incarnation: 1}})
		list := agent.recipients()
		agent.send(list)
		found := false
		for _, added := range list.added {
			found = found || added == address
		}
		if !found || len(agent.drainingServers) > maxDraining || len(agent.limits) > maxLimits {
			t.Fatalf("added %v, %d draining servers, %d limits", list.added, len(agent.drainingServers), len(agent.limits))
		}
	})
}

// FuzzManifest decodes the manifest of a peer.
func FuzzManifest(f *testing.F) {
	f.Add([]byte{})
	f.Add(bytes.Repeat([]byte("x"), 64))
	f.Add(bytes.Repeat([]byte("x"), 65))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decodeManifest("m", 1, data)
		if err == nil && !bytes.Equal(m.encode(), data) {
			t.Fatalf("%d digests of %d bytes", len(m.Digests), len(data))
		}
	})
}
