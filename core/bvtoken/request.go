package bvtoken

import (
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
)

// request is a caller's request that has not been answered yet.
type request struct {
	upstream bvconfig.UpstreamID
	at       time.Time
	// sequence is that of the caller's last packet with data, and
	// acknowledged what the caller had acknowledged then.
	sequence     uint32
	acknowledged uint32
}

// requests holds the requests that wait for an answer, by flow. The oldest is
// forgotten when it is full.
type requests struct {
	open  map[bvflow.Key]request
	queue ring
}

func newRequests(most int) requests {
	return requests{open: make(map[bvflow.Key]request), queue: newRing(most)}
}

// sent takes note of a packet with data. It reports whether the packet starts
// a request, and whether it repeats one that the upstream has not
// acknowledged.
func (r *requests) sent(now time.Time, k bvflow.Key, u bvconfig.UpstreamID, p Packet) (starts, repeats bool, lost request) {
	q, ok := r.open[k]
	if ok {
		if p.Sequence == q.sequence {
			return false, true, request{}
		}
		q.sequence = p.Sequence
		r.open[k] = q
		return false, false, request{}
	}
	q = request{upstream: u, at: now, sequence: p.Sequence, acknowledged: p.Acknowledged}
	if full, key := r.queue.put(k, now); full {
		lost = r.open[key]
		delete(r.open, key)
	}
	r.open[k] = q
	return true, false, lost
}

// answered takes note of a packet that acknowledges p.Acknowledged. It returns
// the request that this answers.
func (r *requests) answered(k bvflow.Key, p Packet) (request, bool) {
	q, ok := r.open[k]
	if !ok || int32(p.Acknowledged-q.acknowledged) <= 0 {
		return request{}, false
	}
	delete(r.open, k)
	return q, true
}

// ended removes the request of a flow that ends.
func (r *requests) ended(k bvflow.Key) (request, bool) {
	q, ok := r.open[k]
	if ok {
		delete(r.open, k)
	}
	return q, ok
}

// expired removes and returns the next request that was sent before t.
func (r *requests) expired(t time.Time) (request, bool) {
	k, ok := r.queue.before(t, func(e expiry) bool {
		q, ok := r.open[e.key]
		return ok && q.at.Equal(e.at)
	})
	if !ok {
		return request{}, false
	}
	return r.ended(k)
}
