package cachefeed_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCacheFeed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "CacheFeed")
}
