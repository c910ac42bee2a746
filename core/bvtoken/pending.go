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

// pending holds the openings that wait for an answer. The oldest is forgotten
// when it is full.
type pending struct {
	openings map[bvflow.Key]opening
	queue    ring
}

func newPending(most int) pending {
	return pending{openings: make(map[bvflow.Key]opening), queue: newRing(most)}
}

func (p *pending) put(k bvflow.Key, o opening) {
	if full, oldest := p.queue.put(k, o.at); full {
		delete(p.openings, oldest)
	}
	p.openings[k] = o
}

// expired removes and returns the next opening that was placed before t.
func (p *pending) expired(t time.Time) (o opening, ok bool) {
	for {
		e, ok := p.queue.before(t)
		if !ok {
			return opening{}, false
		}
		// An opening that was placed again has a later expiry of its own.
		if o, ok := p.openings[e.key]; ok && o.at.Equal(e.at) {
			delete(p.openings, e.key)
			return o, true
		}
	}
}
