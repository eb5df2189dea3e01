package headlimit

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("scanner", func() {
	It("counts the lines of each head wherever its parts end", func() {
		// Guards against many fields that are not counted, and against lines of a body that are.
		head, body := "POST / HTTP/1.1\r\nHost: a\r\nA:\r\n\r\n", strings.Repeat("\r\n\n", 100)
		for size := range len(head) {
			s := &scanner{}
			for range 3 {
				s.begin()
				for data := head + body; data != ""; {
					n := min(len(data), size+1)
					s.scan([]byte(data[:n]))
					data = data[n:]
				}
				Expect(s.inHead).To(BeFalse())
				Expect([]int{s.lines, s.bytes}).To(Equal([]int{3, len(head)}), "parts of %d", size+1)
			}
		}
	})
})
