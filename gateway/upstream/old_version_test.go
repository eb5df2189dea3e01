package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestOldVersionWithTransferCoding guards against bodies that hold the sizes of their chunks,
// because one byte of the version in the status line is wrong.
func TestOldVersionWithTransferCoding(t *testing.T) {
	const old = "HTTP/1.0 200 OK\r\n"
	long := "A: " + strings.Repeat("a", readBufferBytes) + "\r\n"
	for name, c := range map[string]struct {
		response, body string
		valid          bool
	}{
		"chunks":                    {response: old + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n"},
		"chunks after others":       {response: old + "Content-Length: 4\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n"},
		"no chunks":                 {response: old + "Transfer-Encoding: identity\r\n\r\nfine"},
		"chunks after a long one":   {response: old + long + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n"},
		"bare line feeds":           {response: "HTTP/1.0 200 OK\nTransfer-Encoding: chunked\n\n4\r\nfine\r\n0\r\n\r\n"},
		"an interim response":       {response: "HTTP/1.0 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n" + old + "Content-Length: 4\r\n\r\nfine"},
		"chunks after an interim":   {response: "HTTP/1.1 100 Continue\r\n\r\n" + old + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n"},
		"a cut head":                {response: old + "Transfer-Encoding: chu"},
		"a length after a long one": {response: old + long + "Content-Length: 4\r\n\r\nfine", body: "fine", valid: true},
		"a length":                  {response: old + "Content-Length: 4\r\n\r\nfine", body: "fine", valid: true},
		"no length":                 {response: old + "\r\nfine", body: "fine", valid: true},
		"HTTP/1.1":                  {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n", body: "fine", valid: true},
	} {
		t.Run(name, func(t *testing.T) {
			here, there := net.Pipe()
			_ = here.SetDeadline(time.Now().Add(10 * time.Second))
			x := newExchange(here)
			defer x.Close()
			go func() {
				defer there.Close()
				if _, err := http.ReadRequest(bufio.NewReader(there)); err == nil {
					_, _ = io.WriteString(there, c.response)
				}
			}()
			resp, err := x.Do(&Request{Method: http.MethodGet, Target: "/x", Host: "a.example", Header: make(http.Header)})
			if !c.valid {
				if err == nil {
					t.Fatal("the response is accepted")
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			// A pipe ends like a connection that is closed in order.
			if string(body) != c.body || err != nil && !errors.Is(err, io.EOF) {
				t.Errorf("body %q, error %v", body, err)
			}
		})
	}
}
