package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnbend/auburnbend/platform/platformtest"
)

const (
	host      = "bookings.example"
	apiKey    = "key-of-the-depot"
	bodyBytes = 4 << 20

	// serverCount, slots and workTime are those of the booking service.
	serverCount = 3
	slots       = 6
	workTime    = 30 * time.Millisecond

	callersPort, readyPort, peerPort, serverPort = 8005, 8002, 7700, 9000
	// timeout is the time limit of callers.
	timeout = 5 * time.Second
	// refusedPause bounds the time after which a refused caller sends its next request.
	refusedPause = 50 * time.Millisecond
)

// bed is a deployment of two entries with a store and three servers.
type bed struct {
	wire    *wire
	entries []*entry
	store   *platformtest.Store
	servers []net.Listener
	client  *http.Client
	subnet  int
	began   time.Time
	runs    atomic.Int64
	sent    atomic.Int64

	mu       sync.Mutex
	lines    []string
	statuses map[string]int
}

func newBed(dir, program string, w *wire, trouble bool) (*bed, error) {
	b := &bed{
		wire:  w,
		store: platformtest.NewStore(), subnet: 100 + rand.IntN(100), began: time.Now(), statuses: make(map[string]int),
		client: &http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2 * usualCallers}},
	}
	b.note("trouble: %t", trouble)
	b.store.Put("op", "config", w.Config)
	for i := range serverCount {
		if err := b.startServer(i); err != nil {
			b.close()
			return nil, err
		}
	}
	for i := range minEntries {
		if err := b.startEntry(dir, program, i); err != nil {
			b.close()
			return nil, err
		}
	}
	return b, nil
}

func (b *bed) ip(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", b.subnet, group, number+1)
}

// startServer starts and registers a server that runs slots requests at a time and queues
// the others.
func (b *bed) startServer(number int) error {
	address := fmt.Sprintf("%s:%d", b.ip(2, number), serverPort)
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	b.servers = append(b.servers, ln)
	id, running := fmt.Sprintf("i-%d", number), make(chan struct{}, slots)
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			running <- struct{}{}
			defer func() { <-running }()
			b.runs.Add(1)
			time.Sleep(workTime)
			attempt := r.Header.Get(b.wire.AttemptHeader)
			w.Header().Set(b.wire.AttemptHeader, attempt)
			w.Header().Set(b.wire.SignatureHeader, id+"."+attempt)
			_, _ = io.WriteString(w, "booked")
		}))
	}()
	row := maps.Clone(b.wire.Server)
	row["address"], row["born"] = address, time.Now().UnixMilli()
	b.store.Put("servers", id, row)
	return nil
}

func (b *bed) startEntry(dir, program string, number int) error {
	e := &entry{
		name: fmt.Sprintf("edge-leinster-a-%d", number+1), ip: b.ip(1, number), program: program, note: b.note,
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	e.settings, e.logs = filepath.Join(dir, e.name+".yaml"), filepath.Join(dir, e.name+".log")
	instance := platformtest.Instance{
		Name: e.name, IP: e.ip, Domain: "leinster-a", Region: "leinster", Regions: map[string]string{"leinster-a": "leinster"},
		CallerPort: callersPort, ReadyPort: readyPort, FirstPort: peerPort, StoreAddress: b.store.Address(),
		Bounds: platformtest.Bounds{
			DrainMS: 2000, StopMS: 8000, ConfigMS: 2000, StabilityMS: 3000, VersionMS: 8000, RetryRatio: 0.2, RetrySlack: 102, RetryWindowS: 10,
		},
	}
	settings := strings.Replace(instance.Settings(), "memory_mb: 256", "memory_mb: 284", 1)
	if err := os.WriteFile(e.settings, []byte(settings), 0o600); err != nil {
		return err
	}
	b.entries = append(b.entries, e)
	go e.supervise()
	return nil
}

var errNotReady = errors.New("an entry did not become ready")

func (b *bed) awaitReady() error {
	for _, e := range b.entries {
		deadline := time.Now().Add(10 * time.Second)
		for !platformtest.Ready(http.DefaultClient, fmt.Sprintf("%s:%d", e.ip, readyPort)) {
			if time.Now().After(deadline) {
				return errNotReady
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// send keeps a number of requests in progress at each entry for a time.
func (b *bed) send(callers int, d time.Duration) {
	b.note("%d callers at each entry for %v", callers, d)
	until := time.Now().Add(d)
	var running sync.WaitGroup
	for _, e := range b.entries {
		for range callers {
			running.Go(func() {
				for time.Now().Before(until) {
					if status := b.call(e); status != "200" {
						time.Sleep(refusedPause)
					}
				}
			})
		}
	}
	running.Wait()
}

// body is the body of all requests.
var body = strings.Repeat("x", bodyBytes)

// call sends one request and returns the status of the answer, or how the channel ended.
func (b *bed) call(e *entry) string {
	call := platformtest.Call{
		Host: host, Path: "/book/clean", AttemptID: fmt.Sprintf("%016x", b.sent.Add(1)), APIKey: apiKey, Timeout: timeout, LastEventID: -1, Body: body,
	}
	r, err := call.Request(context.Background(), fmt.Sprintf("%s:%d", e.ip, callersPort))
	if err != nil {
		return err.Error()
	}
	status := "none: no channel, or it ended"
	if resp, err := b.client.Do(r); err == nil {
		if _, err := io.Copy(io.Discard, resp.Body); err == nil {
			status = fmt.Sprint(resp.StatusCode)
		}
		_ = resp.Body.Close()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.statuses[status]++
	return status
}

func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = append(b.lines, fmt.Sprintf("%8.3f s  ", time.Since(b.began).Seconds())+fmt.Sprintf(format, args...))
}

// close ends all processes and stand-ins.
func (b *bed) close() {
	for _, e := range b.entries {
		close(e.stop)
		<-e.done
	}
	for _, ln := range b.servers {
		_ = ln.Close()
	}
	b.store.Close()
}
