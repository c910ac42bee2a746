package bvtoken

import (
	"time"

	"balsamvane/core/bvflow"
)

// unresolvedTimeout is how long the first packet of an unresolved flow is
// remembered. It is longer than the time in which the catalog becomes complete up
// to that packet, and shorter than the time after which callers reuse a port.
const unresolvedTimeout = 30 * time.Second

// unresolvedFlows holds when this balancer first saw a packet of each open flow
// whose route or upstream is not in the catalog. When it is full, the oldest is
// evicted: callers can make up any number of flows.
type unresolvedFlows struct {
	first map[bvflow.Key]time.Time
	order ring
}

func newUnresolvedFlows(capacity int) unresolvedFlows {
	return unresolvedFlows{first: make(map[bvflow.Key]time.Time), order: newRing(capacity)}
}

// firstSeen returns when the first packet of a flow arrived, which is now for a
// flow that is not held.
func (u *unresolvedFlows) firstSeen(now time.Time, k bvflow.Key) time.Time {
	u.expire(now.Add(-unresolvedTimeout))
	if at, ok := u.first[k]; ok {
		return at
	}
	if u.order.full() {
		u.evictOldest()
	}
	u.order.push(k, now)
	u.first[k] = now
	return now
}

func (u *unresolvedFlows) evictOldest() {
	if e := u.order.pop(); u.isCurrent(e) {
		delete(u.first, e.key)
	}
}

// isCurrent reports whether a queued key belongs to the flow that is held. A flow
// that was removed and is unresolved again has a later queue entry of its own.
func (u *unresolvedFlows) isCurrent(e timedKey) bool {
	at, ok := u.first[e.key]
	return ok && at.Equal(e.at)
}

// remove removes a flow.
func (u *unresolvedFlows) remove(k bvflow.Key) { delete(u.first, k) }

// expire removes the flows whose first packet arrived before t.
func (u *unresolvedFlows) expire(t time.Time) {
	for {
		k, ok := u.order.popBefore(t, u.isCurrent)
		if !ok {
			return
		}
		delete(u.first, k)
	}
}
