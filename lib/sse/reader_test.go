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

var _ = Describe("Reader", func() {
	It("returns the same events regardless of how the stream is split into reads", func() {
		// Guards against events being split or joined.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			events := rapid.SliceOfN(rapid.StringMatching(`(id: [0-9]{1,3}\r?\n)?(data: [a-z]{0,40}\r?\n){1,3}\r?\n`), 0, 8).Draw(t, "events")
			var src io.Reader = strings.NewReader(strings.Join(events, ""))
			switch rapid.IntRange(0, 2).Draw(t, "reads") {
			case 1:
				src = iotest.OneByteReader(src)
			case 2:
				src = iotest.DataErrReader(src)
			}
			r := sse.NewReader(src)
			for _, want := range events {
				got, err := r.Next()
				if err != nil || string(got.Raw) != want {
					t.Fatalf("got %q, %v, want %q", got.Raw, err, want)
				}
			}
			if _, err := r.Next(); !errors.Is(err, io.EOF) {
				t.Fatalf("got %v at the end, want io.EOF", err)
			}
		})
	})

	It("reports a stream that ends within an event", func() {
		// Guards against a truncated response that appears complete.
		r := sse.NewReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata:"))
		first, err := r.Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(first.HasID).To(BeTrue())
		Expect(first.ID).To(Equal(int64(1)))
		_, err = r.Next()
		Expect(err).To(MatchError(sse.ErrTruncated))
	})

	It("returns the error of a broken connection", func() {
		broken := errors.New("reset")
		r := sse.NewReader(io.MultiReader(strings.NewReader("data: a\n"), iotest.ErrReader(broken)))
		_, err := r.Next()
		Expect(err).To(MatchError(broken))
	})

	It("rejects an event over the size limit", func() {
		r := sse.NewReader(strings.NewReader(strings.Repeat("x", 3<<20)))
		_, err := r.Next()
		Expect(err).To(MatchError(sse.ErrTooLong))
	})
})
