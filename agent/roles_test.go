package agent

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
)

var _ = Describe("Roles", func() {
	now := time.Unix(1000, 0)

	// Guards against requests that reach an engine while its role changes, in
	// either direction.
	It("take no requests until the engine reports the declared mixed role", func() {
		var r roles
		r.observe(engine.RoleMixed)
		Expect(r.current()).To(Equal(model.RoleMixed))
		r.declare(model.RolePrefill)
		Expect(r.current()).To(Equal(model.RolePrefill))
		r.observe(engine.RolePrefill)
		r.declare(model.RoleMixed)
		Expect(r.current()).To(Equal(model.RolePrefill))
		r.observe(engine.RoleMixed)
		Expect(r.current()).To(Equal(model.RoleMixed))
	})

	// Guards against orders on a guess and against a flood of them.
	It("are ordered when the engine's differs, and again after a pause", func() {
		var r roles
		r.declare(model.RoleDecode)
		_, due := r.due(now)
		Expect(due).To(BeFalse())
		r.observe(engine.RoleMixed)
		role, due := r.due(now)
		Expect([]any{role, due}).To(Equal([]any{engine.RoleDecode, true}))
		r.orderedAt(now)
		_, due = r.due(now.Add(roleRetry - 1))
		Expect(due).To(BeFalse())
		_, due = r.due(now.Add(roleRetry))
		Expect(due).To(BeTrue())
		r.observe(engine.RoleDecode)
		_, due = r.due(now.Add(time.Hour))
		Expect(due).To(BeFalse())
	})
})
