package attempt

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Guards against retry storms, in which a fault multiplies the load.
var _ = Describe("Budget", func() {
	now := time.Unix(1_800_000_000, 0)

	It("limits retries to the share of successes plus the minimum rate", func() {
		b := NewBudget(BudgetConfig{TenantShare: 0.1, TenantBurst: 10, TenantMinRate: 0.5, DeploymentBurst: 1000})
		retries := 0
		const requests, seconds = 10_000, 100
		for i := range requests {
			at := now.Add(time.Duration(i) * seconds * time.Second / requests)
			if b.take("a", at) {
				retries++
			}
			if i%2 == 0 {
				b.addSuccess("a", at)
			}
		}
		// The burst, a tenth of 5,000 successes, and half a retry per second.
		Expect(retries).To(BeNumerically("<=", 10+500+50+1))
		Expect(retries).To(BeNumerically(">=", 500))
	})

	It("takes from neither bucket if one of them is empty", func() {
		b := NewBudget(BudgetConfig{DeploymentBurst: 3, DeploymentMinRate: 0.001})
		for _, tenant := range []model.Tenant{"a", "b", "c"} {
			Expect(b.take(tenant, now)).To(BeTrue())
		}
		Expect(b.take("d", now)).To(BeFalse())
		Expect(b.tenants["d"].tokens).To(Equal(b.config.TenantBurst))
	})

	It("ends a request when the budget is exhausted", func() {
		b := NewBudget(BudgetConfig{TenantBurst: 1, TenantMinRate: 0.001})
		b.take("a", now)
		m := New(Config{}, Request{Tenant: "a", Repeatable: true, Deadline: now.Add(time.Minute)}, b)
		m.Queued(now)
		m.Dispatched(now, Dispatch{Attempt: "a1"})
		step := m.Refused(now, "a1", "overloaded", 0)
		Expect(traceOf(step)).To(Equal(traceStep{Action: "finish", Outcome: "not_run", Reason: "retry_budget_exhausted", RetryAdvice: true}))
	})
})
