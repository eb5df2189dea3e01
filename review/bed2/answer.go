package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"
)

const (
	// answerRequests is the number of requests that the runner works on at a time.
	answerRequests = 8
	// answerBodyBytes is the size of their bodies, of which the runner reads answerReadBytes
	// before it answers.
	answerBodyBytes, answerReadBytes = maxBodyBytes, 64 << 10
	// answerLines is the number of lines of an answer, which come in answerTime, and crashAfter
	// the time after which the runner crashes.
	answerLines = 100
	answerTime  = 1200 * time.Millisecond
	crashAfter  = 600 * time.Millisecond
)

// answerLine is a line of the answer to an attempt.
func answerLine(id string, line int) string { return fmt.Sprintf("%s %03d\n", id, line) }

// serveEarly is a runner that answers before it has read a long body, without a length, and
// reads on later. It serves a listener whose address it prints.
func serveEarly(id, ip string) error {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	fmt.Println(ln.Addr())
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		_ = conn.(*net.TCPConn).SetReadBuffer(answerReadBytes)
		go answerEarly(id, conn)
	}
}

func answerEarly(id string, conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	req, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	attempt := req.Header.Get(wire.Attempt)
	if expected := req.Header.Get(wire.Expected); expected != id {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", wire.Attempt, attempt, wire.Instance, id)
		return
	}
	if _, err := io.CopyN(io.Discard, req.Body, answerReadBytes); err != nil {
		return
	}
	fmt.Printf("runner %s runs %s, whose body has %d bytes, and has read %d of them\n", id, attempt, req.ContentLength, answerReadBytes)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig.%s.%s\r\nConnection: close\r\nContent-Type: text/plain\r\n\r\n", wire.Attempt, attempt, wire.Signature, id, attempt)
	for line := range answerLines {
		time.Sleep(answerTime / answerLines)
		if _, err := io.WriteString(conn, answerLine(attempt, line)); err != nil {
			return
		}
	}
	// A channel that is closed with unread bytes is reset.
	read, err := io.Copy(io.Discard, req.Body)
	fmt.Printf("runner %s has sent its whole answer to %s, and read %d bytes more, %v\n", id, attempt, read, err)
}

// playAnswer sends long requests to a runner that answers before it has read them, and kills
// its process while it answers.
func playAnswer(b *bed, trouble bool) (held bool, err error) {
	b.putConfig(1, []map[string]any{
		{"name": "check", "hostname": hostName, "prefix": "/check/", wire.Kind: "non_idempotent", "service": "checks", "timeout_ms": 6000, "target_latency_ms": 500, "max_attempts": 2, "priority": 1},
	}, "checks")
	cmd := exec.Command(os.Args[0], "runner", "check-1", "127.62.1.1")
	out, err := cmd.StdoutPipe()
	if err != nil {
		return false, err
	}
	if err := cmd.Start(); err != nil {
		return false, err
	}
	defer func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}()
	lines := bufio.NewReader(out)
	address, err := lines.ReadString('\n')
	if err != nil {
		return false, err
	}
	var reading sync.WaitGroup
	reading.Go(func() {
		for {
			line, err := lines.ReadString('\n')
			if err != nil {
				return
			}
			b.note("%s", strings.TrimSpace(line))
		}
	})
	b.store.Put("servers", "check-1", map[string]any{
		"service": "checks", "address": strings.TrimSpace(address), "zone": "leinster-a", "version": "v1", "capacity": answerRequests, "state": "ready",
		"born": time.Now().UnixMilli(), "sequence": 1, wire.Cold: 0,
	})
	g, err := b.startGateway("edge-1", "127.62.2.1")
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	var sending sync.WaitGroup
	var mu sync.Mutex
	broken := 0
	for i := range answerRequests {
		sending.Go(func() {
			if !b.check(g, fmt.Sprintf("check%03d", i)) {
				mu.Lock()
				defer mu.Unlock()
				broken++
			}
		})
	}
	if trouble {
		time.Sleep(crashAfter)
		b.note("the runner crashes")
		_ = cmd.Process.Kill()
	}
	sending.Wait()
	_ = cmd.Process.Kill()
	reading.Wait()
	b.note("%d of %d requesters got a success without the runner's whole body", broken, answerRequests)
	return broken == 0, nil
}

// check sends one long request and reports whether its answer is whole or no success.
func (b *bed) check(g *gateway, id string) bool {
	conn, err := net.Dial("tcp", g.callers)
	if err != nil {
		b.note("requester %s: %v", id, err)
		return true
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	b.note("requester %s sends its request, %d bytes", id, answerBodyBytes)
	go func() {
		_, _ = conn.Write(requestText("POST", "/check/a", id, 6000, bytes.Repeat([]byte("c"), answerBodyBytes)))
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		b.note("requester %s: channel ends: %v", id, err)
		return true
	}
	body, err := io.ReadAll(resp.Body)
	lines := strings.Count(string(body), "\n")
	b.note("requester %s gets %d, signature %q, length %d, %d of %d lines, %v", id, resp.StatusCode, resp.Header.Get(wire.Signature), resp.ContentLength, lines, answerLines, err)
	return resp.StatusCode/100 != 2 || err != nil || lines == answerLines
}
