package deployment

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"time"

	"github.com/auburnbend/auburnbend/entry/caller"
	"github.com/auburnbend/auburnbend/standin/engine"
)

// Answer is the result of a call as the caller sees it.
type Answer struct {
	RequestID string
	Outcome   string
	Reason    string
	Body      []byte
	// TimeToFirstEvent is the time from sending to the first event of a streamed
	// answer; 0 for other answers.
	TimeToFirstEvent time.Duration
	// Entry is the index of the entry that answered.
	Entry int
}

// Outcomes of an Answer. outcomeBroken means that the answer has no end.
const (
	outcomeBroken    = "connection_broken"
	outcomeCompleted = "completed"
	outcomeNotRun    = "not_run"
)

// Client sends requests as callers do. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Call is a request of a caller.
type Call struct {
	Service string
	Tenant  string
	// RequestID is chosen by the caller. IdempotencyKey may be empty.
	RequestID, IdempotencyKey string
	Body                      []byte
	Stream                    bool
}

// Send sends a call to an entry and waits for the end of its answer. Errors,
// including the end of ctx, give an answer with the outcome connection_broken.
func (c *Client) Send(ctx context.Context, url string, call Call) Answer {
	a := Answer{RequestID: call.RequestID, Outcome: outcomeBroken}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/services/"+call.Service, bytes.NewReader(call.Body))
	if err != nil {
		return a
	}
	r.Header.Set(caller.HeaderTenant, call.Tenant)
	r.Header.Set(caller.HeaderRequestID, call.RequestID)
	if call.IdempotencyKey != "" {
		r.Header.Set(caller.HeaderIdempotencyKey, call.IdempotencyKey)
	}
	if call.Stream {
		r.Header.Set("Accept", "text/event-stream")
	}
	sent := time.Now()
	response, err := c.http.Do(r)
	if err != nil {
		return a
	}
	defer func() { _ = response.Body.Close() }()
	if o := response.Header.Get(caller.HeaderOutcome); o != "" {
		a.Reason = response.Header.Get(caller.HeaderReason)
		if a.Body, err = io.ReadAll(response.Body); err == nil {
			a.Outcome = o
		}
		return a
	}
	readStream(response.Body, sent, &a)
	return a
}

// readStream reads events up to the final one. If it is missing, the outcome stays
// outcomeBroken.
func readStream(r io.Reader, sent time.Time, a *Answer) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	event := ""
	for scanner.Scan() {
		line := scanner.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if a.TimeToFirstEvent == 0 {
			a.TimeToFirstEvent = time.Since(sent)
		}
		switch event {
		case caller.EventChunk:
			var chunk string
			if json.Unmarshal([]byte(data), &chunk) == nil {
				a.Body = append(a.Body, chunk...)
			}
		case caller.EventEnd:
			var end caller.StreamEnd
			if json.Unmarshal([]byte(data), &end) == nil {
				a.Outcome, a.Reason = end.Outcome, end.Reason
			}
			return
		}
	}
}

// DraftBody returns the body of a request for a draft of the given number of tokens,
// with a random prompt.
func DraftBody(rng *rand.Rand, tokens int) []byte {
	return fmt.Appendf(nil, `{"max_tokens":%d,"prompt":"%s %016x"}`, tokens, strings.Repeat("blazon ", 1+rng.Intn(8)), rng.Uint64())
}

// VersionOfAnswer returns the published version whose complete answer to body equals
// answer, or false if there is none.
func (d *Deployment) VersionOfAnswer(answer, body []byte) (Version, bool) {
	for _, v := range d.Versions {
		if bytes.Equal(answer, engine.ExpectedResponse(v.ContentDigest, body)) {
			return v, true
		}
	}
	return Version{}, false
}
