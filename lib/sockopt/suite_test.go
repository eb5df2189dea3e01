package sockopt_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSockopt(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sockopt")
}
