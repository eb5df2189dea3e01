package caller

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Long bodies of callers", func() {
	const room = heldBodies * 7 / 8 / maxBodyBytes
	served := func(length int) answer { return answer{200, "completed", "", "", fmt.Sprint(length)} }

	for _, chunks := range []bool{false, true} {
		It(fmt.Sprintf("take no more memory than the budget, and none that has run is lost, chunks %t", chunks), func() {
			// Guards against a burst of long bodies that ends the process.
			const callers = 100
			bed := newBodyBed()
			before := liveBytes()
			answers := make(map[answer]int)
			var mu sync.Mutex
			var running sync.WaitGroup
			var pressing atomic.Bool
			pressing.Store(true)
			for range callers {
				running.Go(func() {
					for {
						var body io.Reader = bytes.NewReader(longBody)
						if chunks {
							body = onlyReader{body}
						}
						a := bed.post("a", body)
						mu.Lock()
						answers[a]++
						mu.Unlock()
						if a.status == http.StatusOK || !pressing.Load() {
							return
						}
						time.Sleep(50 * time.Millisecond)
					}
				})
			}
			// What the budget leaves to other tenants is less than a body.
			Eventually(bed.runs.Load, time.Minute).Should(BeEquivalentTo(room))
			Consistently(bed.runs.Load, 300*time.Millisecond).Should(BeEquivalentTo(room))
			pressing.Store(false)
			Eventually(bed.server.running.Load, time.Minute).Should(BeEquivalentTo(room))
			Expect(liveBytes()-before).To(BeNumerically("<=", heldBodies+callers*heldPerCall), "bytes held")
			close(bed.release)
			running.Wait()
			Expect(answers[served(maxBodyBytes)]).To(BeEquivalentTo(bed.runs.Load()))
			for a := range answers {
				Expect(a).To(BeElementOf(served(maxBodyBytes), answer{}, answer{503, "not_run", "memory_exhausted", "1", "application/json; charset=utf-8"},
					answer{408, "not_run", "body_not_received", "", "application/json; charset=utf-8"}), "%v", answers)
			}
			Expect(bed.changed.Load()).To(BeFalse())
			Expect(bed.server.bodies.Held()).To(BeZero())
		})
	}

	It("leave room for other tenants and for short bodies", func() {
		// Guards against a tenant whose long bodies shut out short ones and those of others.
		bed := newBodyBed()
		for range 10 {
			go bed.post("a", bytes.NewReader(longBody))
		}
		Eventually(bed.runs.Load, 10*time.Second).Should(BeEquivalentTo(room))
		Eventually(bed.server.bodies.Refused, 5*time.Second).Should(BeNumerically(">", 0))
		answered := make(chan answer, 2)
		go func() { answered <- bed.post("a", strings.NewReader("x")) }()
		go func() { answered <- bed.post("b", bytes.NewReader(longBody)) }()
		Eventually(bed.runs.Load, 10*time.Second).Should(BeEquivalentTo(room + 2))
		close(bed.release)
		for range 2 {
			Eventually(answered, 5*time.Second).Should(Receive(Or(Equal(served(1)), Equal(served(maxBodyBytes)))))
		}
	})

	It("may have exactly the largest size, with and without a length", func() {
		// Guards against a limit that is off by one, and against bytes that are lost or added
		// where a body is read in parts.
		bed := newBodyBed()
		close(bed.release)
		const free = freeBodyBytes
		for _, size := range []int{0, 1, 8191, 8192, 8193, free - 1, free, free + 1, 2 * free, maxBodyBytes/2 + 1, maxBodyBytes - 1, maxBodyBytes, maxBodyBytes + 1} {
			for _, chunks := range []bool{false, true} {
				var body io.Reader = bytes.NewReader(bytes.Repeat([]byte("x"), size))
				if chunks {
					body = onlyReader{body}
				}
				a := bed.post("a", body)
				if size > maxBodyBytes {
					Expect(a).To(Equal(answer{413, "not_run", "body_too_large", "", "application/json; charset=utf-8"}))
				} else {
					Expect(a).To(Equal(served(size)), "%d bytes, chunks %t", size, chunks)
				}
			}
		}
		Expect(bed.changed.Load()).To(BeFalse())
		Expect(bed.server.bodies.Held()).To(BeZero())
	})

	It("take no room if they are announced and not sent", func() {
		// Guards against callers that shut out others with heads only.
		bed := newBodyBed()
		close(bed.release)
		const count = 1000
		before := liveBytes()
		bed.begin(count, "a", strings.Repeat("x", 9<<10))
		Eventually(bed.server.running.Load, 20*time.Second).Should(BeEquivalentTo(count))
		held := liveBytes() - before
		GinkgoWriter.Printf("%d bytes for each connection, both ends\n", held/count)
		Expect(held).To(BeNumerically("<=", count*heldPerCall))
		Expect(bed.post("a", bytes.NewReader(longBody))).To(Equal(served(maxBodyBytes)))
		Expect(bed.server.bodies.Held()).To(BeZero())
		runtime.KeepAlive(bed)
	})

	It("take the room of one at a time on one connection, and no memory while they wait", func() {
		// Guards against requests that a caller sends ahead and that are all held at once.
		bed := newBodyBed()
		const count = 20
		conn := bed.dial("")
		before := liveBytes()
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			for range count {
				if _, err := io.WriteString(conn, head("a", fmt.Sprintf("Content-Length: %d", maxBodyBytes))); err != nil {
					return
				}
				if _, err := conn.Write(longBody); err != nil {
					return
				}
			}
		}()
		Eventually(bed.runs.Load, 10*time.Second).Should(BeEquivalentTo(1))
		Consistently(sent, time.Second).ShouldNot(BeClosed())
		Expect(liveBytes()-before).To(BeNumerically("<=", maxBodyBytes+2*heldPerCall), "bytes held")
		close(bed.release)
		reader := bufio.NewReader(conn)
		for range count {
			resp, err := http.ReadResponse(reader, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(readAnswer(resp)).To(Equal(served(maxBodyBytes)))
			Expect(bed.server.bodies.Held()).To(BeNumerically("<=", maxBodyBytes))
		}
		Expect(bed.runs.Load()).To(BeEquivalentTo(count))
	})

	It("are refused if they come a few bytes at a time while others wait", func() {
		// Guards against callers that hold all room for as long as a request may take.
		bed := newBodyBed()
		close(bed.release)
		conns := bed.begin(room, "a", strings.Repeat("x", 17<<10))
		Eventually(bed.server.bodies.Held, 5*time.Second).Should(BeEquivalentTo(room * maxBodyBytes))
		stop := make(chan struct{})
		var trickling sync.WaitGroup
		for _, conn := range conns {
			trickling.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(100 * time.Millisecond):
						if _, err := conn.Write([]byte("x")); err != nil {
							return
						}
					}
				}
			})
		}
		Eventually(func() answer { return bed.post("a", bytes.NewReader(longBody)) }, 8*time.Second, 50*time.Millisecond).Should(Equal(served(maxBodyBytes)))
		close(stop)
		trickling.Wait()
		refused := 0
		for _, conn := range conns {
			if a := receive(conn, 2*time.Second); a.status == http.StatusRequestTimeout {
				Expect(a.outcome).To(Equal("not_run"))
				refused++
			}
		}
		Expect(refused).To(BeNumerically(">", 0))
	})

	It("end with the caller's time limit if they come a byte at a time", func() {
		// Guards against a body that is awaited without a limit.
		bed := newBodyBed()
		conn := bed.dial(head("a", HeaderDeadlineMillis+": 500\r\nContent-Length: 20000") + strings.Repeat("x", 9000))
		a := receive(conn, 5*time.Second)
		Expect(a).To(Equal(answer{408, "not_run", "body_not_received", "", "application/json; charset=utf-8"}))
	})

	DescribeTable("take bounded memory if what surrounds them has no end",
		// Guards against white space and trailers that the HTTP library keeps without a limit.
		func(begin, repeated string) {
			bed := newBodyBed()
			close(bed.release)
			before := liveBytes()
			conn := bed.dial(head("a", "Transfer-Encoding: chunked") + begin)
			var sent int
			for part := []byte(strings.Repeat(repeated, 64<<10/len(repeated))); sent < 64<<20; sent += len(part) {
				if conn.SetWriteDeadline(time.Now().Add(2*time.Second)) != nil {
					break
				}
				if _, err := conn.Write(part); err != nil {
					break
				}
			}
			Expect(sent).To(BeNumerically("<", 16<<20), "bytes taken")
			Expect(liveBytes()-before).To(BeNumerically("<=", 2<<20), "bytes held")
			Eventually(bed.server.running.Load, 5*time.Second).Should(BeZero())
			runtime.KeepAlive(bed)
		},
		Entry("white space after the size of a chunk", "1\r\nx\r\n1", " "),
		Entry("trailers", "1\r\nx\r\n0\r\n", "X-Trailer: value\r\n"),
		Entry("one trailer", "1\r\nx\r\n0\r\nX-Trailer: ", "v"),
	)

	It("reach the handler unchanged if they are forms", func() {
		// Guards against the HTTP library, which reads forms by itself, before there is room,
		// and writes parts of them to files.
		bed := newBodyBed()
		close(bed.release)
		var form bytes.Buffer
		w := multipart.NewWriter(&form)
		part, err := w.CreateFormFile("file", "name")
		Expect(err).NotTo(HaveOccurred())
		_, err = part.Write(longBody[:1<<20])
		Expect(err).NotTo(HaveOccurred())
		Expect(w.Close()).To(Succeed())
		length := form.Len()
		Expect(bed.post("a", &form, "Content-Type", w.FormDataContentType())).To(Equal(served(length)))
	})

	It("lose their request when the caller disconnects", func() {
		// Guards against runs for callers that have gone: the HTTP library detects that only
		// for requests without a body.
		bed := newBodyBed()
		conn := bed.begin(1, "a", string(longBody))[0]
		Eventually(bed.open.Load, 5*time.Second).Should(BeEquivalentTo(1))
		Expect(conn.Close()).To(Succeed())
		Eventually(bed.open.Load, 500*time.Millisecond).Should(BeZero())
		Eventually(bed.server.bodies.Held).Should(BeZero())
	})

	It("are refused at the end of a drain if they have not arrived", func() {
		// Guards against a drain that waits for a body which never comes.
		bed := newBodyBed()
		conn := bed.begin(1, "a", strings.Repeat("x", 17<<10))[0]
		Eventually(bed.server.running.Load, 5*time.Second).Should(BeEquivalentTo(1))
		bed.server.drain.end(ErrDrainEnded)
		Expect(receive(conn, 2*time.Second)).To(Equal(answer{503, "not_run", "draining", "1", "application/json; charset=utf-8"}))
	})
})
