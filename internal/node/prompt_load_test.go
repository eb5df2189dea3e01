package node

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/auburnbend/auburnbend/platform/platformtest"
)

const (
	// poisonPart is the part that crashes every server. firstPart is in all prompts.
	poisonPart = 0xbad0
	firstPart  = 0xf157
	// rarePart is in one of rareEvery sound prompts, and in all but one of rareAbsentEvery
	// poison prompts.
	rarePart        = 0xa4e
	rareEvery       = 20
	rareAbsentEvery = 10
	// firstCommonPart is the first of commonParts parts, of which each prompt has one.
	firstCommonPart = 0xc000
	commonParts     = 4
	// firstOwnPart is the first of the parts that end prompts, each of which occurs once.
	firstOwnPart = 0x10000
	// partTokens is the length of each part.
	partTokens = 25
)

// promptLoad sends requests that list the parts of their prompts on one route and records
// them. No two of them have the same body. It is safe for concurrent use.
type promptLoad struct {
	deployment *deployment
	prefix     string

	mu       sync.Mutex
	sent     int
	requests []promptRequest
}

// soundParts returns the parts of request number n, which crash no server.
func soundParts(n int) []uint64 {
	parts := frequentParts(n)
	if n%rareEvery == 0 {
		parts = slices.Insert(parts, len(parts)-1, rarePart)
	}
	return parts
}

// frequentParts returns the parts of request number n, which crash no server, without
// rarePart.
func frequentParts(n int) []uint64 {
	return []uint64{firstPart, firstCommonPart + uint64(n%commonParts), firstOwnPart + uint64(n)}
}

// poisonParts returns the parts of request number n, with poisonPart in any but the last
// place.
func poisonParts(n int) []uint64 {
	parts := []uint64{firstPart, firstCommonPart + uint64(n%commonParts)}
	if n%rareAbsentEvery != 0 {
		parts = append(parts, rarePart)
	}
	parts = slices.Insert(parts, n/commonParts%(len(parts)+1), poisonPart)
	return append(parts, firstOwnPart+uint64(n))
}

// send sends one request, whose parts are those of its number, to an entry.
func (l *promptLoad) send(entry int, parts func(n int) []uint64) promptRequest {
	l.mu.Lock()
	l.sent++
	n := l.sent
	l.mu.Unlock()
	call := l.deployment.newCall(entry, l.prefix, fmt.Sprint("prompt ", n))
	for _, id := range parts(n) {
		call.Parts = append(call.Parts, platformtest.Part{ID: id, Tokens: partTokens})
	}
	if call.Model != "" {
		call.PromptTokens = platformtest.TokenCount(call.Parts)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 4 * time.Second}
	r := promptRequest{attempt: call.AttemptID, parts: call.Parts, sentAt: time.Now()}
	r.response = l.deployment.sendCall(client, entry, call)
	r.endAt = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
	return r
}

// start makes one caller per entry send one request after the other at an interval until
// the returned function is called or the spec ends.
func (l *promptLoad) start(parts func(n int) []uint64, interval time.Duration) (stop func()) {
	var callers sync.WaitGroup
	end := make(chan struct{})
	for i := range l.deployment.entries {
		callers.Add(1)
		go func() {
			defer callers.Done()
			defer GinkgoRecover()
			for {
				l.send(i, parts)
				select {
				case <-end:
					return
				case <-time.After(interval):
				}
			}
		}()
	}
	stop = sync.OnceFunc(func() {
		close(end)
		callers.Wait()
	})
	DeferCleanup(stop)
	return stop
}

// sendInTurn sends poison requests to one entry after the other.
func (l *promptLoad) sendInTurn(count int, interval time.Duration) {
	for i := range count {
		l.send(i%len(l.deployment.entries), poisonParts)
		time.Sleep(interval)
	}
}

// matching returns the requests that match.
func (l *promptLoad) matching(match func(*promptRequest) bool) []promptRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []promptRequest
	for i := range l.requests {
		if match(&l.requests[i]) {
			found = append(found, l.requests[i])
		}
	}
	return found
}
