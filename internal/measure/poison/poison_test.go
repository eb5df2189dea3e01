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

var _ = Describe("a poison request with 4 entries and 30 agents", func() {
	params := func(callers int, slow bool, seed uint64) Params {
		return Params{Entries: 4, Agents: 30, Callers: callers, SendsPerCaller: 10, Settle: testSettle, StartDelay: time.Second, SlowUpdates: slow, Seed: seed}
	}

	// Guards against losing more than two backend servers when the caller sends
	// the request again under new request IDs to any entry, including when crash
	// reports and updates between entries arrive out of order.
	DescribeTable("loses at most two backend servers and no innocent request", func(slow bool) {
		for seed := range uint64(testSeeds) {
			r := Simulate(params(1, slow, seed))
			Expect(r.LostServers).To(Equal(2), "seed %d", seed)
			Expect(r.UnsuspectedDispatches).To(Equal(1), "seed %d", seed)
			Expect(r.Quarantined).To(BeZero(), "seed %d", seed)
			Expect(r.Answered).To(Equal(r.Innocents), "seed %d", seed)
		}
	}, Entry("with fast updates", false), Entry("with the slowest updates for which the guarantee holds", true))

	// Guards the guarantee when several entries dispatch the fingerprint at the
	// same time, before any of them knows of a crash.
	DescribeTable("loses at most two backend servers, or one for each concurrent first dispatch", func(callers int) {
		for seed := range uint64(testSeeds) {
			r := Simulate(params(callers, true, seed))
			Expect(r.UnsuspectedDispatches).To(BeNumerically("<=", callers), "seed %d", seed)
			Expect(r.LostServers).To(BeNumerically("<=", max(2, callers)), "seed %d", seed)
		}
	}, Entry("two", 2), Entry("four", 4))

	// Guards against the quarantine of innocent content that is sent repeatedly and
	// is in flight on two backend servers that crash at the same time.
	It("does not quarantine content that has completed before", func() {
		for seed := range uint64(testSeeds) {
			p := params(2, false, seed)
			p.StartDelay = 15 * time.Second
			Expect(Simulate(p).Quarantined).To(BeZero(), "seed %d", seed)
		}
	})

	// Guards against a simulation in which the specs above pass without monitors.
	It("loses more backend servers without the monitors", func() {
		p := params(1, false, 1)
		p.Baseline = true
		Expect(Simulate(p).LostServers).To(Equal(p.SendsPerCaller * (1 + baselineRetries)))
	})

	It("prints its figures", func() {
		var out bytes.Buffer
		cmd := NewCommand()
		cmd.SetOut(&out)
		cmd.SetArgs([]string{"--rounds", "2"})
		Expect(cmd.Execute()).To(Succeed())
		Expect(out.String()).To(ContainSubstring(`"name":"poison_backend_servers_lost_max","value":2`))
	})
})
