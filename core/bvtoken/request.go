package bvtoken

import (
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
)

// request is an unanswered request of a caller.
type request struct {
	upstream bvconfig.UpstreamID
	at       time.Time
	route    *routeResponses
	inFlight inFlightRequest
	// sequence is the sequence number of the caller's last packet with data.
	// acknowledged is the caller's acknowledgement number at the start of the
	// request.
	sequence     uint32
	acknowledged uint32
	// firstSentAt and sentAt are when the first and the last packet of the request
	// were sent to the upstream; zero until then.
	firstSentAt, sentAt time.Time
}

// requests holds the requests that wait for an answer, by flow. When it is
// full, the oldest is evicted.
type requests struct {
	open  map[bvflow.Key]request
	queue ring
}

func newRequests(capacity int) requests {
	return requests{open: make(map[bvflow.Key]request), queue: newRing(capacity)}
}

// record records a packet with data. It reports whether the packet starts a
// request, and whether it repeats data that its caller has no acknowledgement of; then
// sentAt is when that data was last sent. It returns the evicted request; the zero
// value if there is none. route is that of a request that starts.
func (r *requests) record(now time.Time, k bvflow.Key, u bvconfig.UpstreamID, route *routeResponses, x inFlightRequest, p Packet) (starts, repeats bool, sentAt time.Time, evicted request) {
	q, ok := r.open[k]
	if ok {
		repeats, sentAt = p.Sequence == q.sequence, q.sentAt
		q.sequence, q.sentAt = p.Sequence, time.Time{}
		r.open[k] = q
		return false, repeats, sentAt, request{}
	}
	q = request{upstream: u, at: now, route: route, inFlight: x, sequence: p.Sequence, acknowledged: p.Acknowledged}
	if full, key := r.queue.push(k, now); full {
		evicted = r.open[key]
		delete(r.open, key)
	}
	r.open[k] = q
	return true, false, time.Time{}, evicted
}

// recordSent records that the packets of a flow were sent by now.
func (r *requests) recordSent(now time.Time, k bvflow.Key) {
	q, ok := r.open[k]
	if !ok || !q.sentAt.IsZero() {
		return
	}
	q.sentAt = now
	if q.firstSentAt.IsZero() {
		q.firstSentAt = now
	}
	r.open[k] = q
}

// complete removes and returns the request of a flow if p shows that it was
// answered: it acknowledges data from after the start of the request.
func (r *requests) complete(k bvflow.Key, p Packet) (request, bool) {
	q, ok := r.open[k]
	if !ok || int32(p.Acknowledged-q.acknowledged) <= 0 {
		return request{}, false
	}
	delete(r.open, k)
	return q, true
}

// remove removes and returns the request of a flow.
func (r *requests) remove(k bvflow.Key) (request, bool) {
	q, ok := r.open[k]
	if ok {
		delete(r.open, k)
	}
	return q, ok
}

// nextExpired removes and returns the next request that was sent before t.
func (r *requests) nextExpired(t time.Time) (request, bool) {
	k, ok := r.queue.popBefore(t, func(e timedKey) bool {
		q, ok := r.open[e.key]
		return ok && q.at.Equal(e.at)
	})
	if !ok {
		return request{}, false
	}
	return r.remove(k)
}
