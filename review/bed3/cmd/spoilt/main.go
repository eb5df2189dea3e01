// Command spoilt shows what callers get when one byte of an answer is wrong: the version in its
// first line. TROUBLE=0 leaves the answers as they are. It exits with 1 if a caller got a success
// with another body than the runner's, 0 if none did, and 2 if it could not run.
package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnbend/auburnbend/review/bed3"
)

const (
	requests = 2000
	// callers send at the same time, so that both runners get requests.
	callers = 4
	// spoiltEvery is 1/x of garble: x is 0.02.
	spoiltEvery = 50
)

func main() { os.Exit(run()) }

func run() int {
	b, err := bed3.New(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer b.Close()
	entry, err := start(b, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	caller := b.NewCaller()
	var mu sync.Mutex
	var calling sync.WaitGroup
	broken, served := 0, 0
	for n := range callers {
		calling.Go(func() {
			for i := n; i < requests; i += callers {
				id, path := fmt.Sprintf("a%04d", i), "/status/book"
				if i/callers%2 == 1 {
					path = "/order/book"
				}
				a := caller.Send(entry, "POST", path, id, "for "+id, 1500*time.Millisecond)
				if a.Status/100 != 2 || a.Err != nil {
					continue
				}
				mu.Lock()
				if served++; a.Body != bodyOf(id) {
					broken++
					b.Note("MIXED: request %s has success %d with body %q; the runner's is %q", id, a.Status, a.Body, bodyOf(id))
				}
				mu.Unlock()
			}
		})
	}
	calling.Wait()
	fmt.Printf("%d of %d requests have success, %d of them with another body than the runner's\n", served, requests, broken)
	switch {
	case served < requests/2:
		return 2
	case broken > 0:
		return 1
	}
	return 0
}

func bodyOf(id string) string { return "booked " + id }

// start starts an entry and two runners, of which one spoils answers.
func start(b *bed3.Bed, trouble bool) (*bed3.Entry, error) {
	b.PutConfig(1, bed3.NewRoute("/status/", "idempotent"), bed3.NewRoute("/order/", "non_idempotent"))
	var count atomic.Int64
	for number := range 2 {
		name := fmt.Sprintf("i-%08x", 0x7f3a91c2+number)
		err := b.StartServer(20+number, name, func(x *bed3.Exchange) {
			x.Body()
			time.Sleep(3 * time.Millisecond)
			version := "HTTP/1.1"
			if trouble && number == 0 && count.Add(1)%spoiltEvery == 0 {
				version = "HTTP/1.0"
				b.Note("server %s spoils one byte of its answer to %s", name, x.ID)
			}
			body := bodyOf(x.ID)
			_, _ = fmt.Fprintf(x.Conn, "%s 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", version, bed3.AnswerHead(x.ID), len(body), body)
		})
		if err != nil {
			return nil, err
		}
	}
	return b.StartEntry(bed3.Settings{Name: "edge-kigali-a-1", IP: b.IP(10), Zone: "kigali-a", Store: b.Store.Address()})
}
