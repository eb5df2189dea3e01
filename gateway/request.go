package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/gateway/upstream"
	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/memory"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/poison"
	"github.com/auburnbend/auburnbend/lib/serving"
)

// request is one request of a caller while it is being served. It belongs to the
// goroutine that serves it.
type request struct {
	gateway *Gateway
	writer  http.ResponseWriter
	http    *http.Request
	// ctx ends when the caller disconnects, the deadline passes or the drain ends.
	ctx   context.Context
	info  RequestInfo
	table *serving.Table
	route *serving.Route
	team  *serving.Team
	body  []byte
	// content is the fingerprint of the request; valid if contentHashed is set.
	content       model.Fingerprint
	contentHashed bool
	// parts are the fingerprints of RequestInfo.PromptParts; empty until they are used.
	parts []model.Fingerprint
	// ties are the fingerprints whose crashes are merely explained by others. If there are
	// any, the request is a trial: its outcome tells them apart.
	ties []poison.Tie
	// blames are the fingerprints that the request is refused for, and trial those that it
	// tries; nil if it is no trial of a quarantine.
	blames, trial []poison.Blame

	service string
	engine  *serving.Engine
	arrived time.Time
	// deadline is when the response is no longer needed; zero if there is none.
	deadline time.Time

	// triedServers are the servers that may have run the request, or that rejected it.
	triedServers []directory.Key
	// dispatched counts the servers that the request was sent to.
	dispatched int
	// mayHaveRun is set if some server may have run the request.
	mayHaveRun bool
	// serverSilent is set while a standby asks other servers, as the silent one may have
	// begun to run the request.
	serverSilent bool
	// unusedRetry is set if a retry was taken from the budget and the request was not sent.
	unusedRetry bool
	// serverError is a 5xx response of a backend server, delivered if no other server
	// responds better.
	serverError *bufferedResponse
	// bodyRoom is the memory of the body, which attempts may still send after the end of the
	// request; nil for a short body.
	bodyRoom *memory.Shared
	// rooms are the memory of buffered responses, which is held until the end of the request:
	// what has been sent to a server can still be answered.
	rooms []*memory.Reservation
	// ignoreDrain makes the request continue after the end of the drain, if that has not
	// come yet.
	ignoreDrain func() bool
	stream      streamState
	// waitingSince is when the request began to wait for its placement, waitEnds when it may
	// wait no longer; zero while it does not wait.
	waitingSince, waitEnds time.Time
	summary                Observation
}

// bufferedResponse is a whole response of a backend server.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// streamState is what the caller has received of a stream.
type streamState struct {
	// started is set once the head has been sent.
	started bool
	// lastEventID is the last event that the caller has: the last one that was sent, or
	// the one after which it resumes the stream itself; negative if it has none.
	lastEventID int64
	// irregular is set if the IDs of a server's own events have gaps, so that a missing
	// event at the beginning of a continuation cannot be recognized.
	irregular bool
	// unnumbered is set if the last event had no ID. Another server would send it again.
	unnumbered bool
	// version is the version of the weights that the last event was made with.
	version     int
	lastEventAt time.Time
}

// remaining returns the time until the deadline, at least 1 ms; zero if there is
// none.
func (r *request) remaining(now time.Time) time.Duration {
	if r.deadline.IsZero() {
		return 0
	}
	return max(r.deadline.Sub(now), time.Millisecond)
}

// maxTargetRatio bounds how far another route to the same service, with a shorter
// target, can shorten the target of a request.
const maxTargetRatio = 2

// placementRequest returns the request as the placement sees it. The caller holds the
// Gateway's mutex.
func (r *request) placementRequest(now time.Time) placement.Request {
	modelName := r.weightsModel()
	req := placement.Request{
		Service: r.service, Engine: r.engine, Model: modelName, Version: r.stream.version, MinVersion: r.gateway.versions.MinVersion(modelName, now),
		PromptTokens: r.info.PromptTokens, OutputTokens: r.info.ExpectedTokens,
		Remaining: r.remaining(now), Exclude: r.triedServers, MayHaveRun: r.mayBeRunning(),
		Homes: r.homes(),
	}
	if s := r.table.Service(r.service); s != nil {
		req.ColdPerSecond = s.ColdRequestsPerSecond
	}
	if len(r.ties) > 0 || r.trial != nil {
		req.Exclude = append(slices.Clip(req.Exclude), r.gateway.endedServers(r.service)...)
	}
	req.VersionDeadlines = r.gateway.versions.Deadlines(modelName, now)
	if r.table.Ranked(r.service) {
		req.Ranked, req.Rank, req.Team = true, r.rank(), r.summary.Team
		req.Waited, req.MaxWait = r.waitTimes(now)
	}
	// All requests to a service get about the same latency target. With their own
	// targets, those with the longest one would take the capacity of the others under
	// overload. Time that the request has lost at a failed server does not count
	// against the target: it is no load of the other servers.
	if own := r.route.TargetLatency; own > 0 {
		req.LatencyTarget = max(r.table.MinTargetLatency(r.service), own/maxTargetRatio)
	}
	return req
}

// rank returns the urgency of the request; 0 is the highest.
func (r *request) rank() int { return serving.Rank(r.route, r.team) }

// weightsModel returns the model whose weights run the request: the one that it names, or
// the only one that the engines of its service may serve. It is empty for plain services.
func (r *request) weightsModel() string {
	if r.info.Model == "" && r.engine != nil && len(r.engine.Models) == 1 {
		return r.engine.Models[0]
	}
	return r.info.Model
}

// homes returns the regions that both the route and the team of the request allow.
func (r *request) homes() serving.Homes {
	if r.team == nil {
		return serving.CommonHomes(r.route.AllowedRegions)
	}
	return serving.CommonHomes(r.route.AllowedRegions, r.team.AllowedRegions)
}

func (r *request) upstreamRequest(attempt AttemptInfo) *upstream.Request {
	header := forwardedHeader(r.http.Header)
	r.gateway.config.Dialect.PrepareAttempt(header, attempt)
	return &upstream.Request{
		Method: r.http.Method, Target: r.http.RequestURI, Host: r.http.Host,
		Header: header, Body: r.body, BodySent: r.bodyRoom.Hold().Release,
	}
}
