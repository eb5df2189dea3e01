package sse_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/sse"
)

var _ = Describe("Event", func() {
	DescribeTable("has the fields of its lines",
		// Guards against errors and documents that pass for numbered events.
		func(raw string, want sse.Event) {
			got, err := sse.NewReader(strings.NewReader(raw)).Next()
			Expect(err).NotTo(HaveOccurred())
			want.Raw = []byte(raw)
			Expect(got).To(Equal(want))
		},
		Entry("numbered", "id: 7\ndata: a\n\n", sse.Event{ID: 7, HasID: true, HasData: true}),
		Entry("with a type", "event: error\ndata: a\n\n", sse.Event{Type: "error", HasData: true}),
		Entry("two IDs", "id: 7\nid: 8\n\n", sse.Event{ID: 8, HasID: true}),
		Entry("an ID behind a carriage return", "data: a\rid: 9\n\n", sse.Event{ID: 9, HasID: true, HasData: true}),
		Entry("an unknown field that begins like another", "database: a\n\n", sse.Event{}),
		Entry("no field", "<html>\n\n", sse.Event{}),
		Entry("a comment", ": id: 7\n\n", sse.Event{IsIgnorable: true}),
		Entry("a reconnection time", "retry: 7\n\n", sse.Event{IsIgnorable: true}),
		Entry("a blank line", "\n", sse.Event{IsIgnorable: true}),
	)

	DescribeTable("has no number",
		func(id string) {
			got, err := sse.NewReader(strings.NewReader("id: " + id + "\ndata: a\n\n")).Next()
			Expect(err).NotTo(HaveOccurred())
			Expect(got.HasID).To(BeFalse())
		},
		Entry("for text", "x"),
		Entry("for an empty ID", ""),
		Entry("for a negative number", "-3"),
		Entry("for a number that is too large", "92233720368547758080"),
		Entry("if the last ID is none", "7\nid: x"),
	)
})
