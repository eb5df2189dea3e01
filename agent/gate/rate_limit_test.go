package gate

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/ratelimit"
)

var _ = Describe("The rate limit of a backend server", func() {
	now := time.Unix(1_800_000_000, 0)
	limited := ratelimit.Statement{Known: true, PerSecond: 2}

	newCore := func() *Core {
		c := NewCore(Config{Capacity: 100}, nil)
		c.SetLive([]model.Weights{v1})
		return c
	}
	attempts := 0
	admit := func(c *Core, at time.Time) Admission {
		attempts++
		return c.Admit(at, requestStart(model.AttemptID(fmt.Sprint("limited-", attempts))))
	}

	It("is kept by refusals that name the time until the next request", func() {
		c := newCore()
		Expect(c.ObserveRateLimit(limited, now, now)).To(BeTrue())
		admitted := 0
		for at := now; at.Before(now.Add(4 * time.Second)); at = at.Add(10 * time.Millisecond) {
			a := admit(c, at)
			if a.Decision == Admit {
				admitted++
				continue
			}
			Expect(a.Refusal.Reason).To(Equal(outcome.ReasonOverloaded))
			Expect(a.Refusal.RetryAfterMillis).To(And(BeNumerically(">", 0), BeNumerically("<=", 500)))
		}
		Expect(admitted).To(BeNumerically("~", 8, 1))
		lifted := now.Add(4 * time.Second)
		Expect(c.ObserveRateLimit(ratelimit.Statement{Known: true}, lifted, lifted)).To(BeTrue())
		for range 20 {
			Expect(admit(c, lifted).Decision).To(Equal(Admit))
		}
	})

	It("counts requests that resume a stream", func() {
		c := newCore()
		c.ObserveRateLimit(limited, now, now)
		resumed := now.Add(400 * time.Millisecond)
		c.ObserveRateLimit(limited, resumed, resumed)
		Expect(admit(c, now.Add(600*time.Millisecond)).Decision).To(Equal(Refuse))
		Expect(admit(c, now.Add(900*time.Millisecond)).Decision).To(Equal(Admit))
	})
})
