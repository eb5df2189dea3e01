package caller

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// waitingHandler ends a request of the service "slow" when its context ends, and any other
// at once.
type waitingHandler struct{}

func (waitingHandler) Handle(ctx context.Context, r *Request, w ResponseWriter) {
	if r.Service.Name != "slow" {
		w.End(Result{Outcome: outcome.Completed})
		return
	}
	<-ctx.Done()
	if !errors.Is(context.Cause(ctx), ErrDrainEnded) {
		return
	}
	w.End(Result{Outcome: outcome.Unknown, Reason: outcome.ReasonDraining})
}

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

	Context("with requests in progress", func() {
		var server *Server
		var address string
		type answer struct {
			status int
			reason string
			closes bool
			err    error
		}
		send := func(service string, limit time.Duration) answer {
			request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/services/"+service, nil)
			Expect(err).NotTo(HaveOccurred())
			request.Header.Set(HeaderTenant, "huye")
			request.Header.Set(HeaderDeadlineMillis, strconv.FormatInt(limit.Milliseconds(), 10))
			client := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
			resp, err := client.Do(request)
			if err != nil {
				return answer{err: err}
			}
			_ = resp.Body.Close()
			return answer{status: resp.StatusCode, reason: resp.Header.Get(HeaderReason), closes: resp.Close}
		}
		sendSlow := func() <-chan answer {
			answers := make(chan answer, 1)
			go func() {
				defer GinkgoRecover()
				answers <- send("slow", time.Minute)
			}()
			Eventually(server.running.Load).Should(BeEquivalentTo(1))
			return answers
		}
		drain := func(ctx context.Context) <-chan error {
			drained := make(chan error, 1)
			go func() { drained <- server.Drain(ctx) }()
			return drained
		}

		BeforeEach(func() {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			address = listener.Addr().String()
			cfg := &config.Config{
				Services: []config.Service{{Name: "slow"}, {Name: "draft", Repeatable: true}, {Name: "order", Kind: config.KindPlain}},
				Tenants:  []config.Tenant{{Name: "huye"}},
			}
			server = NewServer(Config{
				Listener: listener, Clock: clock.System{}, Current: func() *config.Config { return cfg },
				Handler: waitingHandler{}, Log: eventlog.Discard(),
			})
			go func() { _ = server.Run() }()
			Eventually(func() int { return send("order", time.Second).status }).Should(Equal(http.StatusOK))
		})

		It("accepts only those late requests that must not be repeated and end in time", func() {
			// Guards against requests that are taken though they may be cut off at the end of
			// the drain, and against refusals of requests that need not be refused.
			slow := sendSlow()
			ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
			defer cancel()
			drained := drain(ctx)
			Eventually(server.drain.responsesDue.Load).ShouldNot(BeNil())
			Expect(send("order", time.Second)).To(Equal(answer{status: http.StatusOK, closes: true}))
			refused := answer{status: http.StatusServiceUnavailable, reason: string(outcome.ReasonDraining), closes: true}
			Expect(send("order", time.Minute)).To(Equal(refused))
			Expect(send("draft", time.Second)).To(Equal(refused))
			Eventually(slow, 4*time.Second).Should(Receive(Equal(answer{status: http.StatusGatewayTimeout, reason: string(outcome.ReasonDraining), closes: true})))
			Eventually(drained, 2*time.Second).Should(Receive(BeNil()))
		})

		It("sends final responses when the drain is aborted", func() {
			// Guards against connections that are cut with no answer at a second signal.
			slow := sendSlow()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			drained := drain(ctx)
			Eventually(server.drain.responsesDue.Load).ShouldNot(BeNil())
			cancel()
			Eventually(drained, time.Second).Should(Receive(MatchError(context.Canceled)))
			Eventually(slow, 100*time.Millisecond).Should(Receive(Equal(answer{status: http.StatusGatewayTimeout, reason: string(outcome.ReasonDraining), closes: true})))
			server.Close(0)
		})
	})
})
