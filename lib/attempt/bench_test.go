package attempt

import (
	"testing"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// BenchmarkRequest measures one stream of 100 frames of 20 bytes.
func BenchmarkRequest(b *testing.B) {
	const frames = 100
	data := make([]byte, 20)
	now := time.Now()
	end := &wire.ResponseEnd{Attempt: "a1", Outcome: outcome.Completed, Frames: frames, Digest: model.Sum(make([]byte, frames*len(data)))}
	budget := NewBudget(BudgetConfig{})
	b.ReportAllocs()
	for b.Loop() {
		m := New(Config{}, Request{ID: "r", Tenant: "t", Deadline: now.Add(time.Minute), Repeatable: true}, budget)
		m.Queued(now)
		m.Dispatched(now, Dispatch{Attempt: "a1", Instance: "i"})
		for i := range uint64(frames) {
			m.Frame(now, "a1", i, data)
		}
		if m.End(now, end).Outcome != outcome.Completed {
			b.Fatal("not completed")
		}
	}
}

// BenchmarkFrame measures one frame in the middle of a stream.
func BenchmarkFrame(b *testing.B) {
	now := time.Now()
	m := New(Config{}, Request{Deadline: now.Add(time.Hour), Repeatable: true}, nil)
	m.Queued(now)
	m.Dispatched(now, Dispatch{Attempt: "a1"})
	data := make([]byte, 20)
	m.Frame(now, "a1", 0, data)
	b.ReportAllocs()
	for b.Loop() {
		m.Frame(now, "a1", m.NextSequence(), data)
	}
}
