package bvtoken

import (
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
	avoid := r.repeated(now, k)
	t, why := r.place(now, k, r.services[r.backend(k, route)], avoid)
	if t == nil {
		return r.reset(p, why)
	}
	if avoid != 0 && why == ReasonPlaced {
		why = ReasonPlacedAgain
	}
	t.load.add(now, 1)
	r.pending.put(k, opening{upstream: t.entry.ID, at: now})
	return forward(t.entry, why)
}

// repeated returns the upstream that did not answer the opening before, if
// there was one, and counts that.
func (r *Router) repeated(now time.Time, k bvflow.Key) bvconfig.UpstreamID {
	o, ok := r.pending.openings[k]
	if !ok {
		return 0
	}
	if t := r.targets[o.upstream]; t != nil && !o.judged {
		r.unanswered(now, t)
	}
	o.judged = true
	r.pending.openings[k] = o
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

// place returns the upstream for a new flow, or nil and the reason. It tries
// upstreams in the order of their cost.
func (r *Router) place(now time.Time, k bvflow.Key, s *serviceTargets, avoid bvconfig.UpstreamID) (*target, Reason) {
	if s == nil {
		return nil, ReasonNoUpstream
	}
	r.placement++
	why := ReasonNoUpstream
	for {
		t := r.next(now, k, s, avoid)
		if t == nil {
			break
		}
		t.tried = r.placement
		if r.limiter.Admit(now, t.entry.ID) {
			if !t.inZone {
				return t, ReasonPlacedFarther
			}
			return t, ReasonPlaced
		}
		if t.entry.Cold(now) {
			why = ReasonColdBudget
		}
	}
	if t := r.lastResort(now, s); t != nil {
		return t, ReasonPlacedSilent
	}
	return nil, why
}

// next returns the best upstream that this placement has not tried.
func (r *Router) next(now time.Time, k bvflow.Key, s *serviceTargets, avoid bvconfig.UpstreamID) *target {
	var best *target
	var least float64
	for _, t := range s.targets {
		if t.tried == r.placement {
			continue
		}
		n := r.cost(now, k, s, t, avoid)
		if best == nil || n < least {
			best, least = t, n
		}
	}
	return best
}

// The weights of what makes an upstream cost more. The unit is the time that a
// request usually takes on a free upstream.
const (
	// utilizationCost is for the part of the upstream's slots that this
	// balancer's requests use.
	utilizationCost = 2.0
	// openCost is for each slot's worth of requests that wait for an answer.
	openCost = 0.5
	// latencyCost is for the latency above the usual one, after latencySlack,
	// which covers the spread of the requests' own times.
	latencyCost  = 2.0
	latencySlack = 0.3
	// fartherCost is for another zone: links between zones are expensive and
	// fail more often, so the own zone takes its load until it is clearly slower.
	fartherCost = 1.5
	// avoidCost puts the upstream that did not answer behind all others.
	avoidCost = 1e9
	// coldFactor is how much slower a cold upstream is.
	coldFactor = 1.6
	// tieCost breaks ties, differently for each flow.
	tieCost = 0.01
)

// assumedLatency stands for the usual latency until one is measured.
const assumedLatency = 50 * time.Millisecond

// cost estimates how long a request would take at an upstream, as far as this
// balancer's own requests tell.
func (r *Router) cost(now time.Time, k bvflow.Key, s *serviceTargets, t *target, avoid bvconfig.UpstreamID) float64 {
	usual := s.usual
	if usual == 0 {
		usual = assumedLatency
	}
	slots := float64(max(t.entry.Slots, 1))
	n := utilizationCost * t.load.requests(now) * usual.Seconds() / loadMemory.Seconds() / slots
	n += openCost * float64(t.load.open) / slots
	if t.entry.Cold(now) {
		n *= coldFactor
	}
	if over := t.load.excess(now, usual) - latencySlack; over > 0 {
		n += latencyCost * over
	}
	if !t.inZone {
		n += fartherCost
	}
	if t.entry.ID == avoid {
		n += avoidCost
	}
	return n + tieCost*tie(k, t.entry.ID)
}

// tie returns a number in [0, 1) that is independent for each flow and
// upstream.
func tie(k bvflow.Key, u bvconfig.UpstreamID) float64 {
	x := (k.High() ^ uint64(u)) * 0x9e3779b97f4a7c15
	return float64(x>>40) / (1 << 24)
}

// lastResort returns an upstream that did not answer lately, if that is all
// there is: a wrong suspicion of all must not end the service.
func (r *Router) lastResort(now time.Time, s *serviceTargets) *target {
	var best *target
	for _, t := range s.targets {
		if !r.limiter.Silent(t.entry.ID) || t.entry.Cold(now) {
			continue
		}
		if best == nil || t.load.requests(now) < best.load.requests(now) {
			best = t
		}
	}
	return best
}
