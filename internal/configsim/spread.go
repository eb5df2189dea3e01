package configsim

import "time"

// PropagationDelay returns how long after a time a revision came into force on every
// node for which the filter is true, and how many of them lack it.
func (s *Sim) PropagationDelay(number uint64, since time.Time, filter func(*Node) bool) (slowest time.Duration, missing int) {
	for _, n := range s.Nodes {
		if !n.Running || filter != nil && !filter(n) {
			continue
		}
		at, ok := n.inForce[number]
		if !ok {
			missing++
			continue
		}
		slowest = max(slowest, at.Sub(since))
	}
	return slowest, missing
}
