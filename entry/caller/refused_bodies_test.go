package caller

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A caller that reads its answer after it has sent a long body", func() {
	for _, chunks := range []bool{false, true} {
		DescribeTable(fmt.Sprintf("gets the refusal, chunks %t", chunks),
			// Guards against a connection that is reset under a caller that still sends: it never
			// learns that its request has not run.
			func(service, tenant string, status int, prepare func(*bodyBed)) {
				bed := newBodyBed()
				close(bed.release)
				prepare(bed)
				framing := fmt.Sprintf("Content-Length: %d", maxBodyBytes)
				if chunks {
					framing = "Transfer-Encoding: chunked"
				}
				conn, err := net.Dial("tcp", bed.address)
				Expect(err).NotTo(HaveOccurred())
				defer conn.Close()
				_, err = io.WriteString(conn, strings.Replace(head(tenant, framing), "/draft", "/"+service, 1))
				Expect(err).NotTo(HaveOccurred())
				const parts = 16
				part := longBody[:maxBodyBytes/parts]
				for range parts {
					if chunks {
						_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part)
					} else {
						_, err = conn.Write(part)
					}
					Expect(err).NotTo(HaveOccurred())
					time.Sleep(1500 * time.Millisecond / parts)
				}
				if chunks {
					_, err = io.WriteString(conn, "0\r\n\r\n")
					Expect(err).NotTo(HaveOccurred())
				}
				a := receive(conn, 3*time.Second)
				Expect(a.status).To(Equal(status))
				Expect(a.outcome).To(Equal("not_run"))
				Eventually(bed.server.running.Load).Should(BeZero())
			},
			Entry("for an unknown service", "nothing", "a", http.StatusNotFound, func(*bodyBed) {}),
			Entry("for an unknown tenant", "draft", "nobody", http.StatusForbidden, func(*bodyBed) {}),
			Entry("for the limit of the service", "small", "a", http.StatusRequestEntityTooLarge, func(*bodyBed) {}),
			Entry("for lack of memory", "draft", "a", http.StatusServiceUnavailable, func(b *bodyBed) {
				for b.server.bodies.Held() < heldBodies*7/8 {
					if _, ok := b.server.bodies.TryAcquire("a", 1<<20); !ok {
						return
					}
				}
			}),
			Entry("in a drain", "draft", "a", http.StatusServiceUnavailable, func(b *bodyBed) {
				b.server.closeConnections.Store(true)
				b.server.drain.closing.Store(true)
			}),
		)
	}
})
