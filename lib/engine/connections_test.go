package engine_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/engine"
)

// repeatingServer is a backend server that keeps its connections. Before each response
// on a connection it sends the one before once more, as a faulty server may. It is safe
// for concurrent use.
type repeatingServer struct {
	URL     string
	respond func(r *http.Request) string

	mu sync.Mutex
	// connections are the request targets that arrived on each connection.
	connections [][]string
}

func newRepeatingServer(respond func(r *http.Request) string) *repeatingServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(ln.Close)
	s := &repeatingServer{URL: "http://" + ln.Addr().String(), respond: respond}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			n := len(s.connections)
			s.connections = append(s.connections, nil)
			s.mu.Unlock()
			go s.serve(n, conn)
		}
	}()
	return s
}

func (s *repeatingServer) serve(n int, conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	earlier := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		s.mu.Lock()
		s.connections[n] = append(s.connections[n], r.Method+" "+r.RequestURI)
		s.mu.Unlock()
		response := s.respond(r)
		fmt.Fprint(conn, earlier, response)
		earlier = response
	}
}

// shared returns the connections that carried more than one request.
func (s *repeatingServer) shared() [][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var shared [][]string
	for _, requests := range s.connections {
		if len(requests) > 1 {
			shared = append(shared, requests)
		}
	}
	return shared
}

func textResponse(status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

var _ = Describe("A server that sends a refusal once more on a kept connection", func() {
	ctx := context.Background()

	It("does not make a call of a plain service that ran seem not started", func() {
		// Guards against a call that is sent to a second server after it has run.
		server := newRepeatingServer(func(r *http.Request) string {
			if r.Method == http.MethodGet {
				return textResponse(503, "Retry-After: 1\r\n", "{}")
			}
			return textResponse(200, "", `"done"`)
		})
		client, err := engine.NewPlainClient(engine.Config{Address: server.URL})
		Expect(err).NotTo(HaveOccurred())
		for range 5 {
			_, err := client.Load(ctx)
			Expect(err).To(HaveOccurred())
			response, err := client.Call(ctx, engine.PlainRequest{ID: "r1", Service: "orders", Body: []byte("{}")})
			Expect(err).NotTo(HaveOccurred())
			Expect(string(response.Body)).To(Equal(`"done"`))
		}
		Expect(server.shared()).To(BeEmpty())
	})

	It("does not make a state lag one read behind", func() {
		// Guards against an order that is judged by the state before it.
		n := 0
		server := newRepeatingServer(func(*http.Request) string {
			n++
			return textResponse(200, "", fmt.Sprintf(`{"running":%d}`, n))
		})
		client, err := engine.NewClient(engine.Config{Address: server.URL})
		Expect(err).NotTo(HaveOccurred())
		for i := range 5 {
			load, err := client.Load(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(load.Running).To(Equal(i + 1))
		}
	})

	It("does not make a request or an order that an engine runs seem not started", func() {
		server := newRepeatingServer(func(r *http.Request) string {
			if r.Method == http.MethodGet {
				return textResponse(503, "Retry-After: 1\r\n", `{"reason":"busy"}`)
			}
			return textResponse(500, "", `{"reason":"failed after the start"}`)
		})
		client, err := engine.NewClient(engine.Config{Address: server.URL})
		Expect(err).NotTo(HaveOccurred())
		for range 5 {
			_, err := client.State(ctx)
			Expect(err).To(HaveOccurred())
			_, err = client.Generate(ctx, engine.Request{ID: "r1"})
			Expect(err).To(HaveOccurred())
			Expect(engine.NotStarted(err)).To(BeFalse())
			_, err = client.Load(ctx)
			Expect(err).To(HaveOccurred())
			_, err = client.Order(ctx, engine.Order{})
			Expect(err).To(HaveOccurred())
			Expect(engine.NotStarted(err)).To(BeFalse())
		}
		Expect(server.shared()).To(BeEmpty())
	})

	It("does not make a request seem not started, or its response that of a read, after successful reads", func() {
		// Guards against a connection that a read has left for reuse.
		server := newRepeatingServer(func(r *http.Request) string {
			if r.Method == http.MethodGet {
				return textResponse(200, "", "{}")
			}
			return textResponse(500, "", `"failed"`)
		})
		client, err := engine.NewPlainClient(engine.Config{Address: server.URL})
		Expect(err).NotTo(HaveOccurred())
		for range 5 {
			_, err := client.Load(ctx)
			Expect(err).NotTo(HaveOccurred())
			response, err := client.Call(ctx, engine.PlainRequest{ID: "r1", Service: "orders", Body: []byte("{}")})
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Status).To(Equal(500))
		}
		Expect(server.shared()).To(BeEmpty())
	})
})
