package httpbacking_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/backing/httpbacking"
)

var _ = Describe("A table service that sends responses once more on a kept connection", func() {
	ctx := context.Background()

	// newTable returns a client of a service that accepts each second commit and reports
	// a conflict for the others, and whose row carries the number of the read. Before each
	// response it sends the one before on the same connection.
	newTable := func() *httpbacking.Table {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		responses := make(chan string)
		done := make(chan struct{})
		DeferCleanup(func() { close(done) })
		go func() {
			for i := 0; ; i++ {
				body := `{}`
				status := 200
				if i%2 == 1 {
					status, body = 409, `{"index":0}`
				}
				select {
				case responses <- fmt.Sprintf("HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body):
				case <-done:
					return
				}
			}
		}()
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					defer conn.Close()
					reader := bufio.NewReader(conn)
					earlier := ""
					for {
						r, err := http.ReadRequest(reader)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, r.Body)
						response := <-responses
						if r.Method == http.MethodGet {
							response = "HTTP/1.1 404 Status\r\nContent-Length: 0\r\n\r\n"
						}
						fmt.Fprint(conn, earlier, response)
						earlier = response
					}
				}()
			}
		}()
		return httpbacking.NewTable(httpbacking.Config{URL: "http://" + ln.Addr().String(), Timeout: time.Second})
	}
	tx := backing.Transaction{Writes: []backing.Write{{Table: "claims", Key: "k", Condition: backing.IfAbsent, Value: []byte("x")}}}

	It("does not make a refused commit seem accepted, or an accepted one refused", func() {
		// Guards against two entries that both hold the claim of a request, so that it runs
		// twice.
		table := newTable()
		for i := range 6 {
			err := table.Commit(ctx, tx)
			if i%2 == 0 {
				Expect(err).NotTo(HaveOccurred(), "commit %d", i)
				continue
			}
			var conflict *backing.ConflictError
			Expect(errors.As(err, &conflict)).To(BeTrue(), "commit %d: %v", i, err)
		}
	})

	It("does not make a commit seem not applied after a read", func() {
		table := newTable()
		for range 3 {
			_, err := table.Get(ctx, "claims", "k")
			Expect(err).To(MatchError(backing.ErrNotFound))
			err = table.Commit(ctx, tx)
			Expect(errors.Is(err, backing.ErrNotApplied)).To(BeFalse())
		}
	})
})

// newRepeatingServer starts a server that sends each response once more on its connection,
// before the next one. It returns its URL.
func newRepeatingServer(respond func(number int, r *http.Request) (status int, body string)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(ln.Close)
	var requests atomic.Int64
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				earlier := ""
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					status, body := respond(int(requests.Add(1)), r)
					response := fmt.Sprintf("HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
					fmt.Fprint(conn, earlier, response)
					earlier = response
				}
			}()
		}
	}()
	return "http://" + ln.Addr().String()
}

var _ = Describe("A service that sends responses once more on a kept connection", func() {
	ctx := context.Background()

	It("does not make the instance list one read old", func() {
		// Guards against an instance that has left and is used again.
		instances := httpbacking.NewInstances(httpbacking.Config{URL: newRepeatingServer(func(number int, _ *http.Request) (int, string) {
			return 200, fmt.Sprintf(`[{"id":"i-%d","role":"agent","location":{"region":"r","failure_domain":"d"},"address":"10.0.0.1:80"}]`, number)
		})})
		for number := 1; number <= 4; number++ {
			list, err := instances.List(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(list).To(HaveLen(1))
			Expect(string(list[0].ID)).To(Equal(fmt.Sprintf("i-%d", number)))
		}
	})

	It("does not make an object another one, or a refused object stored", func() {
		objects := httpbacking.NewObjects(httpbacking.Config{URL: newRepeatingServer(func(number int, r *http.Request) (int, string) {
			if r.Method == http.MethodPut && number%2 == 0 {
				return 409, ""
			}
			return 200, r.URL.Path
		})})
		for number := 1; number <= 6; number += 3 {
			Expect(objects.PutIfAbsent(ctx, "a", []byte("x"))).To(Or(Succeed(), MatchError(backing.ErrExists)))
			data, err := objects.Get(ctx, "b")
			Expect(err).NotTo(HaveOccurred())
			Expect(string(data)).To(HaveSuffix("/b"))
			data, err = objects.Get(ctx, "c")
			Expect(err).NotTo(HaveOccurred())
			Expect(string(data)).To(HaveSuffix("/c"))
		}
	})
})
