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
	// requests that show its recovery.
	responseHold   = 3 * time.Second
	maxResponseAge = 12 * time.Second
	// maxOverrun bounds the time that a request without a response counts for, as a multiple
	// of the response time of its server. It may be the fault of the request.
	maxOverrun = 4
	// maxOverdue bounds the unanswered requests of a server that are looked at for one
	// prediction. The oldest ones say most.
	maxOverdue = 4
)

// observeResponse records the time that a response has taken. Without a response, took is the
// time after which the request has failed or its caller has left, which counts only if it is
// longer than expected: the response would have taken longer still.
func (p *Picker) observeResponse(s *server, took time.Duration, responded bool, now time.Time) {
	usual := p.usualResponse(s.listing.Service)
	if !responded {
		observed := s.observedResponse(usual, now)
		if took <= observed {
			return
		}
		took = min(took, maxOverrun*observed)
	}
	if s.responseTime > 0 {
		// An old value counts less from the start.
		s.responseTime = s.observedResponse(usual, now)
	}
	s.responseTime = smooth(s.responseTime, took, responseSmoothing)
	s.respondedAt = now
	s.work.observeResponse(now)
	if responded {
		service := s.listing.Service
		p.serviceTimes[service] = smooth(p.serviceTimes[service], took, serviceSmoothing)
	}
}

// usualResponse returns the mean response time of a plain service.
func (p *Picker) usualResponse(service string) time.Duration {
	if t := p.serviceTimes[service]; t > 0 {
		return t
	}
	return defaultResponseTime
}

func smooth(mean, value time.Duration, over int64) time.Duration {
	if mean == 0 {
		return value
	}
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
	if s.responseTime == 0 {
		return usual
	}
	return usual + scale(s.responseTime-usual, freshness(now.Sub(s.respondedAt), responseHold, maxResponseAge))
}

// minResponseTime keeps predictions of waits meaningful if responses take no measurable time.
const minResponseTime = 100 * time.Microsecond

// UpdateWork records the work figure of a plain server's response: the ratio of the time that
// work takes to the usual time. Figures that are not positive are ignored.
func (p *Picker) UpdateWork(key directory.Key, figure float64, now time.Time) {
	p.server(key).work.update(figure, now)
}
