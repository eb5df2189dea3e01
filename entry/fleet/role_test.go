package fleet

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/wire"
)

// Guards against a backend server instance that quarantines requests or answers
// for a tracker, and against entries that report crashes.
var _ = DescribeTable("Roles of peers", func(role wire.Role, m wire.Message, allowed bool) {
	Expect(mayReport(role, m)).To(Equal(allowed))
},
	Entry("an agent reports a crash", wire.RoleAgent, &wire.CrashReport{}, true),
	Entry("an entry reports a crash", wire.RoleEntry, &wire.CrashReport{}, false),
	Entry("an agent names suspects", wire.RoleAgent, &wire.SuspectUpdate{}, false),
	Entry("an entry names suspects", wire.RoleEntry, &wire.SuspectUpdate{}, true),
	Entry("an agent sends another domain's holders", wire.RoleAgent, &wire.HolderSummary{}, false),
	Entry("an agent sends its heartbeat", wire.RoleAgent, &wire.Heartbeat{}, true),
)
