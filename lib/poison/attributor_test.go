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

	It("attributes a connection that was cut once its server has ended", func() {
		// Guards against crashes that nothing on the instance reports.
		c := NewAttributor()
		ended, first := c.Interrupted(now, "a", finger(1))
		Expect(ended).To(BeFalse())
		Expect(first).To(BeTrue())
		_, first = c.Interrupted(now, "a", finger(2))
		Expect(first).To(BeFalse())
		Expect(c.Ended(now.Add(time.Second), "a")).To(ConsistOf(finger(1), finger(2)))
		Expect(c.Ended(now.Add(time.Second), "a")).To(BeEmpty())
		ended, _ = c.Interrupted(now.Add(time.Second), "a", finger(3))
		Expect(ended).To(BeTrue(), "its connections end one after another")
	})

	It("attributes nothing to a server that goes on, or ends much later", func() {
		// Guards against sound requests that are held responsible for links that reset.
		c := NewAttributor()
		c.Interrupted(now, "a", finger(1))
		Expect(c.Ended(now, "b")).To(BeEmpty())
		Expect(c.Pending(now)).To(ConsistOf(model.InstanceID("a")))
		Expect(c.Ended(now.Add(pendingWindow+1), "a")).To(BeEmpty())
		Expect(c.Pending(now.Add(pendingWindow + 1))).To(BeEmpty())
	})

	It("takes an end back when the server gives a later sign of life", func() {
		c := NewAttributor()
		c.Interrupted(now, "a", finger(1))
		c.Ended(now, "a")
		c.RecordEnd(now, "b", now)
		Expect(c.MarkAlive("a", now)).To(BeFalse(), "as old as its end")
		Expect(c.MarkAlive("a", now.Add(1))).To(BeTrue())
		Expect(c.MarkAlive("a", now.Add(2))).To(BeFalse(), "once")
		Expect(c.MarkAlive("b", now.Add(1))).To(BeTrue())
	})

	It("returns each connection once, never one of a living server, and stays bounded", func() {
		// Guards against memory that grows with what hostile callers send.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			c := NewAttributor()
			at := now
			waiting := make(map[model.InstanceID]map[model.Fingerprint]time.Time)
			for step := range rapid.IntRange(1, 200).Draw(t, "steps") {
				at = at.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				server := model.InstanceID(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "server")))
				if rapid.IntRange(0, 3).Draw(t, "kind") > 0 {
					if ended, _ := c.Interrupted(at, server, finger(step)); !ended {
						if waiting[server] == nil {
							waiting[server] = make(map[model.Fingerprint]time.Time)
						}
						waiting[server][finger(step)] = at
					}
					continue
				}
				for _, f := range c.Ended(at, server) {
					cutAt, ok := waiting[server][f]
					if !ok || at.Sub(cutAt) > pendingWindow {
						t.Fatalf("%v at %s was not cut within the window", f, server)
					}
				}
				delete(waiting, server)
			}
		})
		c := NewAttributor()
		for i := range 3 * maxPending {
			c.Interrupted(now, model.InstanceID(fmt.Sprint(i)), finger(i))
			c.RecordEnd(now, model.InstanceID(fmt.Sprint(i)), now)
		}
		Expect(c.Pending(now)).To(HaveLen(maxPending))
		Expect(c.EndCount()).To(Equal(maxEnds))
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
		n, _ := m.Crashes(now, finger(f))
		return n
	}

	It("counts each start of a server once, whoever tells of it", func() {
		a, b := three(), three()
		a.Merge(now, *b.TopSuspects(now, 3, 10))
		Expect(crashes(a, 7)).To(Equal(3))
		Expect(a.TopSuspects(now, 4, 10)).To(BeNil())
	})

	It("clears a content that was answered, and tells so", func() {
		a, b := three(), three()
		b.Merge(now, *a.Answered(now, finger(7)))
		Expect(crashes(a, 7)).To(BeZero())
		Expect(crashes(b, 7)).To(BeZero())
	})

	It("takes back what was attributed to a server that survived", func() {
		// Guards against sound requests that an entry holds responsible which is cut off.
		a, b := three(), three()
		b.Merge(now, *a.Survived(now, "b/1"))
		Expect(crashes(a, 7)).To(Equal(2))
		Expect(crashes(b, 7)).To(Equal(2))
		Expect(a.Survived(now, "b/1")).To(BeNil())
	})

	It("counts answers of a content that was a suspect once", func() {
		// Guards against popular content that is quarantined in the second wave of crashes.
		m := New(Config{QuarantineCrashes: 3, MaxCredit: 4}, "", 0)
		m.Crashed(now, "first", 0, report(0, 7))
		for range 5 {
			m.Answered(now, finger(7))
		}
		for i := range 4 {
			m.Crashed(now, model.InstanceID(fmt.Sprint(i)), 0, report(0, 7))
		}
		Expect(crashes(m, 7)).To(BeZero())
	})

	It("lets earlier answers clear as many crashes, up to the credit", func() {
		m := New(Config{QuarantineCrashes: 3, MaxCredit: 4}, "", 0)
		for range 10 {
			m.Answered(now, finger(7))
		}
		for i := range 6 {
			m.Crashed(now, model.InstanceID(fmt.Sprint(i)), 0, report(0, 7))
		}
		Expect(crashes(m, 7)).To(Equal(2))
	})
})
