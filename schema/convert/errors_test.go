package convert_test

import (
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/schema/convert"
)

var _ = Describe("ErrorFromStatus", func() {
	// Guards against blaming the store when a certificate or an address is wrong.
	DescribeTable("distinguishes an unavailable store from a failed connection", func(err error, message string) {
		got := convert.ErrorFromStatus(err)
		Expect(errors.Is(got, config.ErrStoreUnavailable)).To(BeTrue())
		Expect(got.Error()).To(Equal(message))
	},
		Entry("status from the entry", convert.ErrorToStatus(config.ErrStoreUnavailable), "configuration store unavailable"),
		Entry("entry not reachable", status.Error(codes.Unavailable, "connection refused"), "entry unavailable: connection refused"),
	)
})
