package bvtoken

import (
	"time"

	"balsamvane/core/bvflow"
)

// expiry is the time at which something of a flow started that has to end.
type expiry struct {
	key bvflow.Key
	at  time.Time
}

// ring is a bounded queue of expiries in the order of time.
type ring struct {
	queue    []expiry
	first, n int
}

func newRing(most int) ring { return ring{queue: make([]expiry, most)} }

// put appends an expiry. If the ring is full it removes the oldest and returns
// its key.
func (r *ring) put(k bvflow.Key, at time.Time) (full bool, oldest bvflow.Key) {
	if r.n == len(r.queue) {
		full, oldest = true, r.pop().key
	}
	r.queue[(r.first+r.n)%len(r.queue)] = expiry{k, at}
	r.n++
	return full, oldest
}

func (r *ring) pop() expiry {
	e := r.queue[r.first]
	r.first = (r.first + 1) % len(r.queue)
	r.n--
	return e
}

// before removes the expiries before t up to the first one that is live, and
// returns its key.
func (r *ring) before(t time.Time, live func(expiry) bool) (bvflow.Key, bool) {
	for r.n > 0 && r.queue[r.first].at.Before(t) {
		if e := r.pop(); live(e) {
			return e.key, true
		}
	}
	return bvflow.Key{}, false
}
