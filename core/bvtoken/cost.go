package bvtoken

import (
	"math"
	"slices"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
)

// The terms of an upstream's cost. The unit is the usual duration of a request
// on an idle upstream.
const (
	// utilizationCost weights the fraction of the upstream's slots that this
	// balancer's requests use.
	utilizationCost = 2.0
	// openCost weights openings and requests that wait for an answer, per slot.
	// Without it an upstream that refuses its openings would look idle.
	openCost = 0.5
	// latencyCost weights the latency above the service's mean, less
	// latencySlack, which allows for the variation between requests.
	latencyCost  = 2.0
	latencySlack = 0.3
	// otherZoneCost is added for another zone. Links between zones are expensive
	// and fail more often, so the own zone takes its load until it is clearly slower.
	otherZoneCost = 1.5
	// zoneDownCost is added for a zone that counts as down. It exceeds
	// otherZoneCost.
	zoneDownCost = 3.0
	// awaitingCost is added for an upstream that may have reset the caller's last
	// opening. It exceeds otherZoneCost, so that callers of a zone with a single
	// upstream are sent to another zone.
	awaitingCost = 2.0
	// unansweredCost ranks the upstream that did not answer an earlier opening
	// of the flow behind all others.
	unansweredCost = 1e9
	// coldSlowdown is how many times slower a cold upstream is.
	coldSlowdown = 1.6
	// tieCost breaks ties, differently for each flow.
	tieCost = 0.01
)

// defaultLatency replaces the mean latency until one is measured.
const defaultLatency = 50 * time.Millisecond

// setUsual sets the usual latency of a request to the flow's service.
func (f *newFlow) setUsual() {
	f.usual = f.service.meanLatency
	if f.usual == 0 {
		f.usual = defaultLatency
	}
	f.usualSeconds = f.usual.Seconds()
}

// popBest removes and returns the upstream with the lowest cost; nil if none is left.
// It completes only the costs that may be the lowest.
func (r *Router) popBest(now time.Time, f *newFlow, cs *candidates) *target {
	if cs.n == 0 {
		return nil
	}
	least, lowest := 0, math.Inf(1)
	for i := range cs.n {
		if cs.costs[i] >= lowest {
			continue
		}
		if !cs.complete[i] {
			cs.costs[i], cs.complete[i] = r.cost(now, f, cs.targets[i], cs.costs[i]), true
		}
		if cs.costs[i] < lowest {
			least, lowest = i, cs.costs[i]
		}
	}
	return cs.remove(least)
}

// setFixedCosts sets the costs of all candidates to the terms that do not depend on the
// load of the upstream: those for its zone and its rejections.
func (r *Router) setFixedCosts(now time.Time, f *newFlow, cs *candidates) {
	late, rejecting := f.spillover.factor > 0, f.policy.Objective > 0 && f.service.rejections.rejected > 0
	for i, t := range cs.targets[:cs.n] {
		n := 0.0
		switch {
		case t.inZone:
			n = f.spillover.ownCost
		case late:
			n = otherZoneCost + t.zoneLatency.cost
		default:
			n = otherZoneCost
		}
		if rejecting && t.rejections.present() {
			n += r.rejectionCost(now, t, f.probes >= 1)
		}
		cs.costs[i] = n
	}
}

// cost estimates the duration of a request at an upstream from this balancer's
// own requests. fixed holds the terms of setFixedCosts; the other terms are not negative.
func (r *Router) cost(now time.Time, f *newFlow, t *target, fixed float64) float64 {
	slots := float64(max(t.entry.Slots, 1))
	n := utilizationCost * t.load.requests(now) * f.usualSeconds / loadMemory.Seconds() / slots
	n += openCost * float64(t.load.open+t.load.opening) / slots
	if t.entry.Cold(now) {
		n *= coldSlowdown
	}
	if over := t.load.latencyExcess(now, f.usual) - latencySlack; over > 0 {
		n += latencyCost * over
	}
	n += fixed
	if t.zone.down(now) {
		n += zoneDownCost + f.spillover.downCost(t)
	}
	if slices.Contains(f.awaiting[:], t.entry.ID) {
		n += awaitingCost
	}
	if t.entry.ID == f.unansweredBy {
		n += unansweredCost
	}
	return n + tieCost*tieBreak(f.key, t.entry.ID)
}

// tieBreak returns a number in [0, 1) that is independent for each flow and
// upstream.
func tieBreak(k bvflow.Key, u bvconfig.UpstreamID) float64 {
	x := (k.High() ^ uint64(u)) * 0x9e3779b97f4a7c15
	return float64(x>>40) / (1 << 24)
}
