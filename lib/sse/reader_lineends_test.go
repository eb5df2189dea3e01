package sse_test

import (
	"errors"
	"io"
	"strings"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/lib/sse"
)

// readAll returns the raw bytes of all events and the error at the end.
func readAll(src io.Reader) (events []string, err error) {
	r := sse.NewReader(src)
	for {
		e, err := r.Next()
		if err != nil {
			return events, err
		}
		events = append(events, string(e.Raw))
	}
}

var _ = Describe("Reader, line ends", func() {
	DescribeTable("splits events with any line end",
		// Guards against whole streams that count as truncated.
		func(stream string, events ...string) {
			got, err := readAll(strings.NewReader(stream))
			Expect(err).To(MatchError(io.EOF))
			Expect(got).To(Equal(events))
		},
		Entry("line feeds", "id: 1\ndata: a\n\nid: 2\n\n", "id: 1\ndata: a\n\n", "id: 2\n\n"),
		Entry("both", "id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n", "id: 1\r\ndata: a\r\n\r\n", "id: 2\r\n\r\n"),
		Entry("carriage returns", "id: 1\rdata: a\r\rid: 2\r\r", "id: 1\rdata: a\r\r", "id: 2\r\r"),
		Entry("a blank line at the end", "id: 1\n\n\n", "id: 1\n\n", "\n"),
		Entry("a blank line at the beginning", "\r\nid: 1\n\n", "\r\n", "id: 1\n\n"),
	)

	It("returns no event of a stream that ends within it", func() {
		// Guards against a stream that is broken off between the two bytes of its last line
		// end, or anywhere else in an event, and counts as complete.
		for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
			event := strings.ReplaceAll("id: 1\ndata: a\n\n", "\n", lineEnd)
			for length := 1; length < len(event); length++ {
				for _, before := range []string{"", event} {
					for _, bytewise := range []bool{false, true} {
						var src io.Reader = strings.NewReader(before + event[:length])
						if bytewise {
							src = iotest.OneByteReader(src)
						}
						got, err := readAll(src)
						Expect(err).To(MatchError(sse.ErrTruncated), "%q", event[:length])
						Expect(strings.Join(got, "")).To(Equal(before))
					}
				}
			}
		}
	})

	It("passes an event with carriage returns on before the next byte arrives", func() {
		// Guards against events that are held back until the next one.
		pr, pw := io.Pipe()
		r := sse.NewReader(pr)
		go func() { _, _ = io.WriteString(pw, "id: 7\rdata: a\r\r") }()
		events := make(chan sse.Event, 1)
		go func() {
			if e, err := r.Next(); err == nil {
				events <- e
			}
		}()
		var e sse.Event
		Eventually(events).Should(Receive(&e))
		Expect(e.ID).To(Equal(int64(7)))
		Expect(e.HasData).To(BeTrue())
		Expect(pw.Close()).To(Succeed())
	})

	It("loses no byte and joins no events, regardless of line ends and reads", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			lineEnd := rapid.SampledFrom([]string{"\n", "\r\n", "\r"})
			count := rapid.IntRange(0, 6).Draw(t, "count")
			stream, ends := "", 0
			for range count {
				end := lineEnd.Draw(t, "end")
				stream += "id: 1" + end + "data: x" + end + end
				ends++
			}
			var src io.Reader = strings.NewReader(stream)
			if rapid.Bool().Draw(t, "bytewise") {
				src = iotest.OneByteReader(src)
			}
			got, err := readAll(src)
			if !errors.Is(err, io.EOF) || strings.Join(got, "") != stream {
				t.Fatalf("got %q, %v, want %q", got, err, stream)
			}
			withData := 0
			for _, e := range got {
				if strings.Count(e, "data") > 1 {
					t.Fatalf("joined events: %q", e)
				}
				withData += strings.Count(e, "data")
			}
			if withData != ends {
				t.Fatalf("got %d events, want %d", withData, ends)
			}
		})
	})
})
