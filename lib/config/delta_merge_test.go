package config_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/lib/config"
)

// Guards against merged deltas that restore removed objects, lose changes or keep
// overwritten values.
func TestMergedDeltaEqualsSequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := drawConfig(t, "from").Canonical()
		current := from
		var merged config.Delta
		for i := range rapid.IntRange(1, 4).Draw(t, "steps") {
			next := drawConfig(t, "next").Canonical()
			delta, err := config.NewDelta(current, next)
			if err != nil {
				t.Fatal(err)
			}
			if i == 0 {
				merged = delta
			} else {
				merged = merged.Merge(delta)
			}
			current = next
		}
		got, err := merged.Apply(from)
		if err != nil {
			t.Fatal(err)
		}
		if d := config.Diff(got, current); len(d) != 0 {
			t.Fatalf("merged delta yields a different configuration: %v", d)
		}
	})
}
