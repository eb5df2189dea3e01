package operatorrpc_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestOperatorRPC(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operatorrpc")
}
