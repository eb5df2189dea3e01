package engine_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/engine"
)

var _ = Describe("Responses without a valid status", func() {
	ctx := context.Background()
	const limit = 2 * time.Second
	interims := []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"}
	invalid := []string{
		"000", "000 OK", "0 OK", "99 OK", "099 OK", "101 Switching Protocols", "104 Odd", "199 OK", "600 OK", "700 OK", "999 OK", "1000 OK", "2000 OK", "0200 OK",
		"20 OK", "+20 OK", "-20 OK", "+200 OK", "-200 OK", " 200 OK", "2 0 OK", "20x OK", "2e2 OK", "18446744073709551816 OK", " ", "",
	}
	within := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
	events := string(startEvent(weightsOf("a"))) + string(endEvent(weightsOf("a"), "", 0))
	bodies := []string{
		"Content-Length: 0\r\n\r\n", "Content-Length: 5\r\n\r\nwrong", "Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(within), within), fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(events), events),
	}

	It("are no responses of a plain service and no streams, and the request may have run", func() {
		// Guards against a response that no server may send, and against one in its body
		// that is taken for the response to the request.
		var accepted []string
		variants := 0
		for _, status := range invalid {
			for _, interim := range interims {
				for _, body := range bodies {
					variants++
					text := []part{part(interim + "HTTP/1.1 " + status + "\r\n" + body)}
					cfg := engine.Config{Address: scriptedServer(text, text), RequestTimeout: limit, StallTimeout: limit}
					client, err := engine.NewPlainClient(cfg)
					Expect(err).NotTo(HaveOccurred())
					response, err := client.Call(ctx, engine.PlainRequest{ID: "r1", Service: "orders", Body: []byte("x")})
					if err == nil || engine.NotStarted(err) {
						accepted = append(accepted, fmt.Sprintf("plain %q after %.12q, %.20q: %d, %v", status, interim, body, response.Status, err))
					}
					model, err := engine.NewClient(cfg)
					Expect(err).NotTo(HaveOccurred())
					if stream, err := model.Generate(ctx, engine.Request{ID: "r1", Stream: "s1", Weights: weightsOf("a"), Body: []byte("x")}); err == nil || engine.NotStarted(err) {
						stream.Close()
						accepted = append(accepted, fmt.Sprintf("stream %q after %.12q, %.20q: %v", status, interim, body, err))
					}
				}
			}
		}
		Expect(accepted).To(BeEmpty(), fmt.Sprintf("%d of %d variants", len(accepted), variants))
	})

	It("differ from valid ones", func() {
		for _, status := range []int{200, 204, 299, 302, 404, 499, 500, 599} {
			client, err := engine.NewPlainClient(engine.Config{Address: scriptedServer([]part{part(fmt.Sprintf("HTTP/1.1 %d Status\r\nContent-Length: 0\r\n\r\n", status))}), RequestTimeout: limit})
			Expect(err).NotTo(HaveOccurred())
			response, err := client.Call(ctx, engine.PlainRequest{ID: "r1", Service: "orders", Body: []byte("x")})
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Status).To(Equal(status))
		}
	})
})
