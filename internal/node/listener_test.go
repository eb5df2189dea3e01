package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("callerListener", func() {
	It("accepts the connections that are pending when it closes", func() {
		// Guards against requests that are sent just before a planned stop and reset
		// without a response.
		ln, err := listenCallers("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		var conns []net.Conn
		for range 20 {
			conn, err := net.Dial("tcp", ln.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			conns = append(conns, conn)
		}
		Expect(ln.Close()).To(Succeed())
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "fine") })}
		defer server.Close()
		Expect(server.Serve(ln)).To(MatchError(net.ErrClosed))
		for _, conn := range conns {
			Expect(conn.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
			head := make([]byte, len("HTTP/1.1 200"))
			_, err := io.ReadFull(conn, head)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(head)).To(Equal("HTTP/1.1 200"))
		}
		_, err = net.DialTimeout("tcp", ln.Addr().String(), time.Second)
		Expect(err).To(HaveOccurred())
	})
})
