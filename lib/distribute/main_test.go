package distribute_test

import (
	"flag"
	"os"
	"testing"
)

// rapidSeed makes the rapid tests repeat the same cases. -rapid.seed overrides
// it.
const rapidSeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", rapidSeed)
	}
	os.Exit(m.Run())
}
