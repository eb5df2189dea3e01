package distribute_test

import (
	"flag"
	"os"
	"testing"
)

// fuzzSeed makes the rapid tests repeat the same cases. -rapid.seed overrides
// it.
const fuzzSeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", fuzzSeed)
	}
	os.Exit(m.Run())
}
