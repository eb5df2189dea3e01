package reservation

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestReservation(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reservation")
}

var _ = Describe("Guard", func() {
	entry, agent := Process{"entry-1", 7}, Process{"agent-1", 9}

	// Guards against a token running twice, whatever the order of arrival.
	It("accepts each number once and none below the window", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			g := NewGuard(Config{Window: 128}, agent)
			used := make(map[uint64]bool)
			var top uint64
			for range 200 {
				seq := rapid.Uint64Range(1, 600).Draw(t, "sequence")
				if rapid.Bool().Draw(t, "near") {
					seq = top + 1 - min(top, rapid.Uint64Range(0, 140).Draw(t, "back"))
				}
				v := g.Redeem(Token{Issuer: entry, Agent: agent, Sequence: seq})
				switch {
				case v == VerdictAccepted && used[seq]:
					t.Fatalf("token %d was accepted twice", seq)
				case v == VerdictUsed && !used[seq]:
					t.Fatalf("token %d was reported as used, but was not", seq)
				case v == VerdictTooOld && seq+128 > top:
					t.Fatalf("token %d was reported as too old, but is within the window below %d", seq, top)
				}
				used[seq] = used[seq] || v == VerdictAccepted
				if v == VerdictAccepted {
					top = max(top, seq)
				}
			}
		})
	})

	It("rejects tokens for another generation and sequence number 0", func() {
		g := NewGuard(Config{}, agent)
		t := NewIssuer(entry).Issue(Process{"agent-1", 8})
		Expect(g.Redeem(t)).To(Equal(VerdictWrongAgent))
		Expect(g.Redeem(Token{Issuer: entry, Agent: agent})).To(Equal(VerdictInvalid))
	})

	It("limits the number of windows and never evicts one", func() {
		g := NewGuard(Config{MaxIssuers: 1}, agent)
		Expect(g.Redeem(Token{Issuer: entry, Agent: agent, Sequence: 1})).To(Equal(VerdictAccepted))
		Expect(g.Redeem(Token{Issuer: Process{"entry-2", 1}, Agent: agent, Sequence: 1})).To(Equal(VerdictTooManyIssuers))
		Expect(g.Redeem(Token{Issuer: entry, Agent: agent, Sequence: 1})).To(Equal(VerdictUsed))
	})

	It("parses encoded tokens and rejects malformed ones", func() {
		t := NewIssuer(entry).Issue(agent)
		Expect(ParseToken(t.String())).To(Equal(t))
		for _, s := range []string{"", "a~1~b~2", "a~1~b~2~x", "~1~b~2~3", t.String() + "~1"} {
			_, err := ParseToken(s)
			Expect(err).To(MatchError(ErrMalformed), s)
		}
	})
})
