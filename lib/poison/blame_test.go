package poison

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

var _ = Describe("FindBlame", func() {
	const (
		sound, shared, crashing = 1, 2, 3
		quarantine              = 3
	)
	now := time.Unix(1_800_000_000, 0)
	fps := func(ids ...int) []model.Fingerprint {
		var list []model.Fingerprint
		for _, id := range ids {
			list = append(list, fp(id))
		}
		return list
	}
	newParts := func() *Monitor {
		return New(Config{QuarantineCrashes: quarantine, SoundFor: time.Minute}, "", 0)
	}
	servers := 0
	// crash ends one server that runs requests with the given parts.
	crash := func(m *Monitor, parts ...int) {
		servers++
		m.Crashed(now, model.InstanceID(fmt.Sprint("server-", servers)), 0, wire.CrashReport{InFlight: fps(parts...)})
	}
	blamed := func(m *Monitor, parts ...int) bool {
		return FindBlame(now, Evidence{Monitor: m, Own: fps(parts...)}) != nil
	}

	It("blames a part with which as many servers crashed as quarantine takes", func() {
		m := newParts()
		for range quarantine - 1 {
			crash(m, crashing)
			Expect(blamed(m, crashing)).To(BeFalse())
		}
		crash(m, crashing)
		Expect(blamed(m, sound, crashing)).To(BeTrue())
		Expect(blamed(m, sound)).To(BeFalse())
	})

	It("lets a request with one of two parts run that were always seen together", func() {
		// Guards against refusing sound requests for a part that they share with crashing
		// ones, and that was never in a response.
		m := newParts()
		for range quarantine {
			crash(m, shared, crashing)
		}
		Expect(blamed(m, shared, crashing)).To(BeTrue())
		Expect(blamed(m, shared, sound)).To(BeFalse())
		Expect(blamed(m, crashing, sound)).To(BeFalse())
		crash(m, crashing, sound)
		Expect(blamed(m, crashing, sound)).To(BeTrue())
		Expect(blamed(m, shared, sound)).To(BeFalse())
	})

	It("does not blame what ran beside a crashing part on the same servers", func() {
		m := newParts()
		for i := range 2 * quarantine {
			crash(m, crashing, sound, 10+i)
		}
		Expect(blamed(m, sound)).To(BeFalse())
		Expect(blamed(m, crashing)).To(BeFalse(), "no crash has told the two apart")
		crash(m, crashing)
		Expect(blamed(m, crashing)).To(BeTrue())
	})

	It("does not count crashes within a minute after a response, however many there are", func() {
		// Guards against refusing all requests after a crash of all servers at once.
		m := newParts()
		m.Answered(now, fp(sound))
		for range 90 {
			crash(m, sound)
		}
		Expect(blamed(m, sound)).To(BeFalse())
	})

	It("does not blame a part for the crashes of a quarantined content", func() {
		contents, parts := New(Config{QuarantineCrashes: quarantine, MaxCredit: 16}, "", 0), newParts()
		const content, other = 20, 21
		for range quarantine {
			crash(parts, shared)
			contents.Crashed(now, model.InstanceID(fmt.Sprint("server-", servers)), 0, wire.CrashReport{InFlight: fps(content)})
		}
		find := func(content, part int) *Blame {
			return FindBlame(now, Evidence{Monitor: contents, Own: fps(content)}, Evidence{Monitor: parts, Own: fps(part)})
		}
		Expect(find(content, shared)).NotTo(BeNil())
		Expect(find(other, shared)).To(BeNil())
		crash(parts, shared)
		Expect(find(other, shared)).NotTo(BeNil(), "another content has crashed a server as well")
	})

	It("finds the crashing part after few crashes and lets all sound requests run in the end", func() {
		// Guards against crashes without an end, and against sound parts that stay refused.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			m := newParts()
			others := rapid.IntRange(2, 6).Draw(t, "other parts")
			part := func(label string) int { return 100 + rapid.IntRange(1, others).Draw(t, label) }
			crashes := 0
			for range 60 {
				parts := []int{part("first"), part("second")}
				if rapid.IntRange(0, 2).Draw(t, "crashing") == 0 {
					parts[1] = crashing
				}
				if blamed(m, parts...) {
					continue
				}
				if parts[1] != crashing {
					for _, id := range parts {
						m.Answered(now, fp(id))
					}
					continue
				}
				crashes++
				beside := rapid.SliceOfN(rapid.IntRange(101, 100+others), 0, 3).Draw(t, "beside")
				crash(m, append(parts, beside...)...)
			}
			// One crash for each part that was always seen together with the crashing one.
			if most := quarantine + others; crashes > most {
				t.Fatalf("%d servers crashed, more than %d", crashes, most)
			}
			for id := 101; id <= 100+others; id++ {
				if blamed(m, id) {
					t.Fatalf("sound part %d is blamed", id)
				}
			}
		})
	})
})
