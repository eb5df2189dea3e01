package httpbacking_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHTTPPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "httpbacking")
}
