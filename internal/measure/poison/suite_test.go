package poison

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPoison(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "poison measurement")
}

const (
	testSettle = 500 * time.Millisecond
	testSeeds  = 8
)

var _ = Describe("one poison request, 4 entries, 30 agents", func() {
	params := func(callers int, slow bool, seed uint64) Params {
		return Params{Entries: 4, Agents: 30, Callers: callers, SendsPerCaller: 10, Settle: testSettle, StartDelay: time.Second, SlowUpdates: slow, Seed: seed}
	}

	// Guards against more than two lost backend servers when the caller sends
	// again under new ids to any entry, also when reports and updates cross.
	DescribeTable("loses at most two backend servers and no innocent request", func(slow bool) {
		for seed := range uint64(testSeeds) {
			r := Simulate(params(1, slow, seed))
			Expect(r.LostServers).To(Equal(2), "seed %d", seed)
			Expect(r.UnsuspectedDispatches).To(Equal(1), "seed %d", seed)
			Expect(r.Quarantined).To(BeZero(), "seed %d", seed)
			Expect(r.Answered).To(Equal(r.Innocents), "seed %d", seed)
		}
	}, Entry("with fast updates", false), Entry("with updates as slow as the guarantee allows", true))

	// Guards the stated guarantee for dispatches of the unknown fingerprint at
	// the same time on several entries.
	DescribeTable("loses no more than the concurrent first dispatches, or two", func(callers int) {
		for seed := range uint64(testSeeds) {
			r := Simulate(params(callers, true, seed))
			Expect(r.UnsuspectedDispatches).To(BeNumerically("<=", callers), "seed %d", seed)
			Expect(r.LostServers).To(BeNumerically("<=", max(2, callers)), "seed %d", seed)
		}
	}, Entry("two", 2), Entry("four", 4))

	// Guards innocent content that is sent again and again and is in flight on two
	// backend servers that crash at the same time.
	It("does not quarantine content that was answered before", func() {
		for seed := range uint64(testSeeds) {
			p := params(2, false, seed)
			p.StartDelay = 15 * time.Second
			Expect(Simulate(p).Quarantined).To(BeZero(), "seed %d", seed)
		}
	})

	// Guards against a simulation that would pass whatever the monitors do.
	It("loses more without the monitors", func() {
		p := params(1, false, 1)
		p.Baseline = true
		Expect(Simulate(p).LostServers).To(Equal(p.SendsPerCaller * (1 + baselineRetries)))
	})

	It("prints its figures", func() {
		var out bytes.Buffer
		cmd := New()
		cmd.SetOut(&out)
		cmd.SetArgs([]string{"--rounds", "2"})
		Expect(cmd.Execute()).To(Succeed())
		Expect(out.String()).To(ContainSubstring(`"name":"poison_backend_servers_lost_max","value":2`))
	})
})
