package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// usualUploads is the number of uploads that the gateway has at a time, burstUploads what
	// the largest burst of the site file (1.7 times) makes of it.
	usualUploads = 13
	burstUploads = 22
	// uploadBytes is what the configuration allows a body to have.
	uploadBytes = maxBodyBytes
	// uploadWork is how long a runner works on an upload.
	uploadWork = 2500 * time.Millisecond
	// recordBytes is the size of the records of the slow requester's body, recordCount their
	// number, and recordInterval the time that its uplink takes for one: 64 KiB in 4.5 s.
	recordBytes    = 1 << 10
	recordCount    = 64
	recordInterval = 70 * time.Millisecond
)

// playBody sends uploads, as many as usual or 1.7 times as many, and beside them the request
// of a requester with a slow uplink. Its body is a log of requests, such as a support desk
// gets; it is sent whole, and then the next request on the same channel.
func playBody(b *bed, trouble bool) (held bool, err error) {
	b.putConfig(1, []map[string]any{
		{"name": "scans", "hostname": hostName, "prefix": "/scans/", wire.Kind: "idempotent", "service": "scans", "timeout_ms": 6000, "target_latency_ms": 150, "max_attempts": 2, "priority": 1},
		{"name": "book", "hostname": hostName, "prefix": "/book/", wire.Kind: "non_idempotent", "service": "bookings", "timeout_ms": 1500, "target_latency_ms": 150, "max_attempts": 2, "priority": 1},
	}, "scans", "bookings")
	if err := b.startRunner("scan-1", "127.62.1.1", "scans", 40, uploadWork); err != nil {
		return false, err
	}
	if err := b.startRunner("booking-1", "127.62.1.2", "bookings", 6, 30*time.Millisecond); err != nil {
		return false, err
	}
	g, err := b.startGateway("edge-1", "127.62.2.1")
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	uploads := usualUploads
	if trouble {
		uploads = burstUploads
	}
	var sending sync.WaitGroup
	for i := range uploads {
		sending.Go(func() { b.upload(g, fmt.Sprintf("scan%04d", i)) })
	}
	defer sending.Wait()
	time.Sleep(1200 * time.Millisecond)
	if held, err = b.sendSlowly(g); err != nil {
		return false, err
	}
	return held, nil
}

// upload sends a whole upload on a channel of its own and reads its answer.
func (b *bed) upload(g *gateway, id string) {
	conn, err := net.Dial("tcp", g.callers)
	if err != nil {
		b.note("requester %s: %v", id, err)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	go func() {
		_, _ = conn.Write(requestText("POST", "/scans/a", id, 6000, bytes.Repeat([]byte("s"), uploadBytes)))
	}()
	b.readAnswer(bufio.NewReader(conn), id)
}

// readAnswer reads one answer and records it. It returns the attempt that the answer names,
// and whether the channel may be kept.
func (b *bed) readAnswer(r *bufio.Reader, waiting string) (id string, kept bool) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		b.note("requester of %s: channel ends: %v", waiting, err)
		return "", false
	}
	body, err := io.ReadAll(resp.Body)
	b.note("requester of %s gets %d for attempt %q, signature %q, connection %q, retry-after %q, body %q %v", waiting, resp.StatusCode,
		resp.Header.Get(wire.Attempt), resp.Header.Get(wire.Signature), resp.Header.Get("Connection"), resp.Header.Get("Retry-After"), body, err)
	return resp.Header.Get(wire.Attempt), !resp.Close && err == nil
}

// sendSlowly sends a request with a body of records over a slow uplink and then reads its
// answer. If the channel is kept, the next request follows on it. It reports whether each
// answer belongs to its request.
func (b *bed) sendSlowly(g *gateway) (held bool, err error) {
	conn, err := net.Dial("tcp", g.callers)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	var body []byte
	for i := range recordCount {
		body = append(body, logRecord(i)...)
	}
	text := chunkedText("/book/log", "log0001", 6000, body)
	head := bytes.Index(text, body)
	b.note("requester sends log0001, %d bytes, %d of them each %v", len(text), recordBytes, recordInterval)
	if _, err := conn.Write(text[:head]); err != nil {
		return false, err
	}
	answers := bufio.NewReader(conn)
	for at := head; at < len(text); at += recordBytes {
		if _, err := conn.Write(text[at:min(len(text), at+recordBytes)]); err != nil {
			b.note("requester can't send the rest of log0001: %v", err)
			b.readAnswer(answers, "log0001")
			return true, nil
		}
		time.Sleep(recordInterval)
	}
	b.note("requester has sent all of log0001")
	if id, kept := b.readAnswer(answers, "log0001"); !kept || id != "log0001" {
		return !kept, nil
	}
	b.note("requester sends next0001 on the same channel")
	if _, err := conn.Write(requestText("GET", "/book/next", "next0001", 1500, nil)); err != nil {
		b.note("requester can't send next0001: %v", err)
		return true, nil
	}
	id, _ := b.readAnswer(answers, "next0001")
	if id != "" && id != "next0001" {
		b.note("MIXED: the answer for next0001 belongs to %s, which stands in the body of log0001", id)
		return false, nil
	}
	return true, nil
}

// chunkedText returns a request whose body is sent in one chunk.
func chunkedText(path, id string, timeoutMS int, body []byte) []byte {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Token %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n",
		path, hostName, wire.Attempt, id, wire.Deadline, timeoutMS, apiKey, len(body))
	return []byte(head + string(body) + "\r\n0\r\n\r\n")
}

// logRecord is one record of a log of requests, with its key blacked out, padded to its size.
func logRecord(i int) []byte {
	head := fmt.Sprintf("GET /book/old HTTP/1.1\r\nHost: %s\r\n%s: old%05d\r\n%s: 1500\r\nAuthorization: Token xxxxxxxx\r\nX-Note: ", hostName, wire.Attempt, i, wire.Deadline)
	return []byte(head + strings.Repeat("n", recordBytes-len(head)-4) + "\r\n\r\n")
}
