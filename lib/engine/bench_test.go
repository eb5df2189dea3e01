package engine_test

import (
	"context"
	"testing"

	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
	standin "github.com/auburnbend/auburnbend/standin/engine"
	"github.com/auburnbend/auburnbend/standin/service"
)

// BenchmarkClient measures one request over loopback. A rejected request has
// the same connection setup cost as one that runs.
func BenchmarkClient(b *testing.B) {
	ctx := context.Background()
	server, err := standin.Start(standin.Config{TimeScale: 1e-6, Capacity: 64})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	client, err := engine.NewClient(engine.Config{Address: server.URL()})
	if err != nil {
		b.Fatal(err)
	}
	b.Run("state", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := client.State(ctx); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("rejected generate", func(b *testing.B) {
		b.ReportAllocs()
		req := engine.Request{ID: "r", Stream: "r", Weights: model.Weights{Base: model.Sum([]byte("other"))}}
		for b.Loop() {
			if _, err := client.Generate(ctx, req); !engine.NotStarted(err) {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkPlainClient measures one plain service call over loopback.
func BenchmarkPlainClient(b *testing.B) {
	server, err := service.Start(service.Config{})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	client, err := engine.NewPlainClient(engine.Config{Address: server.URL()})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Call(context.Background(), engine.PlainRequest{ID: "r", Service: "orders", Body: []byte("{}")}); err != nil {
			b.Fatal(err)
		}
	}
}
