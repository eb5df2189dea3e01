package caller

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/connlimit"
)

// failingListener fails a number of times before it accepts a connection.
type failingListener struct {
	net.Listener
	failures int
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

var _ = Describe("The server with misbehaving callers", func() {
	request := func(body string) string { return head("a", fmt.Sprintf("Content-Length: %d", len(body))) + body }

	It("accepts connections again after it had no descriptor for one", func() {
		// Guards against an entry that exits because clients have taken all its descriptors.
		bed := newBodyBedWith(func(c *Config) { c.Listener = &failingListener{Listener: c.Listener, failures: 3} })
		close(bed.release)
		Expect(receive(bed.dial(request("x")), 5*time.Second).status).To(Equal(http.StatusOK))
	})

	It("refuses requests with too many fields, of each request on a connection", func() {
		// Guards against heads whose fields take twenty times their size in memory.
		bed := newBodyBed()
		close(bed.release)
		fields := func(n int) string {
			var b strings.Builder
			for i := range n {
				fmt.Fprintf(&b, "f%d:\r\n", i)
			}
			return b.String()
		}
		many := strings.Replace(request("x"), "\r\n\r\n", "\r\n"+fields(600)+"\r\n", 1)
		Expect(receive(bed.dial(many), 5*time.Second).status).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		Expect(bed.runs.Load()).To(BeZero())
		conn := bed.dial(strings.Replace(request("x"), "\r\n\r\n", "\r\n"+fields(400)+"\r\n", 1))
		Expect(receive(conn, 5*time.Second).status).To(Equal(http.StatusOK))
		_, err := io.WriteString(conn, many)
		Expect(err).NotTo(HaveOccurred())
		Expect(receive(conn, 5*time.Second).status).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		Expect(bed.runs.Load()).To(BeEquivalentTo(1))
	})

	It("closes connections without progress for new ones, and none whose request has been received", func() {
		// Guards against connections that shut out all other callers, and against an answer
		// that is lost although the request has run.
		bed := newBodyBedWith(func(c *Config) { c.Listener = connlimit.Listen(c.Listener, 4) })
		waiting := bed.dial(request("x"))
		Eventually(bed.runs.Load).Should(BeEquivalentTo(1))
		for range 3 {
			for _, text := range []string{"", "POST / HT", head("a", "Content-Length: 9") + "x"} {
				bed.dial(text)
			}
		}
		second := bed.dial(request("x"))
		Eventually(bed.runs.Load).WithTimeout(5 * time.Second).Should(BeEquivalentTo(2))
		close(bed.release)
		Expect(receive(waiting, 5*time.Second).status).To(Equal(http.StatusOK))
		Expect(receive(second, 5*time.Second).status).To(Equal(http.StatusOK))
	})
})
