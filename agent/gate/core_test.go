package gate

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/wire"
)

var (
	v1 = model.Weights{Base: model.Sum([]byte("v1"))}
	v2 = model.Weights{Base: model.Sum([]byte("v2"))}
)

func requestStart(id model.AttemptID) *wire.RequestStart {
	return &wire.RequestStart{Attempt: id, Weights: v1, RemainingMillis: 60_000, Fingerprint: model.FingerprintOf("t", "s", []byte(id))}
}

type quarantineAll struct{}

func (quarantineAll) Quarantined(time.Time, model.Fingerprint) bool { return true }

var _ = Describe("Core", func() {
	now := time.Unix(1_800_000_000, 0)
	var c *Core
	BeforeEach(func() {
		c = NewCore(Config{Capacity: 2, ReplayBytes: 10, MaxWindowIDs: 64}, nil)
		c.SetLive([]model.Weights{v1})
	})
	reason := func(a Admission) outcome.Reason {
		if a.Decision != Refuse {
			return "not refused"
		}
		return a.Refusal.Reason
	}

	It("gives the reason of each refusal", func() {
		other := requestStart("a")
		other.Weights = v2
		Expect(reason(c.Admit(now, other))).To(Equal(outcome.ReasonWeightsMismatch))
		late := requestStart("b")
		late.RemainingMillis = 0
		Expect(reason(c.Admit(now, late))).To(Equal(outcome.ReasonDeadline))
		for _, id := range []model.AttemptID{"c", "d"} {
			Expect(c.Admit(now, requestStart(id)).Decision).To(Equal(Admit))
		}
		Expect(reason(c.Admit(now, requestStart("e")))).To(Equal(outcome.ReasonOverloaded))
		c.Drain()
		Expect(reason(c.Admit(now, requestStart("f")))).To(Equal(outcome.ReasonDraining))
		q := NewCore(Config{}, quarantineAll{})
		q.SetLive([]model.Weights{v1})
		Expect(reason(q.Admit(now, requestStart("g")))).To(Equal(outcome.ReasonQuarantined))
	})

	// Guards against a run of an attempt that was refused before, and against a refusal
	// of an attempt that is running or has run.
	It("refuses a refused ID permanently and ignores duplicates of an admitted one", func() {
		c.Drain()
		c.Admit(now, requestStart("a"))
		c.draining = false
		Expect(reason(c.Admit(now, requestStart("a")))).To(Equal(outcome.ReasonDraining))
		Expect(c.Admit(now, requestStart("b")).Decision).To(Equal(Admit))
		Expect(c.Admit(now, requestStart("b")).Decision).To(Equal(Ignore))
		c.End(now, "b", outcome.Completed, "", 200, "")
		c.Ack("b", 1)
		Expect(c.HasRecord("b")).To(BeFalse())
		Expect(c.Admit(now, requestStart("b")).Decision).To(Equal(Ignore))
		Expect(c.Reattach(now, &wire.Reattach{Attempt: "b"})).To(BeAssignableToTypeOf(&wire.ResponseEnd{}))
	})

	It("refuses IDs for which a Reattach or RequestCancel arrived before the start", func() {
		Expect(c.Reattach(now, &wire.Reattach{Attempt: "a"})).To(BeAssignableToTypeOf(&wire.RequestRefused{}))
		c.Cancel(now, "b")
		Expect(reason(c.Admit(now, requestStart("a")))).To(Equal(outcome.ReasonConnectionLost))
		Expect(reason(c.Admit(now, requestStart("b")))).To(Equal(outcome.ReasonCanceled))
	})

	// Guards against a refusal that the gate does not remember. A later copy of the
	// request could then run although the refusal proved that it did not.
	It("ignores a request if it has no room to remember the refusal", func() {
		c.Drain()
		refused := 0
		for i := range 100 {
			if c.Admit(now, requestStart(model.AttemptID(fmt.Sprint(i)))).Decision == Refuse {
				refused++
			}
		}
		Expect(refused).To(Equal(64))
		Expect(reason(c.Admit(now.Add(11*time.Minute), requestStart("later")))).To(Equal(outcome.ReasonDraining))
	})

	It("accepts no frames while the replay buffer is full, and keeps unconfirmed frames", func() {
		c.Admit(now, requestStart("a"))
		Expect(c.AppendFrame(now, "a", []byte("12345678"))).To(BeTrue())
		Expect(c.AppendFrame(now, "a", []byte("abc"))).To(BeFalse())
		c.Ack("a", 1)
		Expect(c.AppendFrame(now, "a", []byte("abc"))).To(BeTrue())
		Expect(c.MessageAt("a", 0)).To(HaveField("Outcome", outcome.Unknown), "the frame was dropped")
		Expect(c.MessageAt("a", 1)).To(HaveField("Data", []byte("abc")))
		c.End(now, "a", outcome.Completed, "", 200, "text/plain")
		Expect(c.MessageAt("a", 2)).To(HaveField("Digest", model.Sum([]byte("12345678abc"))))
	})

	// Guards against a non-repeatable call that blocks forever or is canceled because
	// its entry is lost.
	It("cancels only repeatable attempts whose entry does not reattach", func() {
		repeatable := requestStart("a")
		repeatable.Repeatable = true
		c.Admit(now, repeatable)
		c.Admit(now, requestStart("b"))
		c.Detach(now, "a")
		c.Detach(now, "b")
		c.AppendFrame(now, "b", []byte("1234567890"))
		Expect(c.Expire(now.Add(9 * time.Second))).To(BeEmpty())
		Expect(c.AppendFrame(now.Add(9*time.Second), "b", []byte("x"))).To(BeFalse())
		Expect(c.Expire(now.Add(10 * time.Second))).To(Equal([]model.AttemptID{"a"}))
		Expect(c.AppendFrame(now.Add(10*time.Second), "b", []byte("x"))).To(BeTrue())
		c.End(now, "b", outcome.Completed, "", 200, "")
		Expect(c.MessageAt("b", 1)).To(HaveField("Outcome", outcome.Unknown), "the response is truncated")
	})

	It("runs one suspect at a time", func() {
		a, b := requestStart("a"), requestStart("b")
		a.Suspect, b.Suspect = true, true
		Expect(c.Admit(now, a).Decision).To(Equal(Admit))
		Expect(reason(c.Admit(now, b))).To(Equal(outcome.ReasonOverloaded))
	})

	// Guards against a report without the attempts that ended because of the crash
	// before the report was created.
	It("reports the attempts that were in flight when the backend server crashed", func() {
		c.Admit(now, requestStart("a"))
		c.Admit(now, requestStart("b"))
		c.End(now, "a", outcome.Unknown, outcome.ReasonBackendCrashed, 0, "")
		Expect(c.CrashReport(now, 3).InFlight).To(ConsistOf(requestStart("a").Fingerprint, requestStart("b").Fingerprint))
		Expect(c.CrashReport(now, 4).InFlight).To(Equal([]model.Fingerprint{requestStart("b").Fingerprint}))
	})
})

// BenchmarkAttempt measures one admitted attempt with 100 confirmed frames of 20 bytes.
func BenchmarkAttempt(b *testing.B) {
	c := NewCore(Config{DuplicateWindow: time.Second}, nil)
	c.SetLive([]model.Weights{v1})
	now := time.Now()
	piece := make([]byte, 20)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		id := model.AttemptID(fmt.Sprint(i))
		if c.Admit(now, requestStart(id)).Decision != Admit {
			b.Fatal("not admitted")
		}
		for seq := range uint64(100) {
			c.AppendFrame(now, id, piece)
			_ = c.MessageAt(id, seq)
			c.Ack(id, seq+1)
		}
		c.End(now, id, outcome.Completed, "", 200, "")
		c.Ack(id, 101)
	}
}
