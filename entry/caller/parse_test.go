package caller

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

var _ = Describe("parse", func() {
	cfg := &config.Config{
		Services: []config.Service{{Name: "draft", MaxBodyBytes: 10, Timeout: 5 * time.Second}},
		Tenants:  []config.Tenant{{Name: "huye"}},
		Classes:  []config.Class{{Name: "interactive"}, {Name: "batch"}},
	}
	now := time.Unix(1000, 0)

	// Guards against malformed requests that reach a backend server, and against
	// refusals that do not name the fault.
	DescribeTable("refuses invalid requests",
		func(change func(*rawRequest), reason outcome.Reason, detail string) {
			raw := rawRequest{service: "draft", tenant: "huye"}
			change(&raw)
			_, refused := parse(raw, cfg, now)
			Expect(refused).NotTo(BeNil())
			Expect(refused.reason).To(Equal(reason))
			Expect(refused.detail).To(ContainSubstring(detail))
		},
		Entry("unknown service", func(r *rawRequest) { r.service = "x" }, outcome.ReasonUnknownService, `"x"`),
		Entry("unknown tenant", func(r *rawRequest) { r.tenant = "y" }, outcome.ReasonUnknownTenant, HeaderTenant),
		Entry("unknown class", func(r *rawRequest) { r.class = "z" }, outcome.ReasonInvalid, HeaderClass),
		Entry("deadline that is not a number", func(r *rawRequest) { r.deadlineMillis = "soon" }, outcome.ReasonInvalid, HeaderDeadlineMillis),
		Entry("deadline of zero", func(r *rawRequest) { r.deadlineMillis = "0" }, outcome.ReasonInvalid, HeaderDeadlineMillis),
		Entry("idempotency key that is too long", func(r *rawRequest) { r.idempotencyKey = strings.Repeat("k", 129) }, outcome.ReasonInvalid, HeaderIdempotencyKey),
		Entry("request ID that is too long", func(r *rawRequest) { r.requestID = strings.Repeat("k", 129) }, outcome.ReasonInvalid, HeaderRequestID),
		Entry("content type that is too long", func(r *rawRequest) { r.contentType = strings.Repeat("k", 1025) }, outcome.ReasonInvalid, "Content-Type"),
		Entry("body that is too large", func(r *rawRequest) { r.bodyLength = 11 }, outcome.ReasonTooLarge, "11 bytes"),
	)

	It("uses defaults for omitted headers", func() {
		r, refused := parse(rawRequest{service: "draft", tenant: "huye"}, cfg, now)
		Expect(refused).To(BeNil())
		Expect(r.Class.Name).To(BeEquivalentTo("interactive"))
		Expect(r.Deadline).To(Equal(now.Add(5 * time.Second)))
	})
})
