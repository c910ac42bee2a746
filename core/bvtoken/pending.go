package bvtoken

import (
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
)

// opening is a placed opening whose caller has not gone on yet.
type opening struct {
	upstream bvconfig.UpstreamID
	at       time.Time
	// judged is true if the opening already counts as unanswered.
	judged bool
}

// expiry is the time at which an opening is looked at again.
type expiry struct {
	key bvflow.Key
	at  time.Time
}

// pending holds the openings that wait for an answer. The oldest is forgotten
// when it is full.
type pending struct {
	openings map[bvflow.Key]opening
	queue    []expiry // Ring buffer, in the order of time.
	first, n int
}

func newPending(most int) pending {
	return pending{openings: make(map[bvflow.Key]opening), queue: make([]expiry, most)}
}

func (p *pending) put(k bvflow.Key, o opening) {
	if p.n == len(p.queue) {
		delete(p.openings, p.pop().key)
	}
	p.openings[k] = o
	p.queue[(p.first+p.n)%len(p.queue)] = expiry{k, o.at}
	p.n++
}

func (p *pending) pop() expiry {
	e := p.queue[p.first]
	p.first = (p.first + 1) % len(p.queue)
	p.n--
	return e
}

// expired removes and returns the next opening that was placed before t.
func (p *pending) expired(t time.Time) (o opening, ok bool) {
	for p.n > 0 && p.queue[p.first].at.Before(t) {
		e := p.pop()
		// An opening that was placed again has a later entry of its own.
		if o, ok := p.openings[e.key]; ok && o.at.Equal(e.at) {
			delete(p.openings, e.key)
			return o, true
		}
	}
	return opening{}, false
}
