package placement

import (
	"slices"
	"time"
)

// candidateSet holds the servers that may get a request.
type candidateSet struct {
	// compared are those whose predictions are compared first.
	compared []*server
	// remote are all servers of other regions among which some of the compared ones were
	// drawn, in random order if there are more. recent and opened are those that were left
	// out because they got a request a moment ago, or have just opened.
	remote, recent, opened []*server
	// near is set if servers that have not reported were not looked at.
	near bool
	// held are the failure domains that are held back for the request.
	held []string
}

// candidates returns the candidates among the available servers. Compared are all servers of
// the own region and a random choice of the others. What is known of remote servers is older, and all entries would choose the
// same one. Remote servers that report to this entry are preferred: of the others,
// only its own requests are known. The minimum time between two requests to the same
// remote server does not apply if there is no other choice because local servers are
// at their rate limits, also those of cold servers, or must not serve the request
// (localBarred): that lasts longer than a moment of load. In the latter case, remote
// servers that have just opened are used as well.
func (p *Picker) candidates(req *Request, eligible, available []*server, localBarred bool, now time.Time) *candidateSet {
	var local, reported, unreported, recent, opened []*server
	for _, s := range available {
		switch {
		case p.isLocal(s):
			local = append(local, s)
		case s.justOpened(now):
			opened = append(opened, s)
		case s.placedRecently(now):
			recent = append(recent, s)
		case s.hasReport(now):
			reported = append(reported, s)
		default:
			unreported = append(unreported, s)
		}
	}
	remote := reported
	if len(remote) == 0 {
		remote = unreported
	}
	atLimit := func(s *server) bool { return p.isLocal(s) && p.overLimit(s, req, now) }
	if len(local)+len(remote) == 0 && slices.ContainsFunc(eligible, atLimit) {
		remote = recent
	}
	if len(local)+len(remote) == 0 && localBarred {
		remote = append(recent, opened...)
	}
	set := &candidateSet{compared: local, remote: remote, recent: recent, opened: opened}
	if len(remote) > remoteChoices {
		p.shuffle(remote)
		remote = remote[:remoteChoices]
	}
	set.compared = append(set.compared, remote...)
	return set
}

func (p *Picker) shuffle(servers []*server) {
	p.rng.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
}
