package bvtoken

import (
	"net/netip"
	"time"

	"balsamvane/core/bvcatalog"
	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvpick"
)

// routeOpening places the flow of an opening packet.
//
// An upstream that receives an opening runs nothing until the caller sends its
// next packet. So a repeated opening may go to another upstream, and a refusal is
// correct whatever happened to earlier openings of the flow. seen is true if packets of
// the open flow have been routed: it has ended, or p is a late copy.
func (r *Router) routeOpening(now time.Time, k bvflow.Key, p Packet, seen bool) Decision {
	if d, ok := r.routeCopy(now, k, p); ok {
		return d
	}
	if seen {
		r.abandonFlow(now, k)
	}
	if !r.catalog.Complete() {
		return Decision{Verdict: VerdictDrop, Reason: ReasonIncomplete}
	}
	route, ok := r.catalog.Route(p.Destination)
	if !ok {
		if !r.catalogCurrent(now) {
			return Decision{Verdict: VerdictDrop, Reason: ReasonNoRoute}
		}
		return r.reset(p, ReasonNoRoute)
	}
	f := newFlow{
		key: k, service: r.services[r.pickService(k, route)],
		unansweredBy: r.recordRepeat(now, k, p), awaiting: r.awaitedUpstreams(p.Source.Addr()), policy: route.RequestPolicy,
	}
	if v := r.admit(now, f, p); v.Refused() {
		d := r.reset(p, ReasonNoCapacity)
		d.Refusal = Refusal{Service: f.service.name, Priority: route.Priority, Verdict: v}
		return d
	}
	r.avoidHedged(&f)
	t, reason := r.place(now, &f)
	if t == nil && !r.catalog.GracePeriodOver() {
		// Other upstreams may still have to register again. The caller retransmits
		// its opening, while a refusal would use up one of its tries.
		return Decision{Verdict: VerdictDrop, Reason: reason}
	}
	if t == nil {
		return r.reset(p, reason)
	}
	if f.unansweredBy != 0 && reason == ReasonPlaced {
		reason = ReasonPlacedAgain
	}
	d := forward(t.entry, reason)
	d.HedgeSlot = r.recordPlaced(now, &f, p, t, route.Idempotent, seen)
	return d
}

// recordPlaced records that the opening p of a flow was placed at an upstream, and
// returns its HedgeSlot. idempotent tells whether the requests of its route may be
// repeated. seen is true if packets of the open flow have been routed.
func (r *Router) recordPlaced(now time.Time, f *newFlow, p Packet, t *target, idempotent, seen bool) int {
	t.load.add(now, 1)
	r.recordOpening(now, p.Source.Addr(), f.key, t, seen)
	r.recent.put(p.Source.Addr(), f.key)
	return r.offerHedge(now, f.key, p, t, idempotent, f.unansweredBy != 0 || seen)
}

// newFlow is a flow that needs an upstream.
type newFlow struct {
	key     bvflow.Key
	service *serviceTargets
	// unansweredBy is the upstream that did not answer an earlier opening of the
	// flow; 0 if there was none.
	unansweredBy bvconfig.UpstreamID
	// awaiting holds the upstreams that have not answered the caller's last
	// openings, as far as packets show. Such an upstream may have reset the opening.
	awaiting [openingsPerCaller]bvconfig.UpstreamID
	policy   bvcatalog.RequestPolicy // That of the route.
	// spillover is that of the own zone, and probes is the number of probes that the
	// service may send to upstreams that reject. place sets both.
	spillover spillover
	probes    float64
	// usual is the usual latency of a request to the service.
	usual        time.Duration
	usualSeconds float64
}

// awaitedUpstreams returns the upstreams that have not answered the last
// openings of a caller.
func (r *Router) awaitedUpstreams(caller netip.Addr) (us [openingsPerCaller]bvconfig.UpstreamID) {
	for i, k := range r.recent.openings(caller) {
		o, _ := r.pending.get(k)
		us[i] = o.upstream
	}
	return us
}

// recordOpening records a placed opening, which may be a repeated one. seen is true if
// packets of the open flow have been routed.
func (r *Router) recordOpening(now time.Time, caller netip.Addr, k bvflow.Key, t *target, seen bool) {
	before, repeated := r.pending.remove(k)
	if repeated {
		r.releaseOpening(before)
	}
	t.load.opening++
	r.unsent = append(r.unsent, k)
	if evicted, ok := r.pending.put(caller, k, opening{upstream: t.entry.ID, at: now, repeated: repeated || seen}); ok {
		r.releaseOpening(evicted)
	}
}

// releaseOpening removes an opening that is no longer awaited from the load of
// its upstream.
func (r *Router) releaseOpening(o opening) {
	r.counts.openings++
	if t := r.targets[o.upstream]; t != nil {
		t.load.opening = max(t.load.opening-1, 0)
	}
	r.releaseHedge(o)
}

// recordRepeat records the repeated opening p of a flow, if there is an earlier one,
// and returns the upstream of that one.
func (r *Router) recordRepeat(now time.Time, k bvflow.Key, p Packet) bvconfig.UpstreamID {
	o, ok := r.pending.get(k)
	if !ok {
		return 0
	}
	if t := r.targets[o.upstream]; t != nil {
		r.recordRetransmission(now, t, p, o.sentAt, o.counted)
	}
	if r.suspected(o.sentAt, p.ArrivedAfter) {
		r.pending.markCounted(k)
	}
	return o.upstream
}

// maxBackends bounds the services that share a route.
const maxBackends = 16

// pickService chooses one of a route's services for a flow. All balancers choose
// the same.
func (r *Router) pickService(k bvflow.Key, route bvcatalog.Route) string {
	if len(route.Backends) == 1 {
		return route.Backends[0].Service
	}
	var cs [maxBackends]bvpick.Candidate
	n := min(len(route.Backends), maxBackends)
	for i, b := range route.Backends[:n] {
		cs[i] = bvpick.Zone(b.Service, uint64(b.Weight))
	}
	i := bvpick.Best(k, cs[:n])
	if i < 0 {
		return ""
	}
	return route.Backends[i].Service
}

// maxBusyWindows bounds how many parts of a service are searched for an upstream
// that is not busy.
const maxBusyWindows = 4

// place returns the upstream for a new flow, or nil if there is none, and the
// reason. It tries upstreams in the order of their cost and suspends those that
// the limiter rejects.
func (r *Router) place(now time.Time, f *newFlow) (*target, Reason) {
	if f.service == nil {
		return nil, ReasonNoUpstream
	}
	f.setUsual()
	if r.options.Responses && f.policy.Objective > 0 {
		f.spillover = f.service.spillover(now, f.key, f.policy.Objective)
		f.spillover.setCosts(now, f.service.otherZones)
		f.probes = f.service.rejections.allowedProbes(now)
	}
	c := &f.service.pools
	c.resume(now)
	busy := 0
	for window := 0; len(c.local)+len(c.remote) > 0 && busy < maxBusyWindows; window++ {
		t, skipped := r.pickFrom(now, f, window)
		if t != nil && !t.inZone {
			return t, ReasonPlacedFarther
		}
		if t != nil {
			return t, ReasonPlaced
		}
		if skipped {
			busy++
		}
	}
	switch t := r.lastResort(now, f); {
	case busy > 0:
		return nil, ReasonBusy
	case t != nil:
		return t, ReasonPlacedSilent
	case len(c.coldLimited) > 0:
		return nil, ReasonColdBudget
	}
	return nil, ReasonNoUpstream
}

// pickFrom returns the best usable upstream of a window, or nil. It reports
// whether it skipped a busy one.
func (r *Router) pickFrom(now time.Time, f *newFlow, window int) (t *target, busy bool) {
	c, gracePeriodOver := &f.service.pools, r.catalog.GracePeriodOver()
	var cs candidates
	cs.draw(c, f.key, window)
	r.compared += uint64(cs.n)
	r.setFixedCosts(now, f, &cs)
	r.traceCosts(now, f, &cs)
	for t := r.popBest(now, f, &cs); t != nil; t = r.popBest(now, f, &cs) {
		if !gracePeriodOver && t.busy() {
			busy = true
			continue
		}
		if !r.limiter.Admit(now, t.entry.ID) {
			r.suspend(now, t)
			continue
		}
		if r.limiter.Unresponsive(t.entry.ID) { // Try one opening until its outcome is known.
			c.suspend(t, stateUnresponsive, now.Add(r.options.AnswerTimeout))
		}
		r.recordPlacement(now, f, t)
		return t, busy
	}
	return nil, busy
}

// suspend takes an upstream that the limiter has rejected out of use until it
// may take a flow again.
func (r *Router) suspend(now time.Time, t *target) {
	if t.state == stateNone {
		return
	}
	until, unresponsive := r.limiter.BlockedUntil(now, t.entry.ID)
	state := stateColdLimited
	if unresponsive {
		state = stateUnresponsive
	}
	t.service.pools.suspend(t, state, until)
}

// busy reports whether this balancer alone has as many open requests at the
// upstream as it has slots.
func (t *target) busy() bool {
	return t.load.open+t.load.opening >= int(max(t.entry.Slots, 1))
}

// lastResort returns an ejected upstream for a flow that no other can take. If all
// upstreams are ejected by mistake, the service must go on.
func (r *Router) lastResort(now time.Time, f *newFlow) *target {
	var cs candidates
	cs.add(pool(f.service.pools.unresponsive), f.key.High(), maxCandidates)
	r.compared += uint64(cs.n)
	if r.trace != nil {
		r.setFixedCosts(now, f, &cs)
	}
	var best *target
	for i, t := range cs.targets[:cs.n] {
		if t.entry.Cold(now) {
			continue
		}
		if r.trace != nil {
			r.trace.record(t, r.cost(now, f, t, cs.costs[i]))
		}
		if best == nil || t.load.requests(now) < best.load.requests(now) {
			best = t
		}
	}
	return best
}
