package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// rawRequest returns the head of a request to /order/ with a body of the given length.
func rawRequest(id string, bodyBytes int) string {
	return fmt.Sprintf("POST /order/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 3000\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n", testHost, id, testAPIKey, bodyBytes)
}

var _ = Describe("An entry that stops under load", func() {
	// connect opens a connection to the first entry.
	connect := func(s *deployment) (net.Conn, *bufio.Reader, error) {
		conn, err := net.DialTimeout("tcp", s.address(4, 0, callerPort), time.Second)
		if err != nil {
			return nil, nil, err
		}
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		return conn, bufio.NewReader(conn), nil
	}
	// readStatus returns the status of a whole response, or an error.
	readStatus := func(r *bufio.Reader) (int, bool, error) {
		resp, err := http.ReadResponse(r, &http.Request{Method: http.MethodPost})
		if err != nil {
			return 0, false, err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode, resp.Close, err
	}
	ran := func(s *deployment, id string) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, r := range s.runs {
			if r.AttemptID == id {
				return true
			}
		}
		return false
	}

	It("answers the requests of new and kept connections, with bodies that arrive in parts", func() {
		// Guards against requests that were accepted in the last moment and are cut off.
		s := newDeployment(89, 2, 0, 4)
		const callers = 24
		start := time.Now()
		stopAt := start.Add(500 * time.Millisecond)
		end := stopAt.Add(balancerReactionTime + time.Second)
		var mu sync.Mutex
		answered, reset, lost := 0, 0, []string{}
		record := func(id string, status int, err error) {
			mu.Lock()
			defer mu.Unlock()
			if errors.Is(err, syscall.ECONNRESET) && time.Since(stopAt) >= balancerReactionTime && !ran(s, id) {
				// The connection was opened while the listener closed, and never accepted.
				reset++
				return
			}
			// A full server may refuse a request.
			if err != nil || status != http.StatusOK && status != http.StatusServiceUnavailable {
				lost = append(lost, fmt.Sprint(id, " after ", time.Since(stopAt), " status ", status, " ", err))
				return
			}
			answered++
		}
		var group sync.WaitGroup
		for i := range callers {
			group.Go(func() {
				defer GinkgoRecover()
				keep, parts := i%2 == 0, i%3 == 0
				var conn net.Conn
				var reader *bufio.Reader
				for n := 0; time.Now().Before(end); n++ {
					id := fmt.Sprintf("stop-%d-%d", i, n)
					if conn == nil {
						var err error
						if conn, reader, err = connect(s); err != nil {
							// The entry accepts no more connections.
							Expect(time.Since(stopAt)).To(BeNumerically(">=", balancerReactionTime), "%v", err)
							return
						}
					}
					body := "content of " + id
					fmt.Fprint(conn, rawRequest(id, len(body)))
					if parts {
						fmt.Fprint(conn, body[:5])
						time.Sleep(50 * time.Millisecond)
						fmt.Fprint(conn, body[5:])
					} else {
						fmt.Fprint(conn, body)
					}
					status, closes, err := readStatus(reader)
					record(id, status, err)
					if closes || !keep || err != nil {
						_ = conn.Close()
						conn = nil
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		time.Sleep(time.Until(stopAt))
		s.entries[0].stop()
		group.Wait()
		AddReportEntry("answered, reset while the listener closed", []int{answered, reset})
		Expect(reset).To(BeNumerically("<=", callers))
		Expect(lost).To(BeEmpty())
		Expect(answered).To(BeNumerically(">", callers))
		Eventually(s.entries[0].done, 8*time.Second).Should(BeClosed())
	})

	It("answers pipelined requests or does not run them", func() {
		// Guards against a request that runs though its connection has ended, and against a
		// response that is lost because its connection is closed with unread requests.
		s := newDeployment(90, 2, 0, 4)
		const callers = 20
		begin := make(chan struct{})
		var mu sync.Mutex
		answered, closed := 0, 0
		var group sync.WaitGroup
		for i := range callers {
			group.Go(func() {
				defer GinkgoRecover()
				conn, reader, err := connect(s)
				Expect(err).NotTo(HaveOccurred())
				defer conn.Close()
				<-begin
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				ids := []string{fmt.Sprint("piped-", i, "-a"), fmt.Sprint("piped-", i, "-b"), fmt.Sprint("piped-", i, "-c")}
				for _, id := range ids {
					fmt.Fprint(conn, rawRequest(id, 4)+"body")
				}
				for n, id := range ids {
					status, _, err := readStatus(reader)
					if err == nil {
						Expect(status).To(Equal(http.StatusOK), id)
						mu.Lock()
						answered++
						mu.Unlock()
						continue
					}
					Expect(n).To(BeNumerically(">", 0), "the first request got no answer: %v", err)
					time.Sleep(200 * time.Millisecond)
					for _, unanswered := range ids[n:] {
						Expect(ran(s, unanswered)).To(BeFalse(), unanswered)
					}
					mu.Lock()
					closed++
					mu.Unlock()
					return
				}
			})
		}
		close(begin)
		time.Sleep(100 * time.Millisecond)
		s.entries[0].stop()
		group.Wait()
		AddReportEntry("answered", answered)
		AddReportEntry("connections closed before the last answer", closed)
		Eventually(s.entries[0].done, 8*time.Second).Should(BeClosed())
	})
})

var _ = Describe("An entry that stops while a request is in progress", func() {
	It("takes no more requests on connections that were idle when its listener closed", func() {
		// Guards against requests that are taken long after the stop signal and cut off at the
		// end of the grace time.
		s := newDeployment(91, 2, 0, 2)
		dial := func() net.Conn {
			conn, err := net.Dial("tcp", s.address(4, 0, callerPort))
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
			return conn
		}
		idle, busy := dial(), dial()
		fmt.Fprint(idle, rawRequest("idle-1", 4)+"body")
		idleReader := bufio.NewReader(idle)
		resp, err := http.ReadResponse(idleReader, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, resp.Body)
		Expect(err).NotTo(HaveOccurred())
		s.entries[0].stop()
		time.Sleep(balancerReactionTime - 200*time.Millisecond)
		fmt.Fprint(busy, rawRequest("busy-1", 4)+"bo")
		time.Sleep(300 * time.Millisecond)
		// The listener has closed, and the busy connection still delays the end.
		_, err = idleReader.ReadByte()
		Expect(err).To(MatchError(io.EOF))
		fmt.Fprint(busy, "dy")
		resp, err = http.ReadResponse(bufio.NewReader(busy), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(resp.Close).To(BeTrue())
		Expect(resp.Body.Close()).To(Succeed())
	})
})
