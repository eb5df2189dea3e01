package backend_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/wire"
)

var _ = Describe("Successor of an agent", func() {
	role := engine.Order{Kind: engine.OrderRole, Role: engine.RoleDecode}

	// Guards against an engine that has to load its weights again, and serves nothing while
	// they can't be fetched, because its agent ended during a change of role.
	DescribeTable("keeps the weights during a change of role", func(steps ...func(*harness)) {
		h := newHarness(GinkgoT())
		h.m.SetWanted(h.now, version("v1"))
		h.executeActions()
		h.runToCompletion()
		Expect(h.m.Phase()).To(Equal(wire.PhaseLive))
		Expect(h.m.SubmitOrder(h.now, role)).To(Succeed())
		h.executeActions()
		for _, step := range steps {
			step(h)
		}
		h.replaceAgent()
		h.m.SetWanted(h.now, version("v1"))
		h.executeActions()
		for range 20 {
			h.fetched(engine.ErrIncomplete)
			h.deliver()
			h.finish(true)
			h.readState(nil)
			h.advanceTime(time.Second)
		}
		Expect(h.served).To(Equal(version("v1")), "engine %+v, record %+v", h.state, h.recorded)
	},
		Entry("that is not sent"),
		Entry("that the engine has not received", read),
		Entry("that the engine carries out", read, (*harness).deliver),
		Entry("that the engine has carried out", read, (*harness).deliver, finish),
		Entry("that the engine has failed to carry out", read, (*harness).deliver, func(h *harness) { h.finish(false) }),
		Entry("that the engine has confirmed", read, (*harness).deliver, finish, reply),
		Entry("whose reply was lost", read, (*harness).deliver, finish, func(h *harness) { h.reply(engine.ErrMayHaveRun) }),
		Entry("that the agent has verified", read, (*harness).deliver, finish, reply, read),
	)

	// Guards against an engine that has to load its weights again because its new agent changes
	// its role before the record of the previous one counts.
	It("keeps the weights if it is to change the role at once", func() {
		h := newHarness(GinkgoT())
		h.m.SetWanted(h.now, version("v1"))
		h.executeActions()
		h.runToCompletion()
		h.replaceAgent()
		h.m.SetWanted(h.now, version("v1"))
		h.executeActions()
		ordered := false
		for range 40 {
			ordered = ordered || h.m.SubmitOrder(h.now, role) == nil
			h.executeActions()
			h.fetched(engine.ErrIncomplete)
			h.readState(nil)
			h.deliver()
			finish(h)
			reply(h)
			h.advanceTime(500 * time.Millisecond)
		}
		Expect(h.served).To(Equal(version("v1")), "engine %+v, record %+v", h.state, h.recorded)
		Expect(h.state.Role).To(Equal(engine.RoleDecode))
	})

	// Guards against a load that counts as intact because the engine has accepted the order of
	// the previous agent after it, later than the settle time.
	It("doesn't take its own load for that of its predecessor", func() {
		h := newHarness(GinkgoT())
		h.m.SetWanted(h.now, version("v1"))
		h.executeActions()
		h.runToCompletion()
		Expect(h.m.SubmitOrder(h.now, role)).To(Succeed())
		h.executeActions()
		read(h)
		late := h.inFlight
		Expect(late).NotTo(BeNil())
		h.inFlight = nil
		h.replaceAgent()
		h.m.SetWanted(h.now, version("v1"))
		h.executeActions()
		h.fetched(nil)
		h.quiesced()
		for range 20 {
			h.advanceTime(500 * time.Millisecond)
			h.readState(nil)
			h.verified()
			h.quiesced()
			h.spoilt = h.inFlight != nil
			h.deliver()
			if h.running != nil {
				break
			}
		}
		Expect(h.running).NotTo(BeNil())
		h.finish(true)
		Expect(h.corrupt).To(BeTrue(), "the spec needs an engine that has loaded corrupt files")
		h.running = late
		h.state.Accepted = late.Fence
		h.finish(true)
		h.reply(nil)
		for range 20 {
			h.verified()
			h.readState(nil)
			h.advanceTime(time.Second)
		}
		Expect(h.served).To(Equal(version("")))
	})

	// Guards against the same with the runner, as seen once in a busy run.
	It("keeps the weights if the agent ended before the reply to a change of role", func() {
		server, _ := startEngine()
		h := newFakeHost(server)
		h.holdsRoleReplies = true
		r, stop := runOn(server, h, engine.GuardConfig{Epoch: 1})
		r.SetWanted(version("v1"))
		Eventually(h.serves(version("v1"), server), 10*time.Second).Should(BeTrue())
		Eventually(func() error { return r.SubmitOrder(role) }, 10*time.Second).Should(Succeed())
		Eventually(func() engine.Role { return server.State().Role }, 10*time.Second).Should(Equal(engine.RoleDecode))
		stop()
		h.Serve(version(""))
		h.fetchFails = true
		r, _ = runOn(server, h, engine.GuardConfig{Epoch: 2})
		r.SetWanted(version("v1"))
		Eventually(h.serves(version("v1"), server), 10*time.Second).Should(BeTrue())
		Expect(server.AcceptedOrders()).To(HaveLen(2))
	})
})

func read(h *harness)   { h.readState(nil); h.advanceTime(time.Second); h.readState(nil) }
func finish(h *harness) { h.finish(true) }
func reply(h *harness)  { h.reply(nil) }

// replaceAgent ends the agent and starts another one with its record.
func (h *harness) replaceAgent() {
	h.startMachine(h.recorded)
	h.awaitingReply, h.reading, h.permitting, h.quiescing, h.noRequests = false, false, false, false, false
	h.served, h.fetching, h.permit, h.verifying, h.replyLostAt = version(""), version(""), version(""), nil, h.now
	h.executeActions()
}
