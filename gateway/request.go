package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/auburnbend/auburnbend/gateway/upstream"
	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/serving"
)

// request is one request of a caller while it is served. It belongs to the
// goroutine that serves it.
type request struct {
	gateway *Gateway
	writer  http.ResponseWriter
	http    *http.Request
	// ctx ends when the caller leaves or its time is over.
	ctx   context.Context
	call  RequestInfo
	table *serving.Table
	route *serving.Route
	team  *serving.Team
	body  []byte
	// content is the request's fingerprint once it is hashed.
	content model.Fingerprint
	hashed  bool

	service string
	engine  *serving.Engine
	arrived time.Time
	// deadline is when nobody waits any more; zero if there is none.
	deadline time.Time

	// tried are the servers that may have run the request or that refused it.
	tried []directory.Key
	// nextVersion is declared, and from nextAt on no request may begin on an older one;
	// zero if none was due when the request was placed.
	nextVersion int
	nextAt      time.Time
	// granted is the place that another entry has granted; nil if the request was
	// placed here.
	granted *grant
	// reached counts the servers that the request was sent to.
	reached int
	// ran tells that some server may have run the request.
	ran bool
	// failure is a backend server's own failure, kept in case no other server
	// answers better.
	failure *answer
	// releases give back the memory of answers at the end of the request.
	releases []func()
	stream   streamState
	seen     Observation
}

// answer is a backend server's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// streamState is what the caller has of a stream.
type streamState struct {
	// begun tells that the head was sent.
	begun bool
	// last is the last event that was sent; negative before the first.
	last int64
	// version is the version of the weights that made the events.
	version int
	lastAt  time.Time
}

// left returns the time until nobody waits any more; zero sets no limit.
func (r *request) left(now time.Time) time.Duration {
	if r.deadline.IsZero() {
		return 0
	}
	return max(r.deadline.Sub(now), time.Millisecond)
}

// maxTargetRatio bounds how much shorter than its own target a request may wait
// because of another route with a very short one.
const maxTargetRatio = 2

func (r *request) demand(now time.Time) placement.Request {
	d := placement.Request{
		Service: r.service, Engine: r.engine, Model: r.call.Model, Version: r.stream.version, MinVersion: r.gateway.versions.MinVersion(r.call.Model, now),
		PromptTokens: r.call.PromptTokens, OutputTokens: r.call.ExpectedTokens,
		Remaining: r.left(now), Exclude: r.tried, MayHaveRun: r.stream.begun || r.ran,
	}
	d.NextVersion, d.NextVersionAt = r.gateway.versions.NextMinVersion(r.call.Model, now)
	r.nextVersion, r.nextAt = d.NextVersion, d.NextVersionAt
	// All requests to a service may wait equally long. With their own targets,
	// those with the longest one would take the places of the others when there
	// are too few. Time that a request has lost at a dead server is no load of the
	// others, so that it does not count.
	if own := r.route.TargetLatency; own > 0 {
		d.LatencyTarget = max(r.table.LeastTarget(r.service), own/maxTargetRatio)
	}
	return d
}

func (r *request) upstreamRequest(d AttemptInfo) *upstream.Request {
	header := forwardedHeader(r.http.Header)
	r.gateway.config.Dialect.PrepareAttempt(header, d)
	return &upstream.Request{
		Method: r.http.Method, Target: r.http.RequestURI, Host: r.http.Host,
		Header: header, Body: r.body,
	}
}
