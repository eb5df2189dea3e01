package distribute_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDistribute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Distribute Suite")
}
