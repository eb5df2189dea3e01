package listen

import (
	"context"
	"net"
	"time"

	"github.com/auburnbend/auburnbend/lib/security"
)

// dialTimeout limits the opening of a connection. The highest latency between two
// processes is a few milliseconds.
const dialTimeout = 2 * time.Second

// Dial opens a connection to an entry or agent. A nil policy means plain text.
func Dial(ctx context.Context, policy *security.Policy, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if policy == nil {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address)
	}
	return policy.Dial(ctx, address, security.RoleEntry, security.RoleAgent)
}
