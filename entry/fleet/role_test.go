package fleet

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/lib/wire"
)

// Guards against agents that can quarantine requests or act as a tracker, and against
// entries that can report crashes.
var _ = DescribeTable("Messages that roles may send", func(role wire.Role, m wire.Message, allowed bool) {
	Expect(roleMaySend(role, m)).To(Equal(allowed))
},
	Entry("an agent reports a crash", wire.RoleAgent, &wire.CrashReport{}, true),
	Entry("an entry reports a crash", wire.RoleEntry, &wire.CrashReport{}, false),
	Entry("an agent sends suspects", wire.RoleAgent, &wire.SuspectUpdate{}, false),
	Entry("an entry sends suspects", wire.RoleEntry, &wire.SuspectUpdate{}, true),
	Entry("an agent sends a summary of another domain's holders", wire.RoleAgent, &wire.HolderSummary{}, false),
	Entry("an agent sends its heartbeat", wire.RoleAgent, &wire.Heartbeat{}, true),
)
