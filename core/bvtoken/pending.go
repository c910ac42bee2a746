package bvtoken

import (
	"net/netip"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
)

// opening is a placed opening whose caller has sent no further packet yet.
type opening struct {
	upstream bvconfig.UpstreamID
	at       time.Time
	// sentAt is when the opening was sent to the upstream; zero until then.
	sentAt time.Time
	// repeated is true if the caller has repeated the opening.
	repeated bool
	// counted is true if the opening already counts as unanswered.
	counted bool
	// completed is true if the caller has sent a further packet.
	completed bool
	// hedge is the slot of the hedged flow, counted from 1; 0 if the opening was sent to
	// one upstream only.
	hedge uint16
}

// pending holds the openings that wait for an answer. When it is full, the
// oldest is evicted.
type pending struct {
	openings  map[bvflow.Key]opening
	uncounted ring // Ordered by the time to count openings as unanswered.
	expiring  ring // Ordered by the time callers abandon openings.
}

func newPending(capacity int) pending {
	return pending{openings: make(map[bvflow.Key]opening), uncounted: newRing(capacity), expiring: newRing(capacity)}
}

// put adds an opening. It returns the evicted opening, if there is one.
func (p *pending) put(k bvflow.Key, o opening) (evicted opening, ok bool) {
	p.uncounted.push(k, o.at)
	if wasFull, oldest := p.expiring.push(k, o.at); wasFull {
		evicted, ok = p.openings[oldest]
		delete(p.openings, oldest)
	}
	p.openings[k] = o
	return evicted, ok
}

// remove removes and returns the opening of a flow.
func (p *pending) remove(k bvflow.Key) (opening, bool) {
	o, ok := p.openings[k]
	delete(p.openings, k)
	return o, ok
}

// nextOverdue marks as counted and returns the oldest opening that is not counted
// yet, if suspected is true for the time at which it was sent.
func (p *pending) nextOverdue(suspected func(sentAt time.Time) bool) (opening, bool) {
	k, ok := p.uncounted.popIf(
		func(e timedKey) bool { return p.isCurrent(e) && !p.openings[e.key].counted },
		func(e timedKey) bool { return suspected(p.openings[e.key].sentAt) },
	)
	if !ok {
		return opening{}, false
	}
	o := p.openings[k]
	o.counted = true
	p.openings[k] = o
	return o, true
}

// nextExpired removes and returns the next opening that was placed before t.
func (p *pending) nextExpired(t time.Time) (opening, bool) {
	k, ok := p.expiring.popBefore(t, p.isCurrent)
	if !ok {
		return opening{}, false
	}
	return p.remove(k)
}

// isCurrent reports whether a queued key belongs to the current opening of its
// flow. An opening that was placed again has a later queue entry of its own.
func (p *pending) isCurrent(e timedKey) bool {
	o, ok := p.openings[e.key]
	return ok && o.at.Equal(e.at)
}

// openings holds the openings that wait for an answer. Those of callers that
// have completed an opening before are kept apart, so that a flood from other
// callers does not evict them.
type openings struct {
	known, unknown pending
	knownCallers   callerSet
}

func newOpenings(capacity int) openings {
	return openings{known: newPending(capacity), unknown: newPending(capacity)}
}

// get returns the opening of a flow.
func (os *openings) get(k bvflow.Key) (opening, bool) {
	if o, ok := os.known.openings[k]; ok {
		return o, true
	}
	o, ok := os.unknown.openings[k]
	return o, ok
}

// len returns the number of openings that wait for an answer.
func (os *openings) len() int { return len(os.known.openings) + len(os.unknown.openings) }

// put adds an opening of a caller. It returns the evicted opening, if there is
// one.
func (os *openings) put(caller netip.Addr, k bvflow.Key, o opening) (evicted opening, ok bool) {
	if os.knownCallers.contains(caller) {
		return os.known.put(k, o)
	}
	return os.unknown.put(k, o)
}

func (os *openings) markCounted(k bvflow.Key) {
	for _, p := range []*pending{&os.known, &os.unknown} {
		if o, ok := p.openings[k]; ok {
			o.counted = true
			p.openings[k] = o
		}
	}
}

// remove removes and returns the opening of a flow.
func (os *openings) remove(k bvflow.Key) (opening, bool) {
	if o, ok := os.known.remove(k); ok {
		return o, true
	}
	return os.unknown.remove(k)
}

// recordHedge records the slot of the hedged flow of an opening.
func (os *openings) recordHedge(k bvflow.Key, slot uint16) {
	for _, p := range []*pending{&os.known, &os.unknown} {
		if o, ok := p.openings[k]; ok {
			o.hedge = slot
			p.openings[k] = o
		}
	}
}

// recordSent records that the opening of a flow was sent by now.
func (os *openings) recordSent(now time.Time, k bvflow.Key) {
	for _, p := range []*pending{&os.known, &os.unknown} {
		if o, ok := p.openings[k]; ok && o.sentAt.IsZero() {
			o.sentAt = now
			p.openings[k] = o
		}
	}
}

// complete removes and returns the opening of a flow whose caller has sent a
// further packet. It adds the caller to the known callers.
func (os *openings) complete(caller netip.Addr, k bvflow.Key) (opening, bool) {
	o, ok := os.remove(k)
	if ok {
		os.knownCallers.put(caller)
		o.completed = true
	}
	return o, ok
}

// nextOverdue marks as counted and returns the oldest opening of known or of other
// callers that is not counted yet, if suspected is true for the time at which it was
// sent.
func (os *openings) nextOverdue(suspected func(sentAt time.Time) bool) (opening, bool) {
	if o, ok := os.known.nextOverdue(suspected); ok {
		return o, true
	}
	return os.unknown.nextOverdue(suspected)
}

// nextExpired removes and returns the next opening that was placed before t.
func (os *openings) nextExpired(t time.Time) (opening, bool) {
	if o, ok := os.known.nextExpired(t); ok {
		return o, true
	}
	return os.unknown.nextExpired(t)
}
