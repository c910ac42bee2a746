package bvtoken

import (
	"time"

	"balsamvane/core/bvflow"
)

// timedKey is the key of a flow and the time at which its timeout started.
type timedKey struct {
	key bvflow.Key
	at  time.Time
}

// ring is a bounded queue of keys in the order of time.
type ring struct {
	queue      []timedKey
	head, size int
}

func newRing(capacity int) ring { return ring{queue: make([]timedKey, capacity)} }

// push appends a key. If the ring is full it removes and returns the oldest.
func (r *ring) push(k bvflow.Key, at time.Time) (full bool, oldest bvflow.Key) {
	if r.size == len(r.queue) {
		full, oldest = true, r.pop().key
	}
	r.queue[(r.head+r.size)%len(r.queue)] = timedKey{k, at}
	r.size++
	return full, oldest
}

// full reports whether the next push removes the oldest key, and returns that one.
func (r *ring) full() (full bool, oldest timedKey) {
	return r.size == len(r.queue), r.queue[r.head]
}

func (r *ring) pop() timedKey {
	e := r.queue[r.head]
	r.head = (r.head + 1) % len(r.queue)
	r.size--
	return e
}

// popIf removes the keys that are not live, and returns the first other one if it is
// ready. It leaves that one in the queue if it is not.
func (r *ring) popIf(live, ready func(timedKey) bool) (bvflow.Key, bool) {
	for r.size > 0 {
		e := r.queue[r.head]
		if live(e) && !ready(e) {
			break
		}
		if r.pop(); live(e) {
			return e.key, true
		}
	}
	return bvflow.Key{}, false
}

// popBefore removes the keys before t up to the first one that is live, and
// returns that one.
func (r *ring) popBefore(t time.Time, live func(timedKey) bool) (bvflow.Key, bool) {
	for r.size > 0 && r.queue[r.head].at.Before(t) {
		if e := r.pop(); live(e) {
			return e.key, true
		}
	}
	return bvflow.Key{}, false
}
