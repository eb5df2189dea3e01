package connlimit_test

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/connlimit"
)

var _ = Describe("Limiter", func() {
	start := time.Unix(1000, 0)
	after := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	var closed []string
	admit := func(l *connlimit.Limiter, name string, now time.Time) *connlimit.Slot {
		s, _ := l.Admit(now, func() { closed = append(closed, name) }, false)
		return s
	}
	BeforeEach(func() { closed = nil })

	It("closes the connection with the oldest progress for a new one", func() {
		// Guards against clients that open connections and shut out all others.
		l := connlimit.New(3)
		first := admit(l, "first", after(0))
		admit(l, "second", after(1))
		admit(l, "third", after(2))
		first.Progress(after(3))
		Expect(admit(l, "fourth", after(4))).NotTo(BeNil())
		Expect(admit(l, "fifth", after(5))).NotTo(BeNil())
		Expect(closed).To(Equal([]string{"second", "third"}))
		Expect(first.Keep()).To(BeTrue())
	})

	It("never closes a connection that is kept", func() {
		// Guards against a request that runs and whose answer is lost.
		l := connlimit.New(1)
		s := admit(l, "first", after(0))
		Expect(s.Keep()).To(BeTrue())
		Expect(admit(l, "second", after(60))).To(BeNil())
		Expect(closed).To(BeEmpty())
		s.Progress(after(61))
		Expect(admit(l, "third", after(62))).NotTo(BeNil())
		Expect(closed).To(Equal([]string{"first"}))
		// A request that is read from now on must not run.
		Expect(s.Keep()).To(BeFalse())
		s.Progress(after(63))
		s.Release()
		open, closedCount, refused := l.Stats()
		Expect([]int64{int64(open), closedCount, refused}).To(Equal([]int64{1, 1, 1}))
	})

	It("leaves a connection that has just made progress the time to send its request", func() {
		// Guards against a quick succession of connections, each of which closes the one before.
		l := connlimit.New(1)
		admit(l, "first", start)
		s, wait := l.Admit(start.Add(10*time.Millisecond), func() {}, false)
		Expect(s).To(BeNil())
		Expect(wait).To(BeNumerically(">", 0))
		Expect(closed).To(BeEmpty())
		Expect(admit(l, "second", start.Add(10*time.Millisecond).Add(wait))).NotTo(BeNil())
		Expect(closed).To(Equal([]string{"first"}))
		s, _ = l.Admit(start.Add(10*time.Millisecond).Add(wait), func() {}, true)
		Expect(s).NotTo(BeNil())
		Expect(closed).To(Equal([]string{"first", "second"}))
	})

	It("takes back the slot of a connection that is closed", func() {
		// Guards against a listener that refuses all connections after a while.
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		limited := connlimit.Listen(ln, 1)
		DeferCleanup(limited.Close)
		for range 3 {
			client, err := net.Dial("tcp", ln.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(client.Close)
			conn, err := limited.Accept()
			Expect(err).NotTo(HaveOccurred())
			Expect(connlimit.Keep(conn)).To(BeTrue())
			Expect(conn.Close()).To(Succeed())
			open, _, _ := limited.Limiter.Stats()
			Expect(open).To(BeZero())
		}
	})
})
