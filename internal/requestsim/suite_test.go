// Package requestsim tests the packages of the request path together. It simulates
// several entries, agents and callers with faults and checks what callers receive
// against an oracle that knows every run. Time is simulated.
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
