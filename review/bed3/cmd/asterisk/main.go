// Command asterisk shows what requesters get for a request whose target is not a path. TROUBLE=0
// asks for a path without a route in its place. It exits with 1 if a requester got a success
// without the signature of a runner, 0 if none did, and 2 if it could not run.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/auburnbend/auburnbend/review/bed3"
)

const asked = 20

func main() {
	code, err := run(os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println(err)
		code = 2
	}
	os.Exit(code)
}

func run(trouble bool) (int, error) {
	b, err := bed3.New(os.Args[1])
	if err != nil {
		return 2, err
	}
	defer b.Close()
	b.PutConfig(1, bed3.NewRoute("/status/", "idempotent"))
	err = b.StartServer(20, "i-7f3a91c2", func(x *bed3.Exchange) {
		x.Body()
		x.Done()
	})
	if err != nil {
		return 2, err
	}
	entry, err := b.StartEntry(bed3.Settings{Name: "edge-kigali-a-1", IP: b.IP(10), Zone: "kigali-a", Store: b.Store.Address()})
	if err != nil {
		return 2, err
	}
	target := "/never/"
	if trouble {
		target = "*"
	}
	unsigned, withKey := 0, 0
	for i := range asked {
		key := ""
		if i%2 == 0 {
			key = bed3.Name("key") + ": " + bed3.Name("scheme") + bed3.Key + "\r\n"
		}
		resp, err := send(entry.Callers, fmt.Sprintf("OPTIONS %s HTTP/1.1\r\nHost: bed.example\r\n%s: a%d\r\n%s: 1000\r\n%s\r\n", target, bed3.Name("attempt"), i, bed3.Name("deadline"), key))
		if err != nil {
			return 2, err
		}
		b.Note("OPTIONS %s, key %t: %d, signature %q", target, key != "", resp.StatusCode, resp.Header.Get(bed3.Name("signature")))
		if resp.StatusCode/100 == 2 && resp.Header.Get(bed3.Name("signature")) == "" {
			unsigned++
			if key != "" {
				withKey++
			}
		}
	}
	fmt.Printf("%d of %d requests have a success without a signature, %d of them with a key\n", unsigned, asked, withKey)
	if unsigned > 0 {
		return 1, nil
	}
	return 0, nil
}

// send sends a request on a channel of its own and returns the answer.
func send(address, request string) (*http.Response, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
		return nil, err
	}
	if _, err := io.Copy(conn, strings.NewReader(request)); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodOptions})
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}
