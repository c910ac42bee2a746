package bvtoken

import (
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
)

// outcome is how a request ended, as far as packets of its caller show.
type outcome uint8

const (
	outcomeAnswered  outcome = iota // A response of the usual length.
	outcomeRejected                 // A response far shorter than usual.
	outcomeFailed                   // No response.
	outcomeAbandoned                // Unknown: evicted, port reused, or upstream removed.
	numOutcomes
)

// requestCounts counts requests and openings by how they ended.
type requestCounts struct {
	started  uint64
	ended    [numOutcomes]uint64
	openings uint64 // Openings that ended.
}

// requestEnded is called exactly once for each request that has left the table, when
// its outcome is known. t is nil if the upstream was removed. latency is the time until
// the first acknowledgement of a response, or until the end of a failed request; 0 if
// it was not measured.
func (r *Router) requestEnded(now time.Time, t *target, q request, o outcome, latency time.Duration) {
	r.counts.ended[o]++
	q.inFlight.end(now, o, latency, now.Sub(q.at))
	if !r.options.Responses || t == nil || o == outcomeAbandoned || q.route.Objective == 0 {
		return
	}
	r.recordRejection(now, t, o)
	if o == outcomeRejected { // A caller is no better served by it than by a late response.
		latency = max(latency, q.route.Objective)
	}
	if latency > 0 {
		t.zoneLatency.record(now, latency, q.route.Objective)
	}
}

// recordRequest records a packet with data of a flow at an upstream. It returns the
// results of [requests.record]. t is nil if the upstream was removed.
func (r *Router) recordRequest(now time.Time, k bvflow.Key, u bvconfig.UpstreamID, t *target, p Packet) (starts, repeats bool, sentAt time.Time) {
	q, ok := r.requests.open[k]
	if ok && q.upstream != u {
		r.dropRequest(now, k, outcomeAbandoned) // The caller reuses its port.
		ok = false
	}
	var route *routeResponses
	var x inFlightRequest
	if !ok {
		route = r.routeOf(p.Destination)
		x = r.startRequest(now, t, route.RequestPolicy)
	}
	starts, repeats, sentAt, evicted := r.requests.record(now, k, u, route, x, p)
	if evicted.route != nil {
		r.releaseRequest(now, evicted, outcomeAbandoned)
	}
	r.unsent = append(r.unsent, k)
	if starts {
		r.counts.started++
		r.expireResponses(now, p.ArrivedAfter)
	}
	return starts, repeats, sentAt
}

// dropRequest removes the request of a flow that is reset.
func (r *Router) dropRequest(now time.Time, k bvflow.Key, o outcome) {
	if q, ok := r.requests.remove(k); ok {
		r.releaseRequest(now, q, o)
	}
}

// releaseRequest removes a request from the load of its upstream without
// measuring it.
func (r *Router) releaseRequest(now time.Time, q request, o outcome) {
	t := r.targets[q.upstream]
	if t != nil {
		t.load.open = max(t.load.open-1, 0)
	} else {
		o = outcomeAbandoned
	}
	r.requestEnded(now, t, q, o, 0)
}

// recordClosing records that the packet p ends a flow, whose request may be unanswered.
func (r *Router) recordClosing(now time.Time, k bvflow.Key, p Packet) {
	q, ok := r.requests.remove(k)
	switch {
	case !ok:
	case readPromptly(now, p):
		r.recordUnserved(now, q)
	default: // The caller may have ended the flow much earlier.
		r.releaseRequest(now, q, outcomeFailed)
	}
}

// recordUnserved records a request that ended without an answer. Its latency is
// at least the time until then. If it were not counted, an upstream that hangs or
// drops requests would look fast, since only the requests that it serves count.
func (r *Router) recordUnserved(now time.Time, q request) {
	t := r.targets[q.upstream]
	if t == nil {
		r.requestEnded(now, nil, q, outcomeAbandoned, 0)
		return
	}
	t.load.open = max(t.load.open-1, 0)
	t.load.recordLatency(now, max(now.Sub(q.at), t.load.latency))
	r.requestEnded(now, t, q, outcomeFailed, now.Sub(q.at))
}
