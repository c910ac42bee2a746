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
	unjudged ring // When openings count as unanswered.
	expiring ring // When callers give openings up.
}

func newPending(most int) pending {
	return pending{openings: make(map[bvflow.Key]opening), unjudged: newRing(most), expiring: newRing(most)}
}

// put adds an opening. It returns the opening that had to be forgotten for it,
// if there is one.
func (p *pending) put(k bvflow.Key, o opening) (lost opening, full bool) {
	p.unjudged.put(k, o.at)
	if evicted, oldest := p.expiring.put(k, o.at); evicted {
		lost, full = p.openings[oldest]
		delete(p.openings, oldest)
	}
	p.openings[k] = o
	return lost, full
}

// answered removes and returns the opening of a flow whose caller goes on.
func (p *pending) answered(k bvflow.Key) (opening, bool) {
	o, ok := p.openings[k]
	delete(p.openings, k)
	return o, ok
}

// late marks and returns the next opening that was placed before t and does
// not count as unanswered yet.
func (p *pending) late(t time.Time) (opening, bool) {
	k, ok := p.unjudged.before(t, func(e expiry) bool { return p.holds(e) && !p.openings[e.key].judged })
	if !ok {
		return opening{}, false
	}
	o := p.openings[k]
	o.judged = true
	p.openings[k] = o
	return o, true
}

// expired removes and returns the next opening that was placed before t.
func (p *pending) expired(t time.Time) (opening, bool) {
	k, ok := p.expiring.before(t, p.holds)
	if !ok {
		return opening{}, false
	}
	return p.answered(k)
}

// holds reports whether an expiry is that of the opening: one that was placed
// again has a later expiry of its own.
func (p *pending) holds(e expiry) bool {
	o, ok := p.openings[e.key]
	return ok && o.at.Equal(e.at)
}
