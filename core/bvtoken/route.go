package bvtoken

import (
	"net/netip"
	"time"

	"balsamvane/core/bvcatalog"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvlimit"
)

// Route decides on a caller's packet. In a batch, packets of open flows must
// come first, since they show which openings have been answered.
func (r *Router) Route(now time.Time, p Packet) Decision {
	r.refresh(now)
	k := r.hasher.Key(p.Tuple)
	if p.Phase == bvflow.PhaseOpening {
		r.expire(now, p)
		return r.routeOpening(now, k, p, r.seen.remove(k))
	}
	return r.routeEstablished(now, k, p)
}

// routeEstablished decides on a packet of an open flow.
func (r *Router) routeEstablished(now time.Time, k bvflow.Key, p Packet) Decision {
	if p.Token == 0 {
		return Decision{Verdict: VerdictDrop, Reason: ReasonNoToken}
	}
	p.Token = r.pinned(now, k, p.Phase, p.Token)
	openFor := r.seen.record(now, k, p.Token)
	_, routed := r.catalog.Route(p.Destination)
	if !routed && r.knowsRemovalsSince(now.Add(-openFor)) {
		return r.reset(p, ReasonNoRoute)
	}
	e := r.catalog.ByToken(p.Token)
	if e == nil {
		return r.routeUnknownToken(now, now.Add(-openFor), p)
	}
	if !e.Address.IsValid() {
		return Decision{Verdict: VerdictDrop, Reason: ReasonUnreadable}
	}
	if e.Removed() {
		return r.routeRemoved(now, k, now.Add(-openFor), e, p)
	}
	reason := ReasonToken
	if !routed {
		reason = ReasonTokenUnreadRoute
	}
	t := r.targets[e.ID]
	if t == nil { // An upstream without a service has no measurements.
		return forward(e, reason)
	}
	// An upstream that does not answer gets no new flows for some time. Its open flows
	// stay until its entry is removed: packets may also be late or lost because of this
	// balancer, its links or a caller.
	r.observe(now, k, t, p)
	return forward(e, reason)
}

// routeUnknownToken decides on a packet whose token belongs to no upstream, of a flow
// that has been open since a time. Another balancer may have received a new upstream's
// entry earlier, or the entry may have been removed before this balancer started
// although the upstream still serves its flows. If the platform confirms later that
// there is no such upstream, and it was not removed recently, the flow has ended.
func (r *Router) routeUnknownToken(now, openSince time.Time, p Packet) Decision {
	if !r.knowsRemovalsSince(openSince) || !r.catalog.KnowsRemoved(now) {
		return Decision{Verdict: VerdictDrop, Reason: ReasonUnknownToken}
	}
	return r.reset(p, ReasonUnknownToken)
}

// knowsRemovalsSince reports whether a route or upstream that existed at a time, and
// that the catalog lacks, was removed. A flow that was open then has ended. A catalog
// that is only recent does not show that: another balancer may have opened the flow
// with a newer one.
func (r *Router) knowsRemovalsSince(t time.Time) bool {
	return r.catalog.Complete() && r.catalog.Confirmed(t)
}

// catalogCurrent reports whether the catalog is recent enough to refuse a new flow
// for what the catalog lacks. It does not show that an open flow has ended; see
// knowsRemovalsSince.
func (r *Router) catalogCurrent(now time.Time) bool {
	return r.catalog.Complete() && r.catalog.Age(now) <= r.options.MaxStaleness
}

func forward(e *bvcatalog.Entry, reason Reason) Decision {
	return Decision{Verdict: VerdictForward, Reason: reason, Upstream: e.ID, Address: e.Address, Token: e.Token}
}

// reset answers the caller with a reset. Without one, a caller whose upstream was
// removed would wait until its deadline.
func (r *Router) reset(p Packet, reason Reason) Decision {
	if p.Phase == bvflow.PhaseReset {
		return Decision{Verdict: VerdictDrop, Reason: reason}
	}
	return Decision{Verdict: VerdictReset, Reason: reason, Sequence: p.Acknowledged}
}

// resetFrom resets a flow that has an upstream.
func (r *Router) resetFrom(e *bvcatalog.Entry, p Packet, reason Reason) Decision {
	d := r.reset(p, reason)
	d.Upstream = e.ID
	return d
}

// observe updates the measurements of an upstream from a packet of an open flow.
// A further packet shows that the opening was answered. Acknowledged data shows
// that the request was answered. Repeated data shows that the upstream has not
// acknowledged it.
func (r *Router) observe(now time.Time, k bvflow.Key, t *target, p Packet) {
	o, first := r.pending.complete(p.Source.Addr(), k)
	if first {
		r.releaseOpening(o)
		r.recordHandshake(now, t, o, p)
		r.recordHedgeOutcome(now, t, o, p)
		r.recordCompletion(t)
		r.recordAlive(now, t)
	}
	switch q, ok := r.requests.complete(k, p); {
	case ok && q.upstream == t.entry.ID:
		r.recordAnswered(t, q.firstSentAt)
		r.recordAnswer(now, k, t, q, p)
	case ok: // The caller has reused its port.
		r.releaseRequest(now, q, outcomeAbandoned)
	}
	if r.continueResponse(now, k, p) {
		return
	}
	if p.Phase != bvflow.PhaseEstablished {
		r.recordClosing(now, k, p)
		return
	}
	if p.Payload == 0 {
		return
	}
	starts, repeats, sentAt := r.recordRequest(now, k, t.entry.ID, t, p)
	switch {
	case starts:
		t.load.open++
		if !first { // The opening has already counted for this request.
			t.load.add(now, 1)
		}
	case repeats:
		r.recordRetransmission(now, t, p, sentAt, false)
	}
}

// recordHandshake records that the caller of an opening has sent a further packet p.
// It measures nothing if the opening was repeated, since the answer may belong to an
// earlier one.
func (r *Router) recordHandshake(now time.Time, t *target, o opening, p Packet) {
	if o.repeated || o.sentAt.IsZero() || o.upstream != t.entry.ID {
		return
	}
	r.recordAnswered(t, o.sentAt)
	if readPromptly(now, p) {
		r.handshake.record(now.Sub(o.sentAt))
	}
}

// recordAlive records that an upstream has answered.
func (r *Router) recordAlive(now time.Time, t *target) {
	if t.unacked.overtaken > 0 {
		r.lostPacketAt = now
	}
	t.unacked.reset()
	r.reachability.reset()
	r.noAnswerSince = time.Time{}
	t.zone.recordAnswer()
	r.limiter.Answered(now, t.entry.ID)
	if t.state == stateUnresponsive {
		t.service.pools.remove(t)
		t.service.pools.makeUsable(t)
	}
}

// recordAnswer records a request that was answered, as its caller's packet p shows.
func (r *Router) recordAnswer(now time.Time, k bvflow.Key, t *target, q request, p Packet) {
	r.recordAlive(now, t)
	t.load.open = max(t.load.open-1, 0)
	r.startResponse(now, k, t, q, p)
}

// serviceLatencyWeight is the weight of one measurement in the mean latency of a
// service. It is far smaller than latencyWeight, so that the mean follows
// the upstreams as a whole.
const serviceLatencyWeight = 0.01

func (s *serviceTargets) recordLatency(d time.Duration) {
	if s.meanLatency == 0 {
		s.meanLatency = d
		return
	}
	s.meanLatency += time.Duration(serviceLatencyWeight * float64(d-s.meanLatency))
}

// recordCompletion records an opening whose caller has sent a further packet. If
// that changes the number of unanswered openings that show a fault, upstreams that
// were ejected after fewer become usable again.
func (r *Router) recordCompletion(t *target) {
	r.incompleteRuns.record(t.incompleteRun)
	t.incompleteRun = 0
	if !r.limiter.SetUnansweredThreshold(r.incompleteRuns.threshold(bvlimit.DefaultUnansweredThreshold)) {
		return
	}
	for _, s := range r.services {
		s.pools.restore(func(t *target) bool { return !r.limiter.Unresponsive(t.entry.ID) })
	}
}

// recordRetransmission records that a caller has repeated, as the packet p, a packet
// that was last sent at a time. It counts against the upstream as far as it shows that
// the upstream did not acknowledge that one. counted is true for an opening that has
// already been counted as unanswered.
func (r *Router) recordRetransmission(now time.Time, t *target, p Packet, sentAt time.Time, counted bool) {
	t.unacked.repeats++
	if r.answerOverdue(sentAt, p.ArrivedAfter) && !counted {
		r.reachability.record(now, p.Source.Addr())
	}
	if r.unanswered(sentAt, p, &t.zone.answered) {
		t.unacked.record(now, p.Source.Addr())
		if r.overtaken(sentAt, &t.zone.answered) {
			t.unacked.overtaken++
		}
	}
	if !r.suspected(sentAt, p.ArrivedAfter) {
		return
	}
	if !counted {
		r.recordFailure(now, t)
	}
	if r.limiter.UnansweredRetransmit(now, t.entry.ID) {
		r.suspend(now, t)
	}
}

// recordIncomplete records an opening whose caller sent no further packet. The
// caller may have caused that, so it is weaker evidence than a retransmission: it
// does not end open flows.
func (r *Router) recordIncomplete(now time.Time, t *target) {
	t.incompleteRun++
	r.reachability.record(now, netip.Addr{})
	r.recordFailure(now, t)
}

// recordFailure counts an unanswered packet against the upstream and its zone.
func (r *Router) recordFailure(now time.Time, t *target) {
	t.zone.recordUnacked(now, t.entry.ID, r.incompleteRuns.threshold(zoneDownMinUpstreams))
	if r.limiter.Unanswered(now, t.entry.ID) {
		r.suspend(now, t)
	}
}

// expire counts openings that were not answered in time, and removes openings
// and requests that had timed out before the opening p arrived. Packets that have
// arrived since then may still wait to be routed.
func (r *Router) expire(now time.Time, p Packet) {
	for {
		o, ok := r.pending.nextOverdue(func(sentAt time.Time) bool { return r.suspected(sentAt, p.ArrivedAfter) })
		if !ok {
			break
		}
		if t := r.targets[o.upstream]; t != nil {
			r.recordIncomplete(now, t)
		}
	}
	for {
		o, ok := r.pending.nextExpired(p.ArrivedAfter.Add(-r.options.AnswerTimeout))
		if !ok {
			break
		}
		r.releaseOpening(o)
	}
	r.expireResponses(now, p.ArrivedAfter)
	for {
		q, ok := r.requests.nextExpired(p.ArrivedAfter.Add(-r.options.RequestTimeout))
		if !ok {
			break
		}
		r.recordUnserved(now, q)
	}
}

// Isolated reports whether this balancer appears to reach no upstream, so that
// its callers are better served by another one.
func (r *Router) Isolated(now time.Time) bool {
	return r.reachability.isolated(now, r.incompleteRuns.threshold(isolatedMinUnacked), r.catalogCurrent(now))
}
