package configsim_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	_ "pgregory.net/rapid"
)

func TestConfigSim(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configsim")
}

// A fixed seed gives every run the same verdict.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
