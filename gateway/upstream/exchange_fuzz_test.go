package upstream

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/auburnbend/auburnbend/lib/memory"
)

const fuzzBodyLimit = 64 << 10

// FuzzResponse reads arbitrary bytes as the response of a backend server. Reading must end
// with the bytes, and a body that is accepted must have the length that the head declares.
func FuzzResponse(f *testing.F) {
	head := "HTTP/1.1 200 OK\r\n"
	for _, seed := range []string{
		"", "garbage", head, head + "\r\n", head + "Content-Length: 4\r\n\r\nfine", head + "Content-Length: 4\r\n\r\nfin", head + "Content-Length: 4\r\n\r\nfineHTTP/1.1 200 OK\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n", head + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nx", head + "Transfer-Encoding: chunked\r\n\r\n4;" + "x=y\r\nfine\r\n0\r\nA: b\r\n",
		head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nfine", head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", head + "Content-Length: -1\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 0\r\n\r\n", "HTTP/1.1 204 No\r\n\r\nbody", "HTTP/9.9 200 OK\r\n\r\n", "HTTP/1.1 999999 OK\r\n\r\n",
	} {
		f.Add([]byte(seed), true)
	}
	f.Fuzz(func(t *testing.T, data []byte, get bool) {
		here, there := net.Pipe()
		_ = here.SetDeadline(time.Now().Add(10 * time.Second))
		x := newExchange(here)
		defer x.Close()
		go func() {
			defer there.Close()
			if _, err := http.ReadRequest(bufio.NewReader(there)); err == nil {
				_, _ = there.Write(data)
			}
		}()
		method := http.MethodPost
		if get {
			method = http.MethodGet
		}
		resp, err := x.Do(&Request{Method: method, Target: "/x", Host: "a.example", Header: make(http.Header)})
		if err != nil {
			return
		}
		budget := memory.NewBudget(2*fuzzBodyLimit, 2*fuzzBodyLimit)
		body, reservation, err := ReadBody(t.Context(), budget, "s", resp, fuzzBodyLimit)
		if err != nil {
			if budget.Held() != 0 {
				t.Fatalf("%d bytes stay reserved", budget.Held())
			}
			return
		}
		if resp.ContentLength >= 0 && int64(len(body)) != resp.ContentLength || len(body) > len(data) || !bytes.Contains(data, body) && resp.ContentLength >= 0 {
			t.Fatalf("body of %d bytes, declared %d", len(body), resp.ContentLength)
		}
		if reservation.Release(); budget.Held() != 0 {
			t.Fatalf("%d bytes stay reserved", budget.Held())
		}
	})
}
