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
	// Guards against an operator who looks for a fault of the store when a
	// certificate or an address is wrong.
	DescribeTable("tells the store from the connection", func(err error, message string) {
		got := convert.ErrorFromStatus(err)
		Expect(errors.Is(got, config.ErrStoreUnavailable)).To(BeTrue())
		Expect(got.Error()).To(Equal(message))
	},
		Entry("the entry's answer", convert.ErrorToStatus(config.ErrStoreUnavailable), "configuration store unavailable"),
		Entry("no entry", status.Error(codes.Unavailable, "connection refused"), "entry unavailable: connection refused"),
	)
})
