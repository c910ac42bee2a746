package bvtoken

import (
	"net/netip"
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

// openings holds the openings that wait for an answer. Those of callers that
// have gone on with an opening before are kept apart, so that a flood of
// others does not push them out.
type openings struct {
	known, unknown pending
	callers        callers
}

func newOpenings(most int) openings {
	return openings{known: newPending(most), unknown: newPending(most)}
}

// get returns the opening of a flow.
func (os *openings) get(k bvflow.Key) (opening, bool) {
	if o, ok := os.known.openings[k]; ok {
		return o, true
	}
	o, ok := os.unknown.openings[k]
	return o, ok
}

// put adds an opening of a caller. It returns the opening that had to be
// forgotten for it, if there is one.
func (os *openings) put(caller netip.Addr, k bvflow.Key, o opening) (lost opening, full bool) {
	if os.callers.contains(caller) {
		return os.known.put(k, o)
	}
	return os.unknown.put(k, o)
}

// judged marks the opening of a flow as one that counts as unanswered.
func (os *openings) judged(k bvflow.Key) {
	for _, p := range []*pending{&os.known, &os.unknown} {
		if o, ok := p.openings[k]; ok {
			o.judged = true
			p.openings[k] = o
		}
	}
}

// removed removes and returns the opening of a flow.
func (os *openings) removed(k bvflow.Key) (opening, bool) {
	if o, ok := os.known.answered(k); ok {
		return o, true
	}
	return os.unknown.answered(k)
}

// answered removes and returns the opening of a flow whose caller goes on.
func (os *openings) answered(caller netip.Addr, k bvflow.Key) (opening, bool) {
	o, ok := os.removed(k)
	if ok {
		os.callers.put(caller)
	}
	return o, ok
}

// late marks and returns the next opening that was placed before t and does
// not count as unanswered yet.
func (os *openings) late(t time.Time) (opening, bool) {
	if o, ok := os.known.late(t); ok {
		return o, true
	}
	return os.unknown.late(t)
}

// expired removes and returns the next opening that was placed before t.
func (os *openings) expired(t time.Time) (opening, bool) {
	if o, ok := os.known.expired(t); ok {
		return o, true
	}
	return os.unknown.expired(t)
}
