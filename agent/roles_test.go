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

	// Guards against requests that reach an engine while its role changes, whether
	// from mixed to another role or back to mixed.
	It("report mixed only if it is both declared and reported by the engine", func() {
		var r roles
		r.setReported(engine.RoleMixed)
		Expect(r.current()).To(Equal(model.RoleMixed))
		r.setDeclared(model.RolePrefill)
		Expect(r.current()).To(Equal(model.RolePrefill))
		r.setReported(engine.RolePrefill)
		r.setDeclared(model.RoleMixed)
		Expect(r.current()).To(Equal(model.RolePrefill))
		r.setReported(engine.RoleMixed)
		Expect(r.current()).To(Equal(model.RoleMixed))
	})

	// Guards against orders given before the engine's role is known, and against
	// orders that are repeated too often.
	It("are ordered if the engine reports another one, and again after the interval", func() {
		var r roles
		r.setDeclared(model.RoleDecode)
		_, due := r.pendingOrder(now)
		Expect(due).To(BeFalse())
		r.setReported(engine.RoleMixed)
		role, due := r.pendingOrder(now)
		Expect([]any{role, due}).To(Equal([]any{engine.RoleDecode, true}))
		r.markOrdered(now)
		_, due = r.pendingOrder(now.Add(roleOrderInterval - 1))
		Expect(due).To(BeFalse())
		_, due = r.pendingOrder(now.Add(roleOrderInterval))
		Expect(due).To(BeTrue())
		r.setReported(engine.RoleDecode)
		_, due = r.pendingOrder(now.Add(time.Hour))
		Expect(due).To(BeFalse())
	})
})
