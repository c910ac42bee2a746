package bvtoken

import (
	"net/netip"
	"slices"
	"time"

	"balsamvane/core/bvcatalog"
	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvpick"
)

// open places the flow of an opening packet.
//
// An upstream that gets an opening has run nothing yet; it does so only when
// the caller goes on with it. So a repeated opening may go to another
// upstream, and a refusal is true whatever happened to the openings before.
func (r *Router) open(now time.Time, k bvflow.Key, p Packet) Decision {
	if !r.catalog.Complete() {
		return Decision{Verdict: VerdictDrop, Reason: ReasonIncomplete}
	}
	route, ok := r.catalog.Route(p.Destination)
	if !ok {
		if !r.fresh(now) {
			return Decision{Verdict: VerdictDrop, Reason: ReasonNoRoute}
		}
		return r.reset(p, ReasonNoRoute)
	}
	f := newFlow{
		key: k, service: r.services[r.backend(k, route)],
		unanswered: r.repeated(now, k), waiting: r.waiting(p.Source.Addr()),
	}
	t, why := r.place(now, f)
	if t == nil && !r.catalog.GracePeriodOver() {
		// Others may only have to register again. The caller repeats its
		// opening, while a refusal would use up one of its tries.
		return Decision{Verdict: VerdictDrop, Reason: why}
	}
	if t == nil {
		return r.reset(p, why)
	}
	if f.unanswered != 0 && why == ReasonPlaced {
		why = ReasonPlacedAgain
	}
	t.load.add(now, 1)
	r.opened(now, p.Source.Addr(), k, t)
	r.recent.put(p.Source.Addr(), k)
	return forward(t.entry, why)
}

// newFlow is a flow that needs an upstream.
type newFlow struct {
	key     bvflow.Key
	service *serviceTargets
	// unanswered is the upstream that did not answer an earlier copy of the
	// opening.
	unanswered bvconfig.UpstreamID
	// waiting are upstreams from which the caller waits for an answer to its
	// last openings, as far as packets tell. They may have reset them.
	waiting [recentOpenings]bvconfig.UpstreamID
}

// waiting returns the upstreams that have not answered the last openings of a
// caller.
func (r *Router) waiting(caller netip.Addr) (us [recentOpenings]bvconfig.UpstreamID) {
	for i, k := range r.recent.openings(caller) {
		o, _ := r.pending.get(k)
		us[i] = o.upstream
	}
	return us
}

// opened takes note of a placed opening, which may be a repeated one.
func (r *Router) opened(now time.Time, caller netip.Addr, k bvflow.Key, t *target) {
	if before, ok := r.pending.removed(k); ok {
		r.settle(before)
	}
	t.load.opening++
	if lost, full := r.pending.put(caller, k, opening{upstream: t.entry.ID, at: now}); full {
		r.settle(lost)
	}
}

// settle stops counting an opening that nobody waits for any more.
func (r *Router) settle(o opening) {
	if t := r.targets[o.upstream]; t != nil {
		t.load.opening = max(t.load.opening-1, 0)
	}
}

// repeated returns the upstream that did not answer the opening before, if
// there was one, and counts that.
func (r *Router) repeated(now time.Time, k bvflow.Key) bvconfig.UpstreamID {
	o, ok := r.pending.get(k)
	if !ok {
		return 0
	}
	if t := r.targets[o.upstream]; t != nil {
		r.unanswered(now, t, o.judged)
	}
	r.pending.judged(k)
	return o.upstream
}

// maxBackends bounds the services that share a route.
const maxBackends = 16

// backend chooses a route's service for a flow. All balancers choose the same.
func (r *Router) backend(k bvflow.Key, route bvcatalog.Route) string {
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

// maxBusyWindows bounds how many parts of a service are looked through for an
// upstream that is not busy.
const maxBusyWindows = 4

// place returns the upstream for a new flow, or nil and the reason. It tries
// upstreams in the order of their cost; those that are turned down rest.
func (r *Router) place(now time.Time, f newFlow) (*target, Reason) {
	if f.service == nil {
		return nil, ReasonNoUpstream
	}
	c := &f.service.choice
	c.wake(now)
	busy := 0
	for window := 0; len(c.near)+len(c.farther) > 0 && busy < maxBusyWindows; window++ {
		t, skipped := r.try(now, f, window)
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
	case len(c.cold) > 0:
		return nil, ReasonColdBudget
	}
	return nil, ReasonNoUpstream
}

// try returns the best usable upstream of a window, or nil. It reports whether
// one was passed over that is busy.
func (r *Router) try(now time.Time, f newFlow, window int) (t *target, busy bool) {
	c, settled := &f.service.choice, r.catalog.GracePeriodOver()
	var cs candidates
	cs.draw(c, f.key, window)
	r.compared += uint64(cs.n)
	for i := range cs.n {
		cs.costs[i] = r.cost(now, f, cs.targets[i])
	}
	for t := cs.best(); t != nil; t = cs.best() {
		if !settled && t.busy() {
			busy = true
			continue
		}
		if !r.limiter.Admit(now, t.entry.ID) {
			r.rest(now, t)
			continue
		}
		if r.limiter.Unresponsive(t.entry.ID) { // One opening is tried, until its outcome is known.
			c.rest(t, standingSilent, now.Add(r.options.AnswerTimeout))
		}
		return t, busy
	}
	return nil, busy
}

// rest leaves out an upstream that the limiter has turned down, until it may
// take a flow.
func (r *Router) rest(now time.Time, t *target) {
	if t.standing == standingNone {
		return
	}
	until, silent := r.limiter.BlockedUntil(now, t.entry.ID)
	why := standingCold
	if silent {
		why = standingSilent
	}
	t.service.choice.rest(t, why, until)
}

// busy reports whether an upstream has as many requests of this balancer alone
// as it has slots.
func (t *target) busy() bool {
	return t.load.open+t.load.opening >= int(max(t.entry.Slots, 1))
}

// The weights of what makes an upstream cost more. The unit is the time that a
// request usually takes on a free upstream.
const (
	// utilizationCost is for the part of the upstream's slots that this
	// balancer's requests use.
	utilizationCost = 2.0
	// openCost is for each slot's worth of openings and requests that wait for
	// an answer. An upstream that refuses its openings would look free without
	// them.
	openCost = 0.5
	// latencyCost is for the latency above the usual one, after latencySlack,
	// which covers the spread of the requests' own times.
	latencyCost  = 2.0
	latencySlack = 0.3
	// fartherCost is for another zone: links between zones are expensive and
	// fail more often, so the own zone takes its load until it is clearly slower.
	fartherCost = 1.5
	// zoneDownCost is for a zone that seems to be down. It exceeds fartherCost.
	zoneDownCost = 3.0
	// waitingCost is for an upstream that may have reset the caller's last
	// opening. It exceeds fartherCost, for a zone with one upstream.
	waitingCost = 2.0
	// unansweredCost puts the upstream that did not answer an earlier copy of
	// the opening behind all others.
	unansweredCost = 1e9
	// coldFactor is how much slower a cold upstream is.
	coldFactor = 1.6
	// tieCost breaks ties, differently for each flow.
	tieCost = 0.01
)

// assumedLatency stands for the usual latency until one is measured.
const assumedLatency = 50 * time.Millisecond

// cost estimates how long a request would take at an upstream, as far as this
// balancer's own requests tell.
func (r *Router) cost(now time.Time, f newFlow, t *target) float64 {
	usual := f.service.usual
	if usual == 0 {
		usual = assumedLatency
	}
	slots := float64(max(t.entry.Slots, 1))
	n := utilizationCost * t.load.requests(now) * usual.Seconds() / loadMemory.Seconds() / slots
	n += openCost * float64(t.load.open+t.load.opening) / slots
	if t.entry.Cold(now) {
		n *= coldFactor
	}
	if over := t.load.excess(now, usual) - latencySlack; over > 0 {
		n += latencyCost * over
	}
	if !t.inZone {
		n += fartherCost
	}
	if t.zone.down(now) {
		n += zoneDownCost
	}
	if slices.Contains(f.waiting[:], t.entry.ID) {
		n += waitingCost
	}
	if t.entry.ID == f.unanswered {
		n += unansweredCost
	}
	return n + tieCost*tie(f.key, t.entry.ID)
}

// tie returns a number in [0, 1) that is independent for each flow and
// upstream.
func tie(k bvflow.Key, u bvconfig.UpstreamID) float64 {
	x := (k.High() ^ uint64(u)) * 0x9e3779b97f4a7c15
	return float64(x>>40) / (1 << 24)
}

// lastResort returns an upstream that did not answer lately, if that is all
// there is: a wrong suspicion of all must not end the service.
func (r *Router) lastResort(now time.Time, f newFlow) *target {
	var cs candidates
	cs.take(pool(f.service.choice.silent), f.key.High(), maxCandidates)
	r.compared += uint64(cs.n)
	var best *target
	for _, t := range cs.targets[:cs.n] {
		if t.entry.Cold(now) {
			continue
		}
		if best == nil || t.load.requests(now) < best.load.requests(now) {
			best = t
		}
	}
	return best
}
