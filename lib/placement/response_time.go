package placement

import (
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
)

const (
	// defaultResponseTime is assumed for a plain service that has not responded yet.
	defaultResponseTime = 20 * time.Millisecond
	// responseSmoothing and serviceSmoothing are the numbers of responses over which the
	// response times of a server and of a service are smoothed.
	responseSmoothing = 8
	serviceSmoothing  = 64
	// An observed response time counts in full for responseHold, and then less until it no
	// longer counts after maxResponseAge. Otherwise, a server that was slow once would get no
	// requests that show its recovery. Both are proportionally shorter for a server that has had
	// fewer than trustedRounds of responses.
	responseHold   = 3 * time.Second
	maxResponseAge = 12 * time.Second
	trustedRounds  = 8
	// maxOverrun bounds the time that a request without a response counts for, as a multiple
	// of the response time of its server. It may be the fault of the request.
	maxOverrun = 4
	// maxOverdue bounds the unanswered requests of a server that are looked at for one
	// prediction. The oldest ones say most.
	maxOverdue = 4
)

// observeResponse records the end of a request that was placed at started. Without a response,
// it counts only if it has taken longer than expected: the response would have taken longer
// still.
func (p *Picker) observeResponse(s *server, started time.Time, responded bool, now time.Time) {
	took, usual := now.Sub(started), p.usualResponse(s.listing.Service)
	if !responded {
		observed := s.observedResponse(usual, now)
		if took <= observed {
			return
		}
		took = min(took, maxOverrun*observed)
	}
	// An old value counts less from the start.
	s.responseTime.mean = s.observedResponse(usual, now)
	s.responseTime.add(took, responseSmoothing)
	s.respondedAt = now
	if started.After(s.roundAt) {
		s.responseRounds, s.roundAt = min(s.responseRounds+1, trustedRounds), now
	}
	s.work.observeResponse(now)
	if responded {
		service := p.serviceTimes[s.listing.Service]
		service.add(took, serviceSmoothing)
		p.serviceTimes[s.listing.Service] = service
	}
}

// usualResponse returns the mean response time of a plain service.
func (p *Picker) usualResponse(service string) time.Duration {
	if t := p.serviceTimes[service]; t.observations > 0 {
		return t.mean
	}
	return defaultResponseTime
}

func smooth(mean, value time.Duration, over int64) time.Duration {
	return mean + (value-mean)/time.Duration(over)
}

// expectedResponse predicts the response time of a plain server without a wait, from its
// observed responses and from the change of its work figure since. usual is the response time
// of the service.
func (s *server) expectedResponse(usual time.Duration, now time.Time) time.Duration {
	observed := s.observedResponse(usual, now)
	expected := scale(observed, s.work.change(now))
	// A low figure alone does not make a server better than the others.
	return max(expected, min(observed, usual), minResponseTime)
}

// overdue returns by how much the requests without a response lengthen the expected response:
// one that waits for longer than expected counts as a response that comes now.
func (s *server) overdue(expected time.Duration, now time.Time) time.Duration {
	longer := expected
	for _, started := range s.unanswered[:min(len(s.unanswered), maxOverdue)] {
		if waited := now.Sub(started); waited > longer {
			longer = smooth(longer, waited, responseSmoothing)
		}
	}
	return longer - expected
}

// removeUnanswered removes a request from the unanswered ones.
func (s *server) removeUnanswered(started time.Time) {
	if i := slices.Index(s.unanswered, started); i >= 0 {
		s.unanswered = slices.Delete(s.unanswered, i, i+1)
	}
}

// observedResponse returns the observed response time of the server, which approaches that of
// its service as it becomes old.
func (s *server) observedResponse(usual time.Duration, now time.Time) time.Duration {
	if s.responseTime.observations == 0 {
		return usual
	}
	trust := float64(s.responseRounds) / trustedRounds
	return usual + scale(s.responseTime.mean-usual, freshness(now.Sub(s.respondedAt), scale(responseHold, trust), scale(maxResponseAge, trust)))
}

// minResponseTime keeps predictions of waits meaningful if responses take no measurable time.
const minResponseTime = 100 * time.Microsecond

// UpdateWork records the work figure of a plain server's response: the ratio of the time that
// work takes to the usual time. Figures that are not positive are ignored.
func (p *Picker) UpdateWork(key directory.Key, figure float64, now time.Time) {
	p.server(key).work.update(figure, now)
}
