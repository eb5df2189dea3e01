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
	fixed := map[string]string{"rapid.seed": "20261204", "rapid.checks": "1000", "rapid.steps": "300", "rapid.nofailfile": "true"}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		_ = flag.Set(name, value)
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "request simulation")
}
