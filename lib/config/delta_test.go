package config_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/lib/config"
)

// Guards against deltas that lose, wrongly keep or reorder objects, and against
// declaration files that parse to a different configuration than the formatted
// one.
func TestDeltaAndDeclarationRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawConfig(t, "from"), drawConfig(t, "to")
		if err := to.Validate(); err != nil {
			t.Fatal(err)
		}
		delta, err := config.NewDelta(from, to)
		if err != nil {
			t.Fatal(err)
		}
		data, err := delta.Encode()
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := config.DecodeDelta(data)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decoded.Apply(from.Canonical())
		if err != nil {
			t.Fatal(err)
		}
		if d := config.Diff(got, to); len(d) != 0 {
			t.Fatalf("delta yields a different configuration: %v", d)
		}
		parsed, err := config.Parse(config.Format(to))
		if err != nil {
			t.Fatal(err)
		}
		want, _ := to.Digest()
		if digest, _ := parsed.Digest(); digest != want {
			t.Fatalf("formatted declaration parses as\n%s", config.Format(parsed))
		}
		if delta.Empty() != (len(config.Diff(from, to)) == 0) {
			t.Fatal("Delta.Empty and Diff disagree on whether anything changes")
		}
	})
}
