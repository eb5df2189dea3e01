package agent

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Ranks", func() {
	now := time.Unix(1000, 0)
	var (
		r             ranks
		first, second *session
	)
	BeforeEach(func() {
		r, first, second = newRanks(), &session{}, &session{}
	})

	// Guards against a place that is taken twice because one entry knows fewer instances.
	It("count as the highest while entries disagree, in either order of arrival", func() {
		r.set(now, first, 2)
		r.set(now, second, 1)
		Expect(r.current(now)).To(Equal(2))
		r.set(now, first, 2)
		Expect(r.current(now.Add(rankSettleTime - 1))).To(Equal(2))
		r.set(now.Add(5*time.Second), second, 2)
		Expect(r.current(now.Add(time.Hour))).To(Equal(2))
	})

	// Guards against a lost instance that is not replaced while one entry still counts it.
	It("count as the lowest after entries have disagreed for the settle time", func() {
		r.set(now, first, 2)
		r.set(now, second, 2)
		r.set(now.Add(time.Hour), second, 1)
		Expect(r.current(now.Add(time.Hour + rankSettleTime - 1))).To(Equal(2))
		Expect(r.current(now.Add(time.Hour + rankSettleTime))).To(Equal(1))
	})

	// Guards against replacements that wait although all entries have noticed a loss.
	It("count at once when all entries agree or the other connection has ended", func() {
		r.set(now, first, 2)
		r.set(now, second, 2)
		r.set(now, first, 1)
		r.set(now, second, 1)
		Expect(r.current(now)).To(Equal(1))
		r.set(now, first, 0)
		r.remove(now, second)
		Expect(r.current(now)).To(Equal(0))
	})

	// Guards against a place that is taken or given up as the last connection ends.
	It("stay as last agreed without an entry, and are unknown before the first", func() {
		Expect(r.current(now)).To(Equal(unknownRank))
		r.set(now, first, 2)
		r.set(now, second, 1)
		r.remove(now, second)
		r.remove(now, first)
		Expect(r.current(now)).To(Equal(2))
	})
})
