package httpbacking_test

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/backing/httpbacking"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/standin/fault"
	standins "github.com/auburnbend/auburnbend/standin/platform"
)

var _ = Describe("HTTP clients", func() {
	ctx := context.Background()
	var (
		p      *standins.Platform
		server *httptest.Server
	)
	client := func(path string) httpbacking.Config {
		return httpbacking.Config{URL: server.URL + path, Timeout: 200 * time.Millisecond}
	}
	put := func(key string, condition backing.Condition, version uint64) backing.Transaction {
		return backing.Transaction{Writes: []backing.Write{{Table: "t", Key: key, Condition: condition, Version: version, Value: []byte("x")}}}
	}
	BeforeEach(func() {
		p = standins.New(standins.Config{WeightStoreRate: 100})
		server = httptest.NewUnstartedServer(p.Handler())
		server.Config.ErrorLog = log.New(io.Discard, "", 0)
		server.Start()
		DeferCleanup(server.Close)
	})

	It("commits, reads, scans and reports the index of a conflicting write", func() {
		t := httpbacking.NewTable(client(standins.TablePath))
		Expect(t.Commit(ctx, put("a", backing.IfAbsent, 0))).To(Succeed())
		Expect(t.Commit(ctx, put("b&c", backing.Always, 0))).To(Succeed())
		row, err := t.Get(ctx, "t", "b&c")
		Expect(err).NotTo(HaveOccurred())
		Expect(row.Value).To(Equal([]byte("x")))
		Expect(t.Scan(ctx, "t", "", "a", 10)).To(HaveLen(1))
		tx := put("d", backing.IfAbsent, 0)
		tx.Writes = append(tx.Writes, put("a", backing.IfVersion, 7).Writes...)
		var conflict *backing.ConflictError
		Expect(errors.As(t.Commit(ctx, tx), &conflict)).To(BeTrue())
		Expect(conflict.Index).To(Equal(1))
		_, err = t.Get(ctx, "t", "d")
		Expect(errors.Is(err, backing.ErrNotFound)).To(BeTrue())
	})

	// Guards against reporting a write that took effect as not applied, which
	// would make its caller retry it.
	DescribeTable("maps failed writes to errors", func(f fault.Faults, want error, applied bool) {
		t := httpbacking.NewTable(client(standins.TablePath))
		p.Table.Faults.Set(f)
		Expect(errors.Is(t.Commit(ctx, put("a", backing.IfAbsent, 0)), want)).To(BeTrue())
		p.Table.Faults.Set(fault.Faults{})
		_, err := t.Get(ctx, "t", "a")
		Expect(err == nil).To(Equal(applied))
	},
		Entry("rejected by the service", fault.Faults{Down: true}, backing.ErrNotApplied, false),
		Entry("response lost after the write took effect", fault.Faults{LoseAfter: 1}, backing.ErrUnknown, true),
		Entry("lost before the write took effect", fault.Faults{LoseBefore: 1}, backing.ErrUnknown, false),
		Entry("timed out", fault.Faults{Stall: true}, backing.ErrUnknown, false),
	)

	It("reports a write as not applied if no connection was established", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		url := "http://" + listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		t := httpbacking.NewTable(httpbacking.Config{URL: url})
		Expect(errors.Is(t.Commit(ctx, put("a", backing.Always, 0)), backing.ErrNotApplied)).To(BeTrue())
		_, err = t.Get(ctx, "t", "a")
		Expect(errors.Is(err, backing.ErrUnavailable)).To(BeTrue())
	})

	It("reports a write with an invalid or failed response as unknown", func() {
		status := http.StatusInternalServerError
		broken := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		DeferCleanup(broken.Close)
		t := httpbacking.NewTable(httpbacking.Config{URL: broken.URL})
		for _, status = range []int{http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusConflict} {
			Expect(errors.Is(t.Commit(ctx, put("a", backing.Always, 0)), backing.ErrUnknown)).To(BeTrue())
		}
		status = http.StatusTooManyRequests
		Expect(errors.Is(t.Commit(ctx, put("a", backing.Always, 0)), backing.ErrNotApplied)).To(BeTrue())
	})

	It("never overwrites an object", func() {
		o := httpbacking.NewObjects(client(standins.ObjectPath))
		Expect(o.PutIfAbsent(ctx, "m/a b", []byte("1"))).To(Succeed())
		Expect(errors.Is(o.PutIfAbsent(ctx, "m/a b", []byte("2")), backing.ErrExists)).To(BeTrue())
		Expect(o.Get(ctx, "m/a b")).To(Equal([]byte("1")))
	})

	It("reads ranges and reports throttling and truncated streams", func() {
		p.Origin.Put("w", []byte("0123456789"))
		s := httpbacking.NewSource(client(standins.OriginPath))
		r, err := s.ReadRange(ctx, "w", 3, 4)
		Expect(err).NotTo(HaveOccurred())
		Expect(io.ReadAll(r)).To(Equal([]byte("3456")))
		Expect(r.Close()).To(Succeed())
		p.Origin.Faults.Set(fault.Faults{CutAfter: 2})
		r, err = s.ReadRange(ctx, "w", 0, 8)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(r)
		Expect(err).To(HaveOccurred())
		_, err = s.ReadRange(ctx, "absent", 0, 1)
		Expect(errors.Is(err, backing.ErrNotFound)).To(BeTrue())

		p.WeightStore.Put("w", make([]byte, 500))
		ws := httpbacking.NewSource(client(standins.WeightStorePath))
		r, err = ws.ReadRange(ctx, "w", 0, 500)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Close()).To(Succeed())
		_, err = ws.ReadRange(ctx, "w", 0, 1)
		var throttled *backing.ThrottledError
		Expect(errors.As(err, &throttled)).To(BeTrue())
		Expect(throttled.RetryAfter).To(BeNumerically(">=", 3*time.Second))
	})

	It("lists instances", func() {
		p.Instances.Set(backing.Instance{ID: "a", Role: backing.RoleAgent, Location: model.Location{Region: "r", FailureDomain: "d"}, Address: "10.0.0.1:80"})
		Expect(httpbacking.NewInstances(client(standins.InstancePath)).List(ctx)).To(HaveExactElements(HaveField("ID", model.InstanceID("a"))))
	})
})
