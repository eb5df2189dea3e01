package caller

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/eventlog"
)

var _ = Describe("A server that drains", func() {
	It("closes each connection after its next response as soon as its readiness check fails", func() {
		// Guards against kept connections that are closed while a caller sends a request.
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := NewServer(Config{Listener: listener, Clock: clock.System{}, Current: func() *config.Config { return nil }, Log: eventlog.Discard()})
		go func() { _ = server.Run() }()
		DeferCleanup(func() { Expect(server.Drain(context.Background())).To(Succeed()) })
		client := &http.Client{Transport: &http.Transport{}}
		for _, draining := range []bool{false, true} {
			if draining {
				server.SetDraining()
			}
			Eventually(func(g Gomega) {
				resp, err := client.Post("http://"+listener.Addr().String()+"/v1/services/draft", "text/plain", nil)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.Body.Close()).To(Succeed())
				g.Expect(resp.Close).To(Equal(draining))
			}).Should(Succeed())
		}
	})

	It("answers a request whose body arrives while it stops", func() {
		// Guards against requests that are cut off because no other one is running.
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := NewServer(Config{Listener: listener, Clock: clock.System{}, Current: func() *config.Config { return nil }, Log: eventlog.Discard()})
		go func() { _ = server.Run() }()
		var conn net.Conn
		Eventually(func() error {
			conn, err = net.Dial("tcp", listener.Addr().String())
			return err
		}).Should(Succeed())
		defer conn.Close()
		Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		fmt.Fprint(conn, "POST /v1/services/draft HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhello")
		time.Sleep(100 * time.Millisecond)
		drained := make(chan error, 1)
		go func() { drained <- server.Drain(context.Background()) }()
		time.Sleep(200 * time.Millisecond)
		fmt.Fprint(conn, "hello")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(resp.Close).To(BeTrue())
		Eventually(drained, 5*time.Second).Should(Receive(BeNil()))
	})
})
