package bvtoken

import (
	"time"

	"balsamvane/core/bvflow"
)

// responseEnd is the time after the first acknowledgement of a response after which its
// length counts as final. Callers delay acknowledgements by less.
const responseEnd = 300 * time.Millisecond

// response is a response whose length is not final.
type response struct {
	request request
	latency time.Duration // Until its first acknowledgement.
	timed   bool          // True if latency was measured.
	at      time.Time     // Time of that acknowledgement.
	length  uint32        // Acknowledged bytes.
	ended   bool          // True if the outcome of the request is known.
	// recorded is true if the latency counts in the means of its upstream and service.
	recorded bool
}

// responses holds the responses whose length is not final, by flow. When it is full, the
// oldest is evicted.
type responses struct {
	open  map[bvflow.Key]*response
	queue ring
	// free holds unused responses. Maps allocate for each value of this size.
	free []*response
}

func newResponses(capacity int) responses {
	return responses{open: make(map[bvflow.Key]*response), queue: newRing(capacity)}
}

// put adds the response of a flow. It returns the evicted response, if there is one.
func (rs *responses) put(k bvflow.Key, x response) (evicted response, ok bool) {
	if full, oldest := rs.queue.full(); full && rs.current(oldest) {
		evicted, ok = rs.remove(oldest.key)
	}
	rs.queue.push(k, x.at)
	var e *response
	if n := len(rs.free); n > 0 {
		e, rs.free = rs.free[n-1], rs.free[:n-1]
	} else {
		e = &response{}
	}
	*e = x
	rs.open[k] = e
	return evicted, ok
}

// current reports whether a queued key belongs to the open response of its flow. A later
// response of the flow has a queue entry of its own.
func (rs *responses) current(e timedKey) bool {
	x := rs.open[e.key]
	return x != nil && x.at.Equal(e.at)
}

// remove removes and returns the response of a flow.
func (rs *responses) remove(k bvflow.Key) (response, bool) {
	e, ok := rs.open[k]
	if !ok {
		return response{}, false
	}
	delete(rs.open, k)
	rs.free = append(rs.free, e)
	return *e, true
}

// startResponse records the first acknowledgement of a response, by the packet p.
func (r *Router) startResponse(now time.Time, k bvflow.Key, t *target, q request, p Packet) {
	if q.unrelated(p) && r.classifies(q.route) {
		r.finishResponse(now, k)
		r.requestEnded(now, t, q, outcomeAbandoned, 0)
		return
	}
	x := response{request: q, at: now}
	if readPromptly(now, p) { // Otherwise the upstream may have answered much earlier.
		x.latency, x.timed = now.Sub(q.at), true
	}
	x.acknowledge(p)
	// Before the first rejection, latencies count at once.
	if t == nil || t.service.rejections.rejected == 0 {
		r.recordLatency(now, t, &x)
	}
	r.endIfAnswered(now, t, &x)
	r.finishResponse(now, k)
	if x.ended && q.route.skips(x.length) {
		return
	}
	if evicted, ok := r.responses.put(k, x); ok {
		r.abandonResponse(now, &evicted)
	}
}

// recordLatency records the latency of a response, unless that was done before.
func (r *Router) recordLatency(now time.Time, t *target, e *response) {
	if t == nil || !e.timed || e.recorded {
		return
	}
	e.recorded = true
	t.load.recordLatency(now, e.latency)
	t.service.recordLatency(e.latency)
}

// acknowledge updates the length of a response from a packet of its caller.
func (e *response) acknowledge(p Packet) {
	if n := int32(p.Acknowledged - e.request.acknowledged); n > 0 && !e.request.unrelated(p) {
		e.length = max(e.length, uint32(n))
	}
}

// unrelated reports whether the packet p acknowledges so much more than the start of a
// request that it belongs to another flow, or is a reset without an acknowledgement.
func (q *request) unrelated(p Packet) bool {
	return int32(p.Acknowledged-q.acknowledged) > maxLength
}

// classifies reports whether responses of a route may be rejections.
func (r *Router) classifies(s *routeResponses) bool {
	return (r.options.Admission || r.options.Responses) && s.Objective > 0
}

// endIfAnswered ends the request of a response that is long enough. On a route without an
// objective, every response is.
func (r *Router) endIfAnswered(now time.Time, t *target, e *response) {
	if e.ended || r.classifies(e.request.route) && e.request.route.short(e.length) {
		return
	}
	e.ended = true
	r.recordResponse(now, t, e, outcomeAnswered)
}

// continueResponse updates the response of a flow from the packet p of its caller. The
// response is complete if the packet starts another request or closes the flow. It
// reports whether p repeats data of the request instead.
func (r *Router) continueResponse(now time.Time, k bvflow.Key, p Packet) (repeats bool) {
	e := r.responses.open[k]
	if e == nil {
		return false
	}
	e.acknowledge(p)
	repeats = r.repeatsRequest(now, e, p)
	if !repeats && (p.Payload > 0 || p.Phase != bvflow.PhaseEstablished) {
		r.finishResponse(now, k)
		return false
	}
	r.endIfAnswered(now, r.targets[e.request.upstream], e)
	return repeats
}

// repeatsRequest reports whether p is a late copy of a packet with data of the request
// that a response answers.
func (r *Router) repeatsRequest(now time.Time, e *response, p Packet) bool {
	return p.Payload > 0 && p.Phase == bvflow.PhaseEstablished && r.classifies(e.request.route) &&
		int32(p.Sequence-e.request.sequence) <= 0 && now.Sub(e.at) < responseEnd
}

// finishResponse ends the response of a flow, whose length is final.
func (r *Router) finishResponse(now time.Time, k bvflow.Key) {
	x, ok := r.responses.remove(k)
	if !ok {
		return
	}
	s := x.request.route
	if !x.ended {
		o := outcomeAnswered
		switch {
		case x.length <= 1: // The upstream has closed the flow.
			o = outcomeFailed
		case s.short(x.length):
			o = outcomeRejected
		}
		r.recordResponse(now, r.targets[x.request.upstream], &x, o)
	}
	s.record(now, x.length)
}

// abandonResponse ends a response that was removed before its length was final, which
// shows nothing.
func (r *Router) abandonResponse(now time.Time, x *response) {
	if !x.ended {
		r.requestEnded(now, r.targets[x.request.upstream], x.request, outcomeAbandoned, 0)
	}
}

// abandonFlow ends the request and the response of a flow whose caller opens a new one
// from the same port. Without an objective, packets of the new flow end them.
func (r *Router) abandonFlow(now time.Time, k bvflow.Key) {
	if x, ok := r.responses.remove(k); ok {
		r.abandonResponse(now, &x)
	}
	if q, ok := r.requests.open[k]; ok && r.classifies(q.route) {
		r.dropRequest(now, k, outcomeAbandoned)
	}
}

// expireResponses ends the responses whose first acknowledgement is older than
// responseEnd at a time.
func (r *Router) expireResponses(now, at time.Time) {
	for {
		k, ok := r.responses.queue.popBefore(at.Add(-responseEnd), r.responses.current)
		if !ok {
			return
		}
		r.finishResponse(now, k)
	}
}

// recordResponse records a response whose outcome is known. The latency of a rejection is
// not that of work.
func (r *Router) recordResponse(now time.Time, t *target, e *response, o outcome) {
	switch {
	case o != outcomeRejected:
		r.recordLatency(now, t, e)
	case e.recorded && t != nil:
		t.load.latency = withoutLast(t.load.latency, e.latency, latencyWeight)
		t.service.meanLatency = withoutLast(t.service.meanLatency, e.latency, serviceLatencyWeight)
	}
	r.requestEnded(now, t, e.request, o, e.latency)
}

// withoutLast returns the mean before its last measurement. If that measurement was not
// the last one, the result is an estimate above the mean.
func withoutLast(mean, last time.Duration, weight float64) time.Duration {
	if last >= mean { // It did not lower the mean, or was the only one.
		return mean
	}
	return time.Duration((float64(mean) - weight*float64(last)) / (1 - weight))
}
