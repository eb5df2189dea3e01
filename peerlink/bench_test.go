package peerlink_test

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/auburnbend/auburnbend/lib/msgstream"
	"github.com/auburnbend/auburnbend/peerlink"
)

// benchmarkDatagrams are one datagram of each frequent kind.
var benchmarkDatagrams = []struct {
	name     string
	datagram peerlink.Datagram
}{
	{"subscription", peerlink.Datagram{Subscription: &peerlink.Subscription{
		Entry: "i-0123456789", Region: "kigali", Incarnation: 1 << 62,
		Target: &peerlink.Target{ConfigVersion: 17, Model: "model", Version: 3, Origin: "10.0.0.7:8080", OriginPieceMicros: 45000, Layers: 16, Pieces: 96},
	}}},
	{"status", peerlink.Datagram{Status: &peerlink.Status{
		Address: "10.0.3.17:8080", StartUnixMilli: 1796383521361, Running: 7, Queued: 1, AgeMicros: 900, PrefillTokens: 1290, Slowdown: 1, Model: "model", Version: 3, Sequence: 812,
	}}},
	{"entry load", peerlink.Datagram{EntryLoad: &peerlink.EntryLoad{Entry: "i-0123456789", PrefillTokens: 1290, Sequence: 812}}},
	{"placement request", peerlink.Datagram{PlacementRequest: &peerlink.PlacementRequest{
		Entry: "i-0123456789", Incarnation: 1 << 62, Lease: 411, Domain: "kigali-a", Service: "engines", Model: "model", MinVersion: 3, PromptTokens: 1290, OutputTokens: 80,
		LatencyTargetMillis: 800, RemainingMillis: 6000, OpenLeases: []uint64{403, 404, 407, 409, 410}, OpenLeasesKnown: true,
	}}},
	{"placement response", peerlink.Datagram{PlacementResponse: &peerlink.PlacementResponse{
		Incarnation: 1 << 62, Lease: 411, Server: &peerlink.ServerKey{ID: "srv-0123456789", StartUnixMilli: 1796383521361}, Version: 3, PredictedMicros: 91000, Occupancy: 4, LoadAgeMicros: 31000,
	}}},
	{"placement notice", peerlink.Datagram{PlacementNotice: &peerlink.PlacementNotice{Entry: "i-0123456789", Incarnation: 1 << 62, Lease: 411, Ended: true, Result: 1}}},
}

func BenchmarkEncode(b *testing.B) {
	for _, c := range benchmarkDatagrams {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := msgpack.Marshal(&c.datagram); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkDecode(b *testing.B) {
	for _, c := range benchmarkDatagrams {
		data, err := msgpack.Marshal(&c.datagram)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(data)))
			for b.Loop() {
				var d peerlink.Datagram
				if err := msgstream.Unmarshal(data, &d); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
