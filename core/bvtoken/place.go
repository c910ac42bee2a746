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
		if r.catalog.Age(now) > r.options.FreshFor {
			return Decision{Verdict: VerdictDrop, Reason: ReasonNoRoute}
		}
		return r.reset(p, ReasonNoRoute)
	}
	before, again := r.pending.openings[k]
	if again && !before.judged {
		r.unanswered(now, before.upstream)
		before.judged = true
		r.pending.openings[k] = before
	}
	var avoid bvconfig.UpstreamID
	if again {
		avoid = before.upstream
	}
	t, why := r.place(now, r.services[r.backend(k, route)], avoid)
	if t == nil {
		return r.reset(p, why)
	}
	if again || p.Copy > 0 {
		why = ReasonPlacedAgain
	}
	t.load.add(now, 1)
	r.pending.put(k, opening{upstream: t.entry.ID, at: now})
	return forward(t.entry, why)
}

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

// maxBackends bounds the services that share a route.
const maxBackends = 16

// place returns the upstream for a new flow, or nil and the reason. It tries
// the least loaded upstream first, those of the own zone before all others and
// the one to avoid last.
func (r *Router) place(now time.Time, ts []*target, avoid bvconfig.UpstreamID) (*target, Reason) {
	r.placement++
	why := ReasonNoUpstream
	for {
		t := r.next(now, ts, avoid)
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
	if t := r.lastResort(now, ts); t != nil {
		return t, ReasonPlacedSilent
	}
	return nil, why
}

// next returns the best upstream that this placement has not tried.
func (r *Router) next(now time.Time, ts []*target, avoid bvconfig.UpstreamID) *target {
	var best *target
	var least float64
	for _, t := range ts {
		if t.tried == r.placement {
			continue
		}
		n := r.cost(now, t, avoid)
		if best == nil || n < least {
			best, least = t, n
		}
	}
	return best
}

// The weights that order upstreams: a farther zone counts more than any load,
// and the upstream to avoid more than that.
const (
	fartherCost = 1e6
	avoidCost   = 1e9
	coldFactor  = 1.6
)

func (r *Router) cost(now time.Time, t *target, avoid bvconfig.UpstreamID) float64 {
	n := t.load.value(now) / float64(max(t.entry.Slots, 1))
	if t.entry.Cold(now) {
		n *= coldFactor
	}
	if !t.inZone {
		n += fartherCost
	}
	if t.entry.ID == avoid {
		n += avoidCost
	}
	return n
}

// lastResort returns an upstream that did not answer lately, if that is all
// there is: a wrong suspicion of all must not end the service.
func (r *Router) lastResort(now time.Time, ts []*target) *target {
	var best *target
	for _, t := range ts {
		if !r.limiter.Silent(t.entry.ID) || t.entry.Cold(now) {
			continue
		}
		if best == nil || t.load.value(now) < best.load.value(now) {
			best = t
		}
	}
	return best
}
