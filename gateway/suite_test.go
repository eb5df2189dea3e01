package gateway

import (
	"flag"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// init fixes the seed of property tests. The flag -rapid.seed overrides it.
func init() {
	_ = flag.Set("rapid.seed", "20261205")
	_ = flag.Set("rapid.nofailfile", "true")
}

func TestSuite(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "gateway")
}
