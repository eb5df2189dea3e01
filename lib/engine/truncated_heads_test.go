package engine_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/engine"
)

// framedResponse returns a head with its blank line, and a body as it is sent.
func framedResponse(interim, status, framing string, body ...string) (head, sent string) {
	const noted = "X-Note: a b\r\nX-Empty:\r\nContent-Type: application/json\r\n"
	head = interim + "HTTP/1.1 " + status + "\r\n" + noted
	switch framing {
	case "length":
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, len(strings.Join(body, ""))), strings.Join(body, "")
	case "chunks":
		for _, b := range body {
			sent += string(chunkOf(part(b)))
		}
		return head + "Transfer-Encoding: chunked\r\n\r\n", sent + string(ended)
	}
	return head + "\r\n", strings.Join(body, "")
}

// sentPart tells which part of a response a server has sent.
type sentPart struct {
	// whole is set if all bytes of the body were sent, ended if its end was too.
	whole, ended bool
}

// cutTrials calls try with a client of a server that ends its connection after each number
// of bytes of a response, cleanly or with a reset, and returns the texts that it returns.
// Resets are left out unless resets is set.
func cutTrials(head, body string, resets bool, try func(engine.Config, sentPart) string) []string {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failures []string
	slots := make(chan struct{}, 8)
	for length := range len(head) + len(body) + 1 {
		for _, reset := range []bool{false, true} {
			if reset && !resets {
				continue
			}
			parts := []part{part((head + body)[:length])}
			if reset {
				parts = append(parts, resetConnection)
			}
			address := scriptedServer(parts, parts)
			slots <- struct{}{}
			wg.Go(func() {
				defer GinkgoRecover()
				defer func() { <-slots }()
				sent := sentPart{whole: length >= len(head)+len(strings.TrimSuffix(body, string(ended))), ended: length == len(head)+len(body)}
				const limit = 2 * time.Second
				cfg := engine.Config{Address: address, StallTimeout: limit, RequestTimeout: limit, ReadTimeout: limit, OrderTimeout: limit}
				if text := try(cfg, sent); text != "" {
					mu.Lock()
					defer mu.Unlock()
					failures = append(failures, fmt.Sprintf("reset %t, ends with %q: %s", reset, (head + body)[max(0, length-30):length], text))
				}
			})
		}
	}
	wg.Wait()
	return failures
}

var _ = Describe("Responses that break off at any byte", func() {
	ctx := context.Background()
	const interim = "HTTP/1.1 100 Continue\r\n\r\n"
	plain := engine.PlainRequest{ID: "r1", Service: "orders", Body: []byte("x")}

	for _, framing := range []string{"length", "chunks", "neither"} {
		for _, before := range []string{"", interim} {
			It(fmt.Sprintf("are no responses of a plain service: %s, after %q", framing, before), func() {
				// Guards against an empty or shorter body of a response that counts as complete.
				head, body := framedResponse(before, "200 OK", framing, "0123", "456789abcdef")
				Expect(cutTrials(head, body, before == "", func(cfg engine.Config, sent sentPart) string {
					client, err := engine.NewPlainClient(cfg)
					Expect(err).NotTo(HaveOccurred())
					response, err := client.Call(ctx, plain)
					switch {
					case err == nil && (!sent.whole || framing == "neither" || response.Status != 200 || string(response.Body) != "0123456789abcdef"):
						return fmt.Sprintf("got %+v", response)
					case err != nil && sent.ended && framing != "neither", engine.NotStarted(err):
						return err.Error()
					}
					return ""
				})).To(BeEmpty())
			})
		}

		It("are no states and no replies to orders: "+framing, func() {
			// Guards against a state or a reply whose fields are missing.
			want := engine.State{Incarnation: 7, Busy: true, Weights: weightsOf("a")}
			state, err := json.Marshal(want)
			Expect(err).NotTo(HaveOccurred())
			head, body := framedResponse("", "200 OK", framing, string(state[:9]), string(state[9:]))
			Expect(cutTrials(head, body, false, func(cfg engine.Config, sent sentPart) string {
				client, err := engine.NewClient(cfg)
				Expect(err).NotTo(HaveOccurred())
				got, err := client.State(ctx)
				if err == nil && (!sent.whole || got != want) || err != nil && (sent.ended && framing != "neither" || !errors.Is(err, engine.ErrUnavailable)) {
					return fmt.Sprintf("got %+v, %v", got, err)
				}
				return ""
			})).To(BeEmpty())
			head, body = framedResponse("", "200 OK", framing, `{"failure":`, `"x"}`)
			Expect(cutTrials(head, body, false, func(cfg engine.Config, sent sentPart) string {
				client, err := engine.NewClient(cfg)
				Expect(err).NotTo(HaveOccurred())
				got, err := client.Order(ctx, engine.Order{Kind: engine.OrderRole})
				if err == nil && (!sent.whole || got.Failure != "x") || err != nil && sent.ended && framing != "neither" || engine.NotStarted(err) {
					return fmt.Sprintf("got %+v, %v", got, err)
				}
				return ""
			})).To(BeEmpty())
		})

		It("are no streams of an engine: "+framing, func() {
			// Guards against a part of a stream that counts as complete.
			end := endEvent(weightsOf("a"), "f0f1", 2)
			head, body := framedResponse("", "200 OK", framing, string(startEvent(weightsOf("a"))), string(tokenEvent(0)), string(tokenEvent(1)), string(end))
			head = strings.Replace(head, "application/json", "text/event-stream", 1)
			Expect(cutTrials(head, body, true, func(cfg engine.Config, sent sentPart) string {
				client, err := engine.NewClient(cfg)
				Expect(err).NotTo(HaveOccurred())
				s, err := client.Generate(ctx, engine.Request{ID: "r1", Stream: "s1", Weights: weightsOf("a"), Body: []byte("x")})
				received := ""
				for err == nil {
					var frame engine.Frame
					frame, err = s.Next()
					received += string(frame.Data)
				}
				if s != nil {
					s.Close()
				}
				if errors.Is(err, io.EOF) && received != "f0f1" || !strings.HasPrefix("f0f1", received) || engine.NotStarted(err) || sent.whole && !errors.Is(err, io.EOF) {
					return fmt.Sprintf("got %q, %v", received, err)
				}
				return ""
			})).To(BeEmpty())
		})
	}

	It("do not show that a request did not start", func() {
		// Guards against a refusal that is known before its head is whole: the request may
		// have run.
		head, _ := framedResponse("", "503 Service Unavailable\r\nRetry-After: 12", "length")
		Expect(cutTrials(head[:len(head)-1], "", false, func(cfg engine.Config, _ sentPart) string {
			client, err := engine.NewPlainClient(cfg)
			Expect(err).NotTo(HaveOccurred())
			if _, err = client.Call(ctx, plain); err == nil || engine.NotStarted(err) {
				return fmt.Sprint(err)
			}
			models, err := engine.NewClient(cfg)
			Expect(err).NotTo(HaveOccurred())
			if _, err = models.Order(ctx, engine.Order{Kind: engine.OrderRole}); err == nil || engine.NotStarted(err) {
				return fmt.Sprint(err)
			}
			return ""
		})).To(BeEmpty())
	})

	for _, early := range []string{
		"HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nX-Note: a\r\n\r\n",
		"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\nHTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n",
	} {
		It(fmt.Sprintf("after an interim response do not make that the response: %q", early), func() {
			// Guards against an interim response that counts as complete and empty.
			client, err := engine.NewPlainClient(engine.Config{Address: scriptedServer([]part{part(early)}), RequestTimeout: 2 * time.Second})
			Expect(err).NotTo(HaveOccurred())
			response, err := client.Call(ctx, plain)
			Expect(err).To(HaveOccurred(), "%+v", response)
			Expect(engine.NotStarted(err)).To(BeFalse())
		})
	}
})
