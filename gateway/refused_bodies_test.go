package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// readResponses returns the responses that arrive on a connection until it ends.
func readResponses(in *bufio.Reader) []*http.Response {
	var responses []*http.Response
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return responses
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		responses = append(responses, resp)
	}
}

var _ = Describe("A request that is refused before its body has arrived", func() {
	const (
		limit = 500 * time.Millisecond
		// late is how long after the refusal the gateway has stopped reading the body.
		late = limit + bodyDiscardTime + 300*time.Millisecond
		// first is the part of a body that is sent with the head, more than is read without room.
		first = freeBodyBytes + 1<<10
		total = 64 << 10
	)
	requests := strings.Repeat("GET /x HTTP/1.1\r\nHost: example.com\r\nX-Key: unknown\r\n\r\n", 20)

	DescribeTable("is the last one on its connection",
		// Guards against a body whose rest is served as requests, so that the caller's next
		// request gets the answer of one of them.
		func(framing, end string, pause time.Duration, refuse func(*bodyBed)) {
			bed := newBodyBed()
			close(bed.release)
			config := *bed.gateway.table.Load().Config()
			config.Routes[0].Timeout = limit
			bed.gateway.SetConfig(&config)
			refuse(bed)
			conn, err := net.Dial("tcp", strings.TrimPrefix(bed.front.URL, "http://"))
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
			_, err = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: example.com\r\nX-Key: a\r\n%s%s", framing, strings.Repeat("x", first))
			Expect(err).NotTo(HaveOccurred())
			in := bufio.NewReader(conn)
			refusal, err := http.ReadResponse(in, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(refusal.StatusCode).To(Equal(http.StatusServiceUnavailable))
			time.Sleep(pause)
			// The connection may have been closed.
			_, _ = io.WriteString(conn, requests+strings.Repeat("x", total-first-len(requests))+end)
			Expect(readResponses(in)).To(BeEmpty())
			Expect(refusal.Close).To(BeTrue())
			Expect(bed.runs.Load()).To(BeZero())
		},
		refusedEntries(total, late),
	)
})

// refusedEntries returns an entry for each framing of a body with total bytes, each way to
// refuse it, and a rest that comes in time or late.
func refusedEntries(total int, late time.Duration) []TableEntry {
	framings := []struct{ name, header, end string }{
		{"in one chunk", fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", total), "\r\n0\r\n\r\n"},
		{"with a length", fmt.Sprintf("Content-Length: %d\r\n\r\n", total), ""},
	}
	refusals := []struct {
		name   string
		refuse func(*bodyBed)
	}{
		{"without memory", func(b *bodyBed) {
			room, ok := b.gateway.requestBudget.TryAcquire("", heldBodies)
			Expect(ok).To(BeTrue())
			DeferCleanup(room.Release)
		}},
		{"in a stop", func(b *bodyBed) {
			b.gateway.Drain()
			b.gateway.EndDrain()
		}},
	}
	var entries []TableEntry
	for _, f := range framings {
		for _, r := range refusals {
			entries = append(entries,
				Entry(fmt.Sprintf("%s, %s, the rest late", f.name, r.name), f.header, f.end, late, r.refuse),
				Entry(fmt.Sprintf("%s, %s, the rest in time", f.name, r.name), f.header, f.end, time.Duration(0), r.refuse),
			)
		}
	}
	return entries
}
