package poison

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/lib/model"
)

var _ = Describe("Attributor", func() {
	now := time.Unix(1_800_000_000, 0)

	It("attributes an interrupted exchange once its server has ended", func() {
		// Guards against missed crashes where nothing on the instance reports them.
		a := NewAttributor()
		ended, first := a.Interrupted(now, "a", fp(1))
		Expect(ended).To(BeFalse())
		Expect(first).To(BeTrue())
		_, first = a.Interrupted(now, "a", fp(2))
		Expect(first).To(BeFalse())
		Expect(a.Ended(now.Add(time.Second), "a")).To(ConsistOf(fp(1), fp(2)))
		Expect(a.Ended(now.Add(time.Second), "a")).To(BeEmpty())
		ended, _ = a.Interrupted(now.Add(time.Second), "a", fp(3))
		Expect(ended).To(BeTrue(), "its connections end one after another")
	})

	It("attributes nothing to a server that keeps running, or ends much later", func() {
		// Guards against blaming innocent requests for connections that the network has
		// reset.
		a := NewAttributor()
		a.Interrupted(now, "a", fp(1))
		Expect(a.Ended(now, "b")).To(BeEmpty())
		Expect(a.Pending(now)).To(ConsistOf(model.InstanceID("a")))
		Expect(a.Ended(now.Add(pendingWindow+1), "a")).To(BeEmpty())
		Expect(a.Pending(now.Add(pendingWindow + 1))).To(BeEmpty())
	})

	It("withdraws a recorded end if the server is seen alive later", func() {
		a := NewAttributor()
		a.Interrupted(now, "a", fp(1))
		a.Ended(now, "a")
		a.RecordEnd(now, "b", now)
		Expect(a.MarkAlive("a", now)).To(BeFalse(), "not later than its end")
		Expect(a.MarkAlive("a", now.Add(1))).To(BeTrue())
		Expect(a.MarkAlive("a", now.Add(2))).To(BeFalse(), "only once")
		Expect(a.MarkAlive("b", now.Add(1))).To(BeTrue())
	})

	It("returns each exchange once, none of another server, and stays bounded", func() {
		// Guards against memory that grows with what malicious callers send.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			a := NewAttributor()
			at := now
			waiting := make(map[model.InstanceID]map[model.Fingerprint]time.Time)
			for step := range rapid.IntRange(1, 200).Draw(t, "steps") {
				at = at.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				server := model.InstanceID(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "server")))
				if rapid.IntRange(0, 3).Draw(t, "kind") > 0 {
					if ended, _ := a.Interrupted(at, server, fp(step)); !ended {
						if waiting[server] == nil {
							waiting[server] = make(map[model.Fingerprint]time.Time)
						}
						waiting[server][fp(step)] = at
					}
					continue
				}
				for _, f := range a.Ended(at, server) {
					interruptedAt, ok := waiting[server][f]
					if !ok || at.Sub(interruptedAt) > pendingWindow {
						t.Fatalf("exchange %v on server %s was not interrupted within the window", f, server)
					}
				}
				delete(waiting, server)
			}
		})
		a := NewAttributor()
		for i := range 3 * maxPending {
			a.Interrupted(now, model.InstanceID(fmt.Sprint(i)), fp(i))
			a.RecordEnd(now, model.InstanceID(fmt.Sprint(i)), now)
		}
		Expect(a.Pending(now)).To(HaveLen(maxPending))
		Expect(a.EndCount()).To(Equal(maxEnds))
	})
})

var _ = Describe("Monitor without agents", func() {
	now := time.Unix(1_800_000_000, 0)
	three := func() *Monitor {
		m := New(Config{QuarantineCrashes: 3, MaxCredit: 4}, "", 0)
		for i, server := range []model.InstanceID{"a/1", "b/1", "c/1"} {
			m.Crashed(now.Add(time.Duration(i)), server, 0, report(0, 7))
		}
		return m
	}
	crashes := func(m *Monitor, f int) int {
		n, _ := m.Crashes(now, fp(f))
		return n
	}

	It("counts each incarnation of a server once, whoever reports it", func() {
		a, b := three(), three()
		a.Merge(now, *b.TopSuspects(now, 3, 10))
		Expect(crashes(a, 7)).To(Equal(3))
		Expect(a.TopSuspects(now, 4, 10)).To(BeNil())
	})

	It("clears a content with a response, and announces this", func() {
		a, b := three(), three()
		b.Merge(now, *a.Answered(now, fp(7)))
		Expect(crashes(a, 7)).To(BeZero())
		Expect(crashes(b, 7)).To(BeZero())
	})

	It("clears the crash of a server that survived", func() {
		// Guards against an entry that blames innocent requests because it is cut off.
		a, b := three(), three()
		b.Merge(now, *a.Survived(now, "b/1"))
		Expect(crashes(a, 7)).To(Equal(2))
		Expect(crashes(b, 7)).To(Equal(2))
		Expect(a.Survived(now, "b/1")).To(BeNil())
	})

	It("counts responses to a content that was a suspect once", func() {
		// Guards against quarantine of popular content in a second wave of crashes.
		m := New(Config{QuarantineCrashes: 3, MaxCredit: 4}, "", 0)
		m.Crashed(now, "first", 0, report(0, 7))
		for range 5 {
			m.Answered(now, fp(7))
		}
		for i := range 4 {
			m.Crashed(now, model.InstanceID(fmt.Sprint(i)), 0, report(0, 7))
		}
		Expect(crashes(m, 7)).To(BeZero())
	})

	It("lets earlier responses clear as many crashes, up to the credit", func() {
		m := New(Config{QuarantineCrashes: 3, MaxCredit: 4}, "", 0)
		for range 10 {
			m.Answered(now, fp(7))
		}
		for i := range 6 {
			m.Crashed(now, model.InstanceID(fmt.Sprint(i)), 0, report(0, 7))
		}
		Expect(crashes(m, 7)).To(Equal(2))
	})
})
