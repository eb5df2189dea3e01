package bed3

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Key is the key of the only tenant.
const Key = "key-of-the-bakers"

// Caller sends requests on kept channels, as requesters do.
type Caller struct {
	bed    *Bed
	client *http.Client
}

// NewCaller returns a Caller.
func (b *Bed) NewCaller() *Caller {
	dialer := &net.Dialer{Timeout: time.Second}
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 32, IdleConnTimeout: 12 * time.Second}
	transport.DialContext = dialer.DialContext
	b.closers = append(b.closers, transport.CloseIdleConnections)
	return &Caller{bed: b, client: &http.Client{Transport: transport}}
}

// Answer is what a caller has got.
type Answer struct {
	Status    int
	Signature string
	Body      string
	// Err is why there is no whole answer.
	Err error
}

// Send sends one request and notes its answer.
func (c *Caller) Send(e *Entry, method, path, id, body string, limit time.Duration) Answer {
	return c.SendWith(e, method, path, id, body, limit, nil)
}

// SendWith is like Send, with further headers.
func (c *Caller) SendWith(e *Entry, method, path, id, body string, limit time.Duration, headers map[string]string) Answer {
	req, err := http.NewRequest(method, "http://"+e.Callers+path, strings.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	req.Host = "bed.example"
	req.Header.Set(Name("attempt"), id)
	req.Header.Set(Name("deadline"), strconv.FormatInt(limit.Milliseconds(), 10))
	req.Header.Set(Name("key"), Name("scheme")+Key)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	client := *c.client
	client.Timeout = limit
	resp, err := client.Do(req)
	if err != nil {
		c.bed.Note("request %s %s has no answer: %v", id, path, err)
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a := Answer{Status: resp.StatusCode, Signature: resp.Header.Get(Name("signature")), Body: string(data), Err: err}
	c.bed.Note("request %s %s is answered %d, signature %q, body %q, err %v", id, path, a.Status, a.Signature, short(a.Body), err)
	return a
}

func short(s string) string {
	if len(s) > 60 {
		return fmt.Sprintf("%s.. (%d bytes)", s[:60], len(s))
	}
	return s
}
