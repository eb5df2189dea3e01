// Package requestsim checks the request packages together: several entries,
// agents and callers in simulated time, under the faults that the design names,
// against an oracle that knows every run.
package requestsim

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRequestSim(t *testing.T) {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	RegisterFailHandler(Fail)
	RunSpecs(t, "request simulation")
}
