package configsim_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestConfigSim(t *testing.T) {
	t.Parallel()
	RegisterFailHandler(Fail)
	RunSpecs(t, "configsim")
}

// A fixed seed makes runs reproducible. 250 checks suffice for the oracle
// to detect a deliberate violation of any one rule.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "250", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
