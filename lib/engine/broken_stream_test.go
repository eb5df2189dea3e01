package engine_test

import (
	"bufio"
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
)

// scriptedFrames is the number of frames of a scripted stream.
const scriptedFrames = 5

// part is a text that an engine sends, or what it does instead.
type part string

const (
	// resetConnection resets the connection; otherwise it ends cleanly.
	resetConnection part = "\x00reset"
	ended           part = "0\r\n\r\n"
	chunkedHead     part = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	unframedHead    part = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
)

// scriptedServer sends one text for each request, in order. The connection ends with
// each. It returns the URL of the server.
func scriptedServer(responses ...[]part) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for _, parts := range responses {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serveScript(conn, parts)
		}
	}()
	return "http://" + listener.Addr().String()
}

// scriptedEngine is a client of a scripted server.
func scriptedEngine(responses ...[]part) *engine.Client {
	client, err := engine.NewClient(engine.Config{Address: scriptedServer(responses...), StallTimeout: time.Second, RequestTimeout: 2 * time.Second})
	Expect(err).NotTo(HaveOccurred())
	return client
}

func serveScript(conn net.Conn, parts []part) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	for _, p := range parts {
		if p == resetConnection {
			// A reset discards what the client has not read.
			time.Sleep(20 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		if _, err := io.WriteString(conn, string(p)); err != nil {
			return
		}
	}
}

func eventText(name, data string) part { return part("event: " + name + "\ndata: " + data + "\n\n") }

func chunkOf(p part) part { return part(fmt.Sprintf("%x\r\n%s\r\n", len(p), string(p))) }

func startEvent(w model.Weights) part {
	return eventText("start", fmt.Sprintf(`{"request":"r1","stream":"s1","weights":{"base":%q}}`, w.Base))
}

func tokenEvent(offset int) part {
	data := base64.StdEncoding.EncodeToString(fmt.Appendf(nil, "f%d", offset))
	return eventText("token", fmt.Sprintf(`{"offset":%d,"data":%q}`, offset, data))
}

func endEvent(w model.Weights, text string, frames int) part {
	return eventText("end", fmt.Sprintf(`{"frames":%d,"digest":%q,"weights":{"base":%q}}`, frames, model.Sum([]byte(text)), w.Base))
}

// wholeText is the response of the scripted engine.
func wholeText() string {
	var b strings.Builder
	for i := range scriptedFrames {
		fmt.Fprintf(&b, "f%d", i)
	}
	return b.String()
}

// framed returns the events as chunks.
func framed(events ...part) []part {
	parts := []part{chunkedHead}
	for _, e := range events {
		parts = append(parts, chunkOf(e))
	}
	return parts
}

// stream returns the events from the start event on, with the frames of a range.
func stream(first, last int, more ...part) []part {
	events := []part{startEvent(weightsOf("a"))}
	for i := first; i < last; i++ {
		events = append(events, tokenEvent(i))
	}
	return framed(append(events, more...)...)
}

var _ = Describe("Broken streams of an engine", func() {
	end := endEvent(weightsOf("a"), wholeText(), scriptedFrames)
	breaks := map[string][]part{
		"before the first frame":                     stream(0, 0),
		"between frames":                             stream(0, 2),
		"in an event":                                append(stream(0, 2), chunkOf("event: token\ndata: {\"off")),
		"inside a chunk's size line":                 append(stream(0, 2), "1"),
		"inside a chunk":                             append(stream(0, 2), "99\r\nevent: token\n"),
		"with a reset":                               append(stream(0, 2), resetConnection),
		"with a terminating chunk":                   append(stream(0, 2), ended),
		"before the end event":                       append(stream(0, scriptedFrames), ended),
		"with a clean end of a body without length":  {unframedHead, startEvent(weightsOf("a")), tokenEvent(0), tokenEvent(1)},
		"with the head of another response inserted": append(stream(0, 2), "HTTP/1.1 500 Error\r\n\r\n"),
	}
	const errorText = `{"reason":"upstream failed"}`
	answer := func(status int, header, body string) []part {
		return []part{part(fmt.Sprintf("HTTP/1.1 %d Status\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body))}
	}
	const eventStream = "Content-Type: text/event-stream\r\n"
	bad := map[string][]part{
		"500":                        answer(500, "", errorText),
		"502 as a stream":            answer(502, eventStream, string(startEvent(weightsOf("a"))+tokenEvent(2))),
		"503 with Retry-After":       answer(503, "Retry-After: 1\r\n", errorText),
		"429":                        answer(429, "Retry-After: 1\r\n", errorText),
		"404":                        answer(404, "", errorText),
		"204":                        {"HTTP/1.1 204 No Content\r\n\r\n"},
		"200 with a JSON error":      answer(200, "Content-Type: application/json\r\n", errorText),
		"200 with an HTML page":      answer(200, "Content-Type: text/html\r\n", "<html>\n\n</html>"),
		"an HTML page as a stream":   answer(200, eventStream, "<html>\n\n</html>\n\n"),
		"an empty stream":            answer(200, eventStream, ""),
		"only comments":              answer(200, eventStream, ": hello\n\n"),
		"an error event":             append(framed(eventText("error", `{"reason":"failed","started":true}`)), ended),
		"an error event, not begun":  append(framed(eventText("error", `{"reason":"failed"}`)), ended),
		"other weights":              append(framed(startEvent(weightsOf("b")), tokenEvent(2)), ended),
		"an earlier frame":           append(stream(1, scriptedFrames, end), ended),
		"the beginning":              append(stream(0, scriptedFrames, end), ended),
		"a later frame":              append(stream(3, scriptedFrames, end), ended),
		"another stream":             append(framed(eventText("start", `{"request":"r1","stream":"s2","weights":{}}`), tokenEvent(2)), ended),
		"no start event":             append(framed(tokenEvent(2)), ended),
		"a head in the body":         append(framed("HTTP/1.1 500 Error\r\n\r\n", startEvent(weightsOf("a")), tokenEvent(2)), ended),
		"bytes that are no response": {errorText},
		"a reset":                    {resetConnection},
		"nothing":                    {},
		"an encoded body":            answer(200, eventStream+"Content-Encoding: gzip\r\n", "\x1f\x8b\x08\x00\x00\x00\x00\x00"),
	}

	// receive reads a stream as the agent does: it resumes once.
	receive := func(first, second []part) (string, error) {
		client := scriptedEngine(first, second)
		s, err := client.Generate(context.Background(), engine.Request{ID: "r1", Stream: "s1", Weights: weightsOf("a"), Body: []byte("x")})
		if err != nil {
			return "", err
		}
		defer s.Close()
		received := ""
		for resumed := false; ; {
			frame, err := s.Next()
			switch {
			case err != nil && !errors.Is(err, io.EOF) && !resumed:
				resumed = true
				if resumeErr := client.Resume(context.Background(), s); resumeErr != nil {
					return received, err
				}
			case err != nil:
				return received, err
			default:
				received += string(frame.Data)
			}
		}
	}

	for place, first := range breaks {
		It("give only their own frames, and no success without an end event: "+place, func() {
			// Guards against an error's text among the frames, and against a part of a stream
			// that passes for the whole.
			for name, second := range bad {
				if name == "the beginning" && place == "before the first frame" {
					continue
				}
				received, err := receive(first, second)
				Expect(wholeText()).To(HavePrefix(received), name)
				Expect(err).To(HaveOccurred(), name)
				Expect(errors.Is(err, io.EOF)).To(BeFalse(), "%s: %v", name, err)
				Expect(engine.NotStarted(err)).To(BeFalse(), name)
			}
		})

		It("are whole after a sound continuation: "+place, func() {
			from := strings.Count(fmt.Sprint(first), "event: token\ndata: {\"offset\"")
			received, err := receive(first, append(stream(from, scriptedFrames, end), ended))
			Expect(err).To(MatchError(io.EOF))
			Expect(received).To(Equal(wholeText()))
		})
	}
})
