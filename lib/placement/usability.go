package placement

import (
	"slices"
	"time"
)

// available drops the servers that accept no requests now, those whose rate limit is
// reached, and the ejected ones. If only ejected ones are left and they are more than
// MaxEjectedShare, it returns those. A pause applies only between a server and one
// entry: for requests of other entries, these list the servers to exclude. Servers whose
// window is full, and those in held-back failure domains, are used if there is
// no other choice.
func (p *Picker) available(eligible []*server, req *Request, held []string, now time.Time) []*server {
	var available, ramping, ejected []*server
	for _, s := range eligible {
		switch p.usability(s, req, held, now) {
		case usable:
			available = append(available, s)
		case usableIfNoOther:
			ramping = append(ramping, s)
		case unusableEjected:
			ejected = append(ejected, s)
		case unusable:
		}
	}
	if len(available) == 0 {
		available = ramping
	}
	if len(available) == 0 && float64(len(ejected)) > p.config.MaxEjectedShare*float64(len(eligible)) {
		return ejected
	}
	return available
}

// usability tells whether an eligible server accepts a request now.
type usability int

const (
	unusable usability = iota
	unusableEjected
	// usableIfNoOther servers have a full window, or are in a held-back failure
	// domain.
	usableIfNoOther
	usable
)

func (p *Picker) usability(s *server, req *Request, held []string, now time.Time) usability {
	own := req.Entry == ""
	switch {
	case s.closed(now) || own && s.paused(now) || p.overLimit(s, req, now):
		return unusable
	case s.ejected(now):
		return unusableEjected
	case s.windowFull(own, s.slotsFor(req), now) || slices.Contains(held, s.listing.Domain):
		return usableIfNoOther
	default:
		return usable
	}
}
