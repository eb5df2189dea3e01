package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// keptUploads is the number of uploads that are sent, one after another.
	keptUploads = 8
	// readLater is the time after its answer at which a runner reads on.
	readLater = 500 * time.Millisecond
)

// uploadStore is a runner that keeps what it is sent. With early set, it answers when it has
// read a part of the body, and reads on later.
type uploadStore struct {
	bed     *bed
	id      string
	early   bool
	serving sync.WaitGroup

	mu sync.Mutex
	// kept is what the runner has received of the body of each attempt.
	kept map[string]int64
}

func (s *uploadStore) serve(conn net.Conn) {
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(answerReadBytes)
	r := bufio.NewReader(conn)
	// It keeps the channel for further requests.
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		attempt := req.Header.Get(wire.Attempt)
		if req.Header.Get(wire.Expected) != s.id {
			_, _ = io.Copy(io.Discard, req.Body)
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", wire.Attempt, attempt, wire.Instance, s.id)
			continue
		}
		s.bed.note("runner %s runs %s, whose body has %d bytes", s.id, attempt, req.ContentLength)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig.%s.%s\r\nContent-Length: 5\r\n\r\nkept\n", wire.Attempt, attempt, wire.Signature, s.id, attempt)
		read, err := io.CopyN(io.Discard, req.Body, answerReadBytes)
		if s.early && err == nil {
			_, _ = io.WriteString(conn, answer)
			time.Sleep(readLater)
		}
		if err == nil {
			var more int64
			more, err = io.Copy(io.Discard, req.Body)
			read += more
		}
		s.mu.Lock()
		s.kept[attempt] = read
		s.mu.Unlock()
		s.bed.note("runner %s has read %d of %d bytes of %s, %v", s.id, read, req.ContentLength, attempt, err)
		if err != nil {
			return
		}
		if !s.early {
			_, _ = io.WriteString(conn, answer)
		}
	}
}

// playUpload sends uploads to a runner that keeps them; with trouble, it answers before it has
// read them.
func playUpload(b *bed, trouble bool) (held bool, err error) {
	b.putConfig(1, []map[string]any{
		{"name": "keep", "hostname": hostName, "prefix": "/keep/", wire.Kind: "non_idempotent", "service": "archive", "timeout_ms": 6000, "target_latency_ms": 500, "max_attempts": 2, "priority": 1},
	}, "archive")
	ln, err := net.Listen("tcp", "127.62.1.1:0")
	if err != nil {
		return false, err
	}
	s := &uploadStore{bed: b, id: "archive-1", early: trouble, kept: make(map[string]int64)}
	go func() {
		for {
			conn, err := ln.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				s.serving.Go(func() { s.serve(conn) })
			}
		}
	}()
	b.closers = append(b.closers, func() { _ = ln.Close() })
	b.store.Put("servers", s.id, map[string]any{
		"service": "archive", "address": ln.Addr().String(), "zone": "leinster-a", "version": "v1", "capacity": 24, "state": "ready",
		"born": time.Now().UnixMilli(), "sequence": 1, wire.Cold: 0,
	})
	g, err := b.startGateway("edge-1", "127.62.2.1")
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	lost := 0
	for i := range keptUploads {
		id := fmt.Sprintf("upload%02d", i)
		status := b.keep(g, id)
		// The runner reads on for a while if the channel is kept.
		time.Sleep(2 * readLater)
		s.mu.Lock()
		read := s.kept[id]
		s.mu.Unlock()
		if status/100 == 2 && read < uploadBytes {
			b.note("UNASKED: %s has a success, and the runner has run it with %d of its %d bytes", id, read, uploadBytes)
			lost++
		}
	}
	b.note("%d of %d uploads with a success have lost a part of their body", lost, keptUploads)
	return lost == 0, nil
}

// keep sends one upload and returns its status; zero if it got no whole answer.
func (b *bed) keep(g *gateway, id string) int {
	conn, err := net.Dial("tcp", g.callers)
	if err != nil {
		b.note("requester %s: %v", id, err)
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := conn.Write(requestText("POST", "/keep/a", id, 6000, bytes.Repeat([]byte("k"), uploadBytes))); err != nil {
		b.note("requester %s: %v", id, err)
		return 0
	}
	b.note("requester %s has sent its whole request", id)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		b.note("requester %s: channel ends: %v", id, err)
		return 0
	}
	body, err := io.ReadAll(resp.Body)
	b.note("requester %s gets %d, signature %q, body %q, %v", id, resp.StatusCode, resp.Header.Get(wire.Signature), strings.TrimSpace(string(body)), err)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}
