package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/memory"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// longResponder responds with as many bytes as the body of a request says, in frames.
type longResponder struct {
	// runs counts the requests that have run, lost those that found no memory until their
	// deadline, writing those that write.
	runs, lost, writing atomic.Int64
	// pause is awaited once in the middle of a response, if it is not nil.
	pause <-chan struct{}
}

const responseFrame = 100 << 10

// Handle implements Handler.
func (l *longResponder) Handle(_ context.Context, r *Request, w ResponseWriter) {
	l.runs.Add(1)
	l.writing.Add(1)
	defer l.writing.Add(-1)
	var size, written int
	_, _ = fmt.Sscan(string(r.Body), &size)
	for written < size {
		// Half of the frames are as short as those of models.
		n := min(size-written, responseFrame)
		if written/responseFrame%2 == 1 {
			n = min(n, 10)
		}
		if err := w.Write(bytes.Repeat([]byte{byte('a' + written%26)}, n)); err != nil {
			if errors.Is(err, memory.ErrExhausted) {
				l.lost.Add(1)
			}
			w.End(Result{Outcome: outcome.Unknown, Reason: outcome.ReasonDeadline})
			return
		}
		if written += n; written >= size/2 && l.pause != nil {
			<-l.pause
		}
	}
	w.End(Result{Outcome: outcome.Completed})
}

var _ = Describe("Long responses that are not streamed", func() {
	const held = 8 << 20
	var bed *bodyBed
	var responder *longResponder
	BeforeEach(func() {
		responder = &longResponder{}
		bed = newBodyBedWith(func(c *Config) { c.Handler, c.MaxResponseBytes = responder, held })
	})
	// get requests a response of a size. It returns its length, or -1 if it is not whole.
	get := func(service string, size int, header ...string) int {
		r, err := http.NewRequest(http.MethodPost, "http://"+bed.address+"/v1/services/"+service, strings.NewReader(fmt.Sprint(size)))
		if err != nil {
			return -1
		}
		r.Header.Set(HeaderTenant, "a")
		for i := 0; i < len(header); i += 2 {
			r.Header.Set(header[i], header[i+1])
		}
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Do(r)
		if err != nil {
			return -1
		}
		defer resp.Body.Close()
		n, err := io.Copy(io.Discard, resp.Body)
		if err != nil || resp.StatusCode != http.StatusOK {
			return -1
		}
		return int(n)
	}

	It("take no more memory than the budget, and all that run are received whole", func() {
		// Guards against many responses that are held at once, each within its own limit.
		pause := make(chan struct{})
		responder.pause = pause
		before := liveBytes()
		const callers = 60
		var running sync.WaitGroup
		var wrong atomic.Int64
		for range callers {
			running.Go(func() {
				if get("draft", 900<<10) != 900<<10 {
					wrong.Add(1)
				}
			})
		}
		Eventually(responder.writing.Load, 10*time.Second).Should(BeEquivalentTo(callers))
		Eventually(func() int64 { return bed.server.responses.first.Held() }, 5*time.Second).Should(BeEquivalentTo(held / 4))
		Consistently(func() int64 { return liveBytes() - before }, 300*time.Millisecond).Should(BeNumerically("<=", held+callers*2*heldPerCall), "bytes held")
		close(pause)
		running.Wait()
		Expect(wrong.Load()).To(BeZero())
		Expect(responder.runs.Load()).To(BeEquivalentTo(callers))
		Eventually(bed.server.responses.first.Held).Should(BeZero())
		runtime.KeepAlive(bed)
	})

	It("do not wait for each other", func() {
		// Guards against responses that each hold a part of the memory and wait for more.
		var running sync.WaitGroup
		var wrong atomic.Int64
		for i := range 40 {
			size := []int{10, 70 << 10, 900 << 10, 3 << 20}[i%4]
			running.Go(func() {
				if get("draft", size, HeaderDeadlineMillis, "20000") != size {
					wrong.Add(1)
				}
			})
		}
		running.Wait()
		Expect(wrong.Load()).To(BeZero())
		Eventually(bed.server.responses.large.Held).Should(BeZero())
		Eventually(bed.server.responses.first.Held).Should(BeZero())
	})

	It("leave room for other services", func() {
		// Guards against a faulty service whose responses keep those of others from their
		// callers.
		pause := make(chan struct{})
		responder.pause = pause
		for range 20 {
			go get("draft", 900<<10)
		}
		Eventually(func() int64 { return bed.server.responses.first.Held() }, 5*time.Second).Should(BeEquivalentTo(held / 4))
		answered := make(chan int, 1)
		go func() { answered <- get("other", 900<<10) }()
		Eventually(func() int64 { return bed.server.responses.first.Held() }, 5*time.Second).Should(BeNumerically(">", held/4))
		close(pause)
		Eventually(answered, 5*time.Second).Should(Receive(Equal(900 << 10)))
	})

	It("may have exactly the largest size, and are unknown beyond it", func() {
		// Guards against a limit that is off by one, and against a part that passes for all.
		for _, size := range []int{freeResponseBytes, freeResponseBytes + 1, firstResponseBytes, firstResponseBytes + 1, 2 * held} {
			Expect(get("draft", size)).To(Equal(size))
		}
		Expect(get("draft", 2*held+1)).To(Equal(-1))
		Expect(responder.lost.Load()).To(BeZero())
	})

	It("end with their deadline if there is no memory until then", func() {
		// Guards against a request that waits for memory without a limit.
		pause := make(chan struct{})
		defer close(pause)
		responder.pause = pause
		for range 2 {
			go get("draft", 900<<10)
		}
		Eventually(func() int64 { return bed.server.responses.first.Held() }, 5*time.Second).Should(BeEquivalentTo(held / 4))
		started := time.Now()
		Expect(get("draft", 900<<10, HeaderDeadlineMillis, "500")).To(Equal(-1))
		Expect(time.Since(started)).To(BeNumerically("~", 500*time.Millisecond, 400*time.Millisecond))
		Expect(responder.lost.Load()).To(BeEquivalentTo(1))
	})
})
