package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/serving"
)

// BenchmarkPick measures a placement by an entry of a fleet with a number of engines in
// five regions, of which those of its own region and 24 others report their load.
func BenchmarkPick(b *testing.B) { benchmarkPick(b, false) }

// BenchmarkPickOverloaded measures a refusal by the same entry while all engines that report
// are full: it looks at each of them.
func BenchmarkPickOverloaded(b *testing.B) { benchmarkPick(b, true) }

func benchmarkPick(b *testing.B, overloaded bool) {
	const (
		regions         = 5
		reportedRemotes = 24
	)
	for _, c := range []struct {
		engines int
		ranked  bool
	}{{160, false}, {160, true}, {10_000, false}, {10_000, true}} {
		engines := c.engines
		b.Run(fmt.Sprintf("%d ranked=%t", engines, c.ranked), func(b *testing.B) {
			now := time.Unix(1000, 0)
			config := Config{Domain: "d0", Regions: make(map[string]string)}
			for i := range regions {
				config.Regions[fmt.Sprint("d", i)] = fmt.Sprint("r", i)
			}
			d := directory.New()
			p := New(config, d, rand.New(rand.NewPCG(1, 1)))
			engine := &serving.Engine{
				Slots: 8, StepTime: 13 * time.Millisecond, PrefillTokensPerSecond: 12700, StepsPerPrefillChunk: 5, PrefillChunkTokens: 2048, MeanPromptTokens: 900, MeanOutputTokens: 75,
			}
			remotes := 0
			for i := range engines {
				s := &directory.Server{
					ID: fmt.Sprint("i-", i), Service: "drafts", Address: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250), Domain: fmt.Sprint("d", i%regions), Slots: 8,
					Weights: map[string]directory.Weights{"m": {Version: 3, Complete: true}},
				}
				d.Put(s)
				p.RecordVerified(s.Key(), VerifiedWeights{Model: "m", Version: 3, Until: now.Add(time.Hour)})
				if i%regions != 0 {
					if remotes++; remotes > reportedRemotes {
						continue
					}
				}
				running := i % 4
				if overloaded {
					running = 100
				}
				p.Report(s.Key(), Load{Running: running, Slowdown: 1}, now.Add(-localOnlyTime))
			}
			req := Request{
				Service: "drafts", Engine: engine, Model: "m", MinVersion: 3, PromptTokens: 900, OutputTokens: 75, LatencyTarget: 800 * time.Millisecond, Remaining: 6 * time.Second, Entry: "e",
				Ranked: c.ranked, Rank: 1, Team: "t",
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				lease, refusal := p.Pick(req, now)
				if overloaded != (refusal != nil) {
					b.Fatal(refusal)
				}
				if lease != nil {
					p.Done(lease, Answered, now)
				}
			}
		})
	}
}
