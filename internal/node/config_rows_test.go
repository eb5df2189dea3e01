package node

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/platform/platformtest"
)

var _ = Describe("A configuration that the store has accepted", func() {
	const soon = 5 * time.Second
	batch := func() jsonObject {
		r := newRoute("/batch/")
		r["priority"] = 10
		return r
	}
	var e *entryUnderTest
	BeforeEach(func() {
		desk := platformtest.NewServer("desk-1", platformtest.RespondWith(http.StatusOK, "done"))
		DeferCleanup(desk.Close)
		e = startEntry()
		e.putServer(desk, "ready")
	})
	order := func(path string) func() int { return func() int { return e.sendOrder(path) } }

	It("makes an entry ready that has no earlier one, whatever its ranks", func() {
		// Guards against entries that answer 503 after a restart because of one rank.
		e.putConfig(1, batch())
		Eventually(e.readyStatus, soon).Should(Equal(http.StatusOK))
		Eventually(order("/batch/x"), soon).Should(Equal(http.StatusOK))
	})

	It("takes keys away beside a route of any rank", func() {
		// Guards against removed keys that stay in use because of another part of the configuration.
		e.putConfig(1, newRoute("/order/"))
		Eventually(order("/order/x"), soon).Should(Equal(http.StatusOK))
		e.putTenants(2, []jsonObject{{"name": "others", "api_keys": []string{"other"}}}, newRoute("/order/"), batch())
		Eventually(order("/order/x"), soon).Should(Equal(http.StatusUnauthorized))
	})

	It("takes all keys away with an empty list of tenants, and says so in the log", func() {
		// Guards against routes that are open to everyone after the last tenant was removed.
		e.putConfig(1, newRoute("/order/"))
		Eventually(order("/order/x"), soon).Should(Equal(http.StatusOK))
		e.putTenants(2, []jsonObject{}, newRoute("/order/"))
		Eventually(order("/order/x"), soon).Should(Equal(http.StatusUnauthorized))
		Consistently(order("/order/x"), time.Second).Should(Equal(http.StatusUnauthorized))
		Expect(e.logs.String()).To(MatchRegexp(`event=7001 .*config=2 .*teams=0 keys_required=true`))
	})
})
