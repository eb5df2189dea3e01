package relay

import (
	"errors"
	"maps"
	"net/netip"
	"time"
)

// candidate is an instance that may be queried.
type candidate struct {
	address netip.AddrPort
	// direct restricts the query to an instance that reads the store itself. standIn asks it
	// to do so, and hold is how long it may take to be up to date.
	direct, standIn bool
	hold            time.Duration
}

// avoidance is how long an instance that could not be followed is not queried.
type avoidance struct {
	until time.Time
	// lasts is the time that was set in advance.
	lasts time.Duration
	// behind is set if it has answered that it must not be followed.
	behind bool
}

// candidates returns the instances to query for changes, in order; none if this one reads
// the store.
func (s *Source) candidates() []candidate {
	if s.cache.standsIn(time.Now()) {
		return nil
	}
	return s.followable()
}

// followable returns the instances that this one could query for changes, also while it stands
// in for them.
func (s *Source) followable() []candidate {
	role, now := s.role(), time.Now()
	if !role.Upstream.IsValid() {
		return nil
	}
	var result []candidate
	if !s.avoids(role.Upstream, now) {
		result = append(result, candidate{address: role.Upstream, direct: true})
	}
	for _, standby := range role.Standbys {
		if standby.IsValid() && !s.avoids(standby, now) {
			result = append(result, candidate{address: standby, direct: true, standIn: true, hold: s.holdTime()})
		}
	}
	return result
}

// snapshotCandidates returns the instances to query for all rows. An instance that starts
// waits for one that is just reading them. The first instance of a region takes its first
// table from any other one that has it.
func (s *Source) snapshotCandidates() []candidate {
	result := s.candidates()
	if s.cache.known().Revision >= 0 {
		return result
	}
	role := s.role()
	if role.HasFollowers {
		for _, standby := range role.Standbys {
			if standby.IsValid() {
				result = append(result, candidate{address: standby})
			}
		}
		return result
	}
	for i := range result {
		result[i].hold = s.holdTime()
	}
	return result
}

func (s *Source) holdTime() time.Duration {
	return fraction(s.config.MaxPropagation, holdFraction)
}

// avoids reports whether an instance is not queried for now.
func (s *Source) avoids(address netip.AddrPort, now time.Time) bool {
	return now.Before(s.avoided[address].until)
}

// avoid stops querying an instance for a time that doubles with each consecutive failure.
func (s *Source) avoid(address netip.AddrPort, reason error) {
	s.leaveReason = reason
	now := time.Now()
	lasts := min(max(2*s.avoided[address].lasts, minAvoid), maxAvoid)
	maps.DeleteFunc(s.avoided, func(_ netip.AddrPort, a avoidance) bool { return now.Sub(a.until) > maxAvoid })
	s.avoided[address] = avoidance{until: now.Add(lasts), lasts: lasts, behind: errors.Is(reason, errStale)}
}

// answered records that an instance, or the store itself if it is not valid, has answered.
func (s *Source) answered(through netip.AddrPort) {
	s.deadline.confirmed()
	delete(s.avoided, through)
	if through != s.path {
		s.path = through
		s.onPathChange(through, s.leaveReason)
	}
	s.leaveReason = nil
}

// retryBehind lets the next read query the instances that were only behind: while the store
// does not answer this instance either, they may reach it first.
func (s *Source) retryBehind() {
	for address, a := range s.avoided {
		if a.behind {
			a.until = time.Time{}
			s.avoided[address] = a
		}
	}
}
