package configsim

import "time"

// PropagationDelay returns the longest time from since until a revision came into
// force on a running node that passes the filter, and the number of such nodes on
// which it is not in force. A nil filter passes all nodes.
func (s *Sim) PropagationDelay(number uint64, since time.Time, filter func(*Node) bool) (slowest time.Duration, missing int) {
	for _, n := range s.Nodes {
		if !n.Running || filter != nil && !filter(n) {
			continue
		}
		at, ok := n.inForceSince[number]
		if !ok {
			missing++
			continue
		}
		slowest = max(slowest, at.Sub(since))
	}
	return slowest, missing
}
