package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("callerListener", func() {
	It("accepts the connections that are pending when it closes", func() {
		// Guards against requests that are sent just before a planned stop and reset
		// without a response.
		ln, err := listenCallers("127.0.0.1:0", 100, 1<<20)
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

	It("closes in bounded time while callers open connections all the time", func() {
		// Guards against an entry that accepts connections until its process must end, and
		// then cuts off their requests.
		ln, err := listenCallers("127.0.0.1:0", 100, 1<<20)
		Expect(err).NotTo(HaveOccurred())
		var callers sync.WaitGroup
		for range 20 {
			callers.Go(func() {
				for {
					conn, err := net.DialTimeout("tcp", ln.Addr().String(), time.Second)
					if err != nil {
						return
					}
					_ = conn.Close()
				}
			})
		}
		server := &http.Server{}
		defer server.Close()
		served := make(chan error, 1)
		go func() { served <- server.Serve(ln) }()
		time.Sleep(20 * time.Millisecond)
		Expect(ln.Close()).To(Succeed())
		Eventually(served, 2*time.Second).Should(Receive(MatchError(net.ErrClosed)))
		callers.Wait()
	})
})
