package bvtoken

import (
	"time"

	"balsamvane/core/bvcatalog"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvlimit"
)

// Route decides on a caller's packet. If there are several packets, those of
// open flows come first: they show which openings have been answered.
func (r *Router) Route(now time.Time, p Packet) Decision {
	r.refresh(now)
	k := r.hasher.Key(p.Tuple)
	if p.Phase == bvflow.PhaseOpening {
		r.expire(now)
		return r.open(now, k, p)
	}
	return r.follow(now, k, p)
}

// follow decides on a packet of an open flow.
func (r *Router) follow(now time.Time, k bvflow.Key, p Packet) Decision {
	if p.Token == 0 {
		return Decision{Verdict: VerdictDrop, Reason: ReasonNoToken}
	}
	route, ok := r.catalog.Route(p.Destination)
	if !ok && r.fresh(now) {
		return r.reset(p, ReasonNoRoute)
	}
	e := r.catalog.ByToken(p.Token)
	if e == nil {
		return r.unknown(now, p)
	}
	if !e.Address.IsValid() {
		return Decision{Verdict: VerdictDrop, Reason: ReasonUnreadable}
	}
	if e.Removed() {
		return r.resetFrom(e, p, ReasonUpstreamGone)
	}
	t := r.targets[e.ID]
	if t == nil { // Nothing is measured of an upstream without a service.
		return forward(e, ReasonToken)
	}
	r.learn(now, k, t, p)
	if route.Idempotent && r.dead(t) {
		// The caller can repeat the request elsewhere, which is better than to
		// wait until its deadline.
		r.forget(k)
		return r.resetFrom(e, p, ReasonUpstreamSilent)
	}
	return forward(e, ReasonToken)
}

// unknown decides on a packet whose token no upstream has. Another balancer
// may have heard of a new upstream first; but if the platform confirms later
// that there is none, the upstream has left and the flow has ended.
func (r *Router) unknown(now time.Time, p Packet) Decision {
	first, ok := r.unknowns[p.Token]
	if !ok {
		if len(r.unknowns) >= maxUnknowns {
			clear(r.unknowns)
		}
		r.unknowns[p.Token] = now
		return Decision{Verdict: VerdictDrop, Reason: ReasonUnknownToken}
	}
	if !r.catalog.Confirmed(first) || !r.fresh(now) {
		return Decision{Verdict: VerdictDrop, Reason: ReasonUnknownToken}
	}
	return r.reset(p, ReasonUnknownToken)
}

// maxUnknowns bounds the unknown tokens that are remembered. Callers can make
// up any number of them.
const maxUnknowns = 1024

// dead reports whether an upstream has crashed, as far as packets tell: it is
// silent while others in its zone answer. An upstream in another zone may only
// be out of this balancer's reach, and others may carry the flow on.
func (r *Router) dead(t *target) bool {
	return t.inZone && t.signs.dead() && t.zone.answered.After(t.signs.first)
}

// fresh reports whether the catalog is recent enough to show that something
// does not exist.
func (r *Router) fresh(now time.Time) bool {
	return r.catalog.Complete() && r.catalog.Age(now) <= r.options.FreshFor
}

func forward(e *bvcatalog.Entry, why Reason) Decision {
	return Decision{Verdict: VerdictForward, Reason: why, Upstream: e.ID, Address: e.Address, Token: e.Token}
}

// reset answers the caller. It learns in no other way that its upstream is
// gone, and would wait until its deadline.
func (r *Router) reset(p Packet, why Reason) Decision {
	if p.Phase == bvflow.PhaseReset {
		return Decision{Verdict: VerdictDrop, Reason: why}
	}
	return Decision{Verdict: VerdictReset, Reason: why, Sequence: p.Acknowledged}
}

// resetFrom answers a caller whose flow is at an upstream.
func (r *Router) resetFrom(e *bvcatalog.Entry, p Packet, why Reason) Decision {
	d := r.reset(p, why)
	d.Upstream = e.ID
	return d
}

// learn takes note of what a packet of an open flow says about its upstream:
// the caller goes on, so the opening was answered; it acknowledges data, so
// the request was answered; it repeats data, so the upstream has not
// acknowledged it.
func (r *Router) learn(now time.Time, k bvflow.Key, t *target, p Packet) {
	o, first := r.pending.answered(p.Source.Addr(), k)
	if first {
		r.settle(o)
		r.handshake.measured(now.Sub(o.at))
		r.followedUp(t)
		r.alive(now, t)
	}
	if q, ok := r.requests.answered(k, p); ok && q.upstream == t.entry.ID {
		r.answered(now, t, now.Sub(q.at))
	}
	if p.Phase != bvflow.PhaseEstablished {
		if q, ok := r.requests.ended(k); ok {
			r.unserved(now, q)
		}
		return
	}
	if p.Payload == 0 {
		return
	}
	if q, ok := r.requests.open[k]; ok && q.upstream != t.entry.ID {
		r.forget(k) // The caller uses its port again.
	}
	starts, repeats, lost := r.requests.sent(now, k, t.entry.ID, p)
	r.release(lost)
	switch {
	case starts:
		t.load.open++
		if !first { // The opening counts for the request that comes with it.
			t.load.add(now, 1)
		}
	case repeats:
		r.unanswered(now, t, false)
	}
}

// alive takes note that an upstream has answered.
func (r *Router) alive(now time.Time, t *target) {
	t.signs.answered()
	r.evidence.answered()
	t.zone.answer(now)
	r.limiter.Answered(now, t.entry.ID)
	if t.standing == standingSilent {
		t.service.choice.drop(t)
		t.service.choice.use(t)
	}
}

// answered takes note of an answered request.
func (r *Router) answered(now time.Time, t *target, latency time.Duration) {
	r.alive(now, t)
	t.load.open = max(t.load.open-1, 0)
	t.load.measured(now, latency)
	t.service.measured(latency)
}

// usualWeight is the weight of one measurement in the usual latency of a
// service. It is far smaller than that of an upstream, so that the usual
// latency follows the upstreams as a whole.
const usualWeight = 0.01

func (s *serviceTargets) measured(d time.Duration) {
	if s.usual == 0 {
		s.usual = d
		return
	}
	s.usual += time.Duration(usualWeight * float64(d-s.usual))
}

// followedUp takes note that a caller has gone on with its opening. When that
// changes how many unanswered openings show a fault, upstreams that were left
// out for fewer are usable again.
func (r *Router) followedUp(t *target) {
	r.followUps.answered(t.unfollowed)
	t.unfollowed = 0
	if !r.limiter.SetUnansweredThreshold(r.followUps.least(bvlimit.DefaultUnansweredThreshold)) {
		return
	}
	for _, s := range r.services {
		s.choice.restore(func(t *target) bool { return !r.limiter.Unresponsive(t.entry.ID) })
	}
}

// unanswered takes note that a caller has repeated a packet because the
// upstream did not acknowledge it. An opening may have been counted before, as
// one that was not followed up.
func (r *Router) unanswered(now time.Time, t *target, counted bool) {
	t.signs.unanswered(now)
	if !counted {
		r.suspect(now, t)
	}
	if r.limiter.UnansweredRetransmit(now, t.entry.ID) {
		r.rest(now, t)
	}
}

// notFollowedUp takes note that an opening stayed without a next packet of its
// caller. That may be the caller's own doing, so it says less than a packet that
// the caller repeats: it does not end open flows.
func (r *Router) notFollowedUp(now time.Time, t *target) {
	t.unfollowed++
	r.suspect(now, t)
}

// suspect counts a packet that stayed without an answer against the upstream,
// its zone and this balancer's own links.
func (r *Router) suspect(now time.Time, t *target) {
	t.zone.unanswered(now, t.entry.ID, r.followUps.least(zoneMin))
	r.evidence.unanswered(now)
	if r.limiter.Unanswered(now, t.entry.ID) {
		r.rest(now, t)
	}
}

// forget drops the request of a flow that is reset.
func (r *Router) forget(k bvflow.Key) {
	if q, ok := r.requests.ended(k); ok {
		r.release(q)
	}
}

// release stops counting a request that will not be measured.
func (r *Router) release(q request) {
	if t := r.targets[q.upstream]; t != nil {
		t.load.open = max(t.load.open-1, 0)
	}
}

// unserved takes note of a request that ended without an answer. Its latency
// is at least the time until then: an upstream that hangs or drops requests
// would otherwise look quick by those that it serves.
func (r *Router) unserved(now time.Time, q request) {
	r.release(q)
	if t := r.targets[q.upstream]; t != nil {
		t.load.measured(now, max(now.Sub(q.at), t.load.latency))
	}
}

// expire counts openings that were not answered in time, and requests that
// nobody waits for any more.
func (r *Router) expire(now time.Time) {
	for {
		o, ok := r.pending.late(now.Add(-r.handshake.timeout()))
		if !ok {
			break
		}
		if t := r.targets[o.upstream]; t != nil {
			r.notFollowedUp(now, t)
		}
	}
	for {
		o, ok := r.pending.expired(now.Add(-r.options.AnswerTimeout))
		if !ok {
			break
		}
		r.settle(o)
	}
	for {
		q, ok := r.requests.expired(now.Add(-r.options.RequestTimeout))
		if !ok {
			break
		}
		r.unserved(now, q)
	}
}

// Isolated reports whether this balancer seems to reach no upstream, so that
// its callers are better served by another one.
func (r *Router) Isolated(now time.Time) bool {
	return r.evidence.isolated(now, r.followUps.least(isolatedMin), r.fresh(now))
}
