package processes_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// crowdSize is the number of connections of a crowd.
	crowdSize = 600
	// crowdTime ends the writes and reads of a crowd that the process does not answer. The
	// connections stay open.
	crowdTime = time.Second
	// legalBodyBytes is below the configured limit of a body.
	legalBodyBytes = 200 << 10
	// legalHeadBytes is below the limit of a head in all processes.
	legalHeadBytes = 60 << 10
)

// target is an HTTP listener and path that a crowd uses.
type target struct {
	address, method, path, header string
}

// head returns the beginning of a request without the empty line that ends its head.
func (t target) head(header string) string {
	return t.method + " " + t.path + " HTTP/1.1\r\nHost: a.example\r\n" + t.header + header
}

// attack sends a part of the load on one connection. i numbers the connections.
type attack func(conn net.Conn, t target, i int)

// crowd holds open connections.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// send opens the connections of a crowd and returns once each has sent its load, or could not
// be opened. Errors are expected: the process may refuse or close any of them.
func (c *crowd) send(t target, a attack) {
	var sending sync.WaitGroup
	for i := range crowdSize {
		sending.Go(func() {
			conn, err := net.DialTimeout("tcp", t.address, crowdTime)
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			// A small buffer holds little of an answer that is not read.
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
			_ = conn.SetDeadline(time.Now().Add(crowdTime))
			a(conn, t, i)
		})
	}
	sending.Wait()
}

func (c *crowd) close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = nil
}

// parkBody sends a body of legal size in one piece, small pieces or chunks; three of four
// stop just short of its end.
func parkBody(conn net.Conn, t target, i int) {
	body := strings.Repeat("x", legalBodyBytes)
	end := 10
	if i%4 == 0 {
		end = 0
	}
	if i%3 == 0 {
		_, _ = io.WriteString(conn, t.head("Transfer-Encoding: chunked\r\n\r\n"))
		for range legalBodyBytes / 1000 {
			if _, err := io.WriteString(conn, "3e8\r\n"+body[:1000]+"\r\n"); err != nil {
				return
			}
		}
		if end == 0 {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
		return
	}
	_, _ = io.WriteString(conn, t.head(fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))))
	if i%3 == 1 {
		_, _ = io.WriteString(conn, body[end:])
		return
	}
	for rest := body[end:]; len(rest) > 0; {
		n := min(len(rest), 2000)
		if _, err := io.WriteString(conn, rest[:n]); err != nil {
			return
		}
		rest = rest[n:]
	}
}

// parkShortBody sends a body that is short enough to be received without a reservation, and
// stops just short of its end.
func parkShortBody(conn net.Conn, t target, _ int) {
	_, _ = io.WriteString(conn, t.head(fmt.Sprintf("Content-Length: %d\r\n\r\n", 16000))+strings.Repeat("x", 15990))
}

// sendHugeBody announces a body far over the limit, or sends it in chunks.
func sendHugeBody(conn net.Conn, t target, i int) {
	part := strings.Repeat("x", 64<<10)
	framing, before, after := "Content-Length: 1073741824\r\n\r\n", "", ""
	if i%2 == 0 {
		framing, before, after = "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n", "\r\n"
	}
	_, _ = io.WriteString(conn, t.head(framing))
	for range 16 {
		if _, err := io.WriteString(conn, before+part+after); err != nil {
			return
		}
	}
}

// fields returns short header fields with distinct names.
func fields(bytes int) string {
	var b strings.Builder
	for i := 0; b.Len() < bytes; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

var manyFields = fields(legalHeadBytes)

// sendManyFields sends a head of legal size that consists of short fields, and a body of
// which the end is missing.
func sendManyFields(conn net.Conn, t target, _ int) {
	_, _ = io.WriteString(conn, t.head(manyFields+"Content-Length: 100\r\n\r\nx"))
}

// pipeline sends requests without reading the answers.
func pipeline(conn net.Conn, t target, _ int) {
	requests := strings.Repeat(t.head("Content-Length: 1\r\n\r\nx"), 100)
	for range 50 {
		if _, err := io.WriteString(conn, requests); err != nil {
			return
		}
	}
}

// stallHead sends nothing, half of a long head, or a byte of a head now and then.
func stallHead(conn net.Conn, t target, i int) {
	switch i % 3 {
	case 0:
	case 1:
		_, _ = io.WriteString(conn, t.head(manyFields[:legalHeadBytes/2]))
	default:
		for _, b := range []byte(t.head("")) {
			if _, err := conn.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(30 * time.Millisecond)
		}
	}
}

// ignoreAnswers sends one request and does not read its answer.
func ignoreAnswers(conn net.Conn, t target, _ int) {
	_, _ = io.WriteString(conn, t.head("Content-Length: 1\r\n\r\nx"))
	time.Sleep(crowdTime / 2)
}

// parkFrame sends a frame of the protocol between entries and agents, of legal size, that
// stops just short of its end.
func parkFrame(conn net.Conn, _ target, _ int) {
	const size = 1 << 20
	// The first four bytes are the length of the body and the fifth is the type of the message.
	_, _ = conn.Write(append([]byte{0, size >> 16, 0, 0, 1}, make([]byte, size-10)...))
}

// parkQuery sends a frame of legal size of the protocol between entries and agents of the
// platform, and stops just short of its end.
func parkQuery(conn net.Conn, _ target, _ int) {
	_, _ = conn.Write(append([]byte{0, 0, 3, 0xff}, make([]byte, 1000)...))
}

// readTables asks for all rows of a table again and again, and does not read the answers.
func readTables(conn net.Conn, _ target, _ int) {
	// The query is {"t": "op", "s": -1} in msgpack.
	query := "\x00\x00\x00\x09\x82\xa1t\xa2op\xa1s\xff"
	for range 1000 {
		if _, err := io.WriteString(conn, query); err != nil {
			return
		}
	}
}

// parkCall begins gRPC calls of legal size with many fields, and sends no end of them.
func parkCall(conn net.Conn, _ target, _ int) {
	frame := func(kind, flags byte, stream uint32, payload []byte) []byte {
		n := len(payload)
		return append([]byte{byte(n >> 16), byte(n >> 8), byte(n), kind, flags, 0, 0, byte(stream >> 8), byte(stream)}, payload...)
	}
	// Indexed fields of HPACK's static table: POST, http, and a literal path, authority and
	// content type.
	head := []byte{0x83, 0x86}
	literal := func(name, value string) {
		head = append(append(append(append(head, 0, byte(len(name))), name...), byte(len(value))), value...)
	}
	literal(":path", "/auburnbend.operator.v1.Operator/Apply")
	literal(":authority", "a.example")
	literal("content-type", "application/grpc")
	for i := range 800 {
		literal(fmt.Sprintf("f%x", i), "v")
	}
	const data, headers, settings = 0, 1, 4
	message := append([]byte{0, 0, 0x10, 0, 0}, make([]byte, 15<<10)...)
	_, _ = io.WriteString(conn, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
	_, _ = conn.Write(frame(settings, 0, 0, nil))
	for stream := uint32(1); stream < 64; stream += 2 {
		if _, err := conn.Write(append(frame(headers, 4, stream, head), frame(data, 0, stream, message[:1<<10])...)); err != nil {
			return
		}
	}
}
