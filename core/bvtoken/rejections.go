package bvtoken

import (
	"math"
	"time"
)

const (
	// rejectionMemory is the time constant over which rejections count.
	rejectionMemory = 5 * time.Second
	// rejectionPrior is the number of requests, with the service's own fraction of
	// rejections, that are added to those of an upstream, so that one rejection is an
	// excess of 1/3. While earlier rejections predict later ones, the number falls towards
	// knownPrior, with which one rejection is an excess of up to 1/2.
	rejectionPrior = 2.0
	knownPrior     = 1.0
	// servicePrior is the number of answered requests that are added to the service's.
	servicePrior = 4.0
	// maxOutcomes bounds the decayed count of an upstream's requests, so that those of a
	// busy upstream are forgotten as soon as those of others.
	maxOutcomes = 16.0
	// slopePrior is the weight of the assumption that upstreams differ, in the units of
	// regression.squares: a request at an upstream with one rejection adds 0.1.
	slopePrior = 0.5
	// rejectionWeight weights the excess in the cost.
	rejectionWeight = 4.0
	// excessSlack is an excess that counts for nothing. Without it, few answers on a
	// service that rejects nearly all would attract its flows.
	excessSlack = 0.05
	// avoidExcess is the excess from which an upstream gets new flows only as probes.
	// Two quick rejections exceed it, one does not.
	avoidExcess = 0.3
	// avoidedCost is added for such an upstream. It exceeds all usual terms, but if all
	// upstreams are avoided, the service goes on.
	avoidedCost = 100.0
	// probeCost replaces the terms of rejections while a probe is due. It is negative:
	// among many upstreams without load, a probe would seldom be the best.
	probeCost = -1.0
	// overdueCost is subtracted from it for each second that the probe is overdue, so that
	// those of other zones have their turn as well.
	overdueCost = 0.1
	// minProbeInterval and maxProbeInterval bound the time between probes of an upstream.
	minProbeInterval = time.Second
	maxProbeInterval = 5 * time.Second
	// A service's probes are bounded by a rate and by a fraction of its openings, since
	// most probes are rejected. An answered probe allows probeRefund more, so that many
	// upstreams that recover together are back soon.
	probeRate     = 0.1
	probeFraction = 0.005
	probeRefund   = 2.0
	maxProbes     = 2.0
	// avoidedWeight is the weight of a request of an open flow in the fraction of an
	// avoided upstream. An answer to a probe ends the avoidance at once.
	avoidedWeight = 0.3
	// minRejected is the decayed count of rejections below which it counts as none.
	minRejected = 1e-3
	// rejectingCost is the least cost of an upstream whose last rejection was not followed
	// by an answer to a probe. It exceeds the cost of usual load, so that such an upstream
	// does not get flows again just because it is idle.
	rejectingCost = 0.3
)

// rejectionSums are decaying counts of requests, and of those among them that were
// rejected or failed.
type rejectionSums struct {
	requests, rejected float64
	at                 time.Time
}

// decay returns the decay of the counts until a time.
func (s *rejectionSums) decay(now time.Time) float64 {
	age := now.Sub(s.at)
	if age <= 0 || s.requests == 0 {
		return 1
	}
	return decayOver(age, rejectionMemory)
}

// decayed returns the counts at a time.
func (s *rejectionSums) decayed(now time.Time) (requests, rejected float64) {
	d := s.decay(now)
	return d * s.requests, d * s.rejected
}

// add adds an outcome and returns the decay since the last one. The sum of requests
// stays below limit+1.
func (s *rejectionSums) add(now time.Time, rejected bool, limit float64) (decay float64) {
	decay = s.decay(now)
	s.requests, s.rejected, s.at = decay*s.requests, decay*s.rejected, now
	if s.requests > limit {
		s.requests, s.rejected = limit, s.rejected*limit/s.requests
	}
	s.requests++
	if rejected {
		s.rejected++
	}
	if s.rejected < minRejected {
		s.rejected = 0
	}
	return decay
}

// rejections is what is known of the rejections of an upstream.
type rejections struct {
	rejectionSums
	// avoided is true if new flows are only probes. Then fraction is the fraction of
	// rejections. It does not decay, since probes are rare.
	avoided   bool
	fraction  float64
	probing   bool          // True from a probe to the next outcome.
	interval  time.Duration // Time between probes.
	nextProbe time.Time
}

// serviceRejections is what is known of the rejections of a service.
type serviceRejections struct {
	rejectionSums
	fraction   float64 // Fraction of rejections at the last request.
	regression regression
	probes     float64 // Probes that are allowed, at probesAt.
	probesAt   time.Time
}

// regression measures whether an upstream's earlier rejections predict its next: it is the
// regression of outcomes on the excess of the upstream. On a route whose responses vary in
// length, the earlier ones predict nothing.
type regression struct {
	products, squares float64 // Decaying sums of outcome*excess and excess*excess.
	// transient is the part of an excess that is not expected to last, from 0 to 1. It is
	// kept instead of the slope, so that the zero value expects an excess to last.
	transient float64
}

// add adds an outcome, 1 for a rejection and 0 for an answer, less the service's
// fraction, at an upstream with an excess. decay is the decay since the last one.
func (g *regression) add(decay, outcome, excess float64) {
	g.products = decay*g.products + outcome*excess
	g.squares = decay*g.squares + excess*excess
	g.transient = 1 - min(max((g.products+slopePrior)/(g.squares+slopePrior), 0), 1)
}

// slope returns the part of an excess that is expected to last, from 0 to 1.
func (g *regression) slope() float64 {
	return 1 - g.transient
}

// prior returns the number of requests to add to those of an upstream.
func (g *regression) prior() float64 {
	return knownPrior + (rejectionPrior-knownPrior)/(1+max(g.products, 0))
}

// leastCost returns the least cost of an upstream with rejections. If most upstreams
// have some, they show nothing.
func (s *serviceRejections) leastCost() float64 {
	return rejectingCost * (1 - s.fraction) * s.regression.slope()
}

// record adds an outcome at an upstream.
func (s *serviceRejections) record(now time.Time, x *rejections, rejected bool) {
	outcome := -s.fraction
	if rejected {
		outcome++
	}
	excess := 0.0
	if s.fraction > 0 || x.present() {
		excess = x.excess(now, s)
	}
	decay := s.rejectionSums.add(now, rejected, math.MaxFloat64)
	s.regression.add(decay, outcome, excess)
	s.fraction = s.rejected / (s.requests + servicePrior)
}

// allowedProbes returns how many probes the service may send.
func (s *serviceRejections) allowedProbes(now time.Time) float64 {
	return min(s.probes+probeRate*now.Sub(s.probesAt).Seconds(), maxProbes)
}

func (s *serviceRejections) setProbes(now time.Time, n float64) {
	s.probes, s.probesAt = min(max(n, 0), maxProbes), now
}

// rejectionExcess returns by how much the fraction of an upstream's requests that are
// rejected or fail exceeds that of its service. Only the part counts that is expected to
// last.
func (r *Router) rejectionExcess(now time.Time, t *target) float64 {
	s := &t.service.rejections
	return max(t.rejections.excess(now, s)-excessSlack, 0) * s.regression.slope()
}

// excess returns the fraction of rejections above that of the service, which is below 1.
func (x *rejections) excess(now time.Time, s *serviceRejections) float64 {
	if x.avoided {
		return x.fraction - s.fraction
	}
	requests, rejected := x.decayed(now)
	prior := s.regression.prior()
	return (rejected+prior*s.fraction)/(requests+prior) - s.fraction
}

// present reports whether the upstream has rejections that count.
func (x *rejections) present() bool { return x.rejected > 0 || x.avoided }

// rejectionCost returns the terms of the cost of an upstream for its rejections; some are
// present. mayProbe is true if the service may send a probe.
func (r *Router) rejectionCost(now time.Time, t *target, mayProbe bool) float64 {
	x := &t.rejections
	if mayProbe && !now.Before(x.nextProbe) && !t.zone.down(now) {
		return probeCost - overdueCost*now.Sub(x.nextProbe).Seconds()
	}
	e := r.rejectionExcess(now, t)
	if x.avoided && e >= avoidExcess {
		return avoidedCost
	}
	return max(rejectionWeight*e, t.service.rejections.leastCost())
}

// probeAt returns when the next probe of an avoided upstream is due. The interval varies
// by half, so that balancers do not probe at the same time.
func (t *target) probeAt(now time.Time) time.Time {
	hash := (uint64(t.entry.ID) ^ uint64(now.UnixNano())) * 0x9e3779b97f4a7c15
	return now.Add(time.Duration((0.75 + 0.5*float64(hash>>40)/(1<<24)) * float64(t.rejections.interval)))
}

// recordPlacement records that a flow of a route with an objective was placed at an
// upstream. At one with rejections, the flow is a probe if one is due.
func (r *Router) recordPlacement(now time.Time, f *newFlow, t *target) {
	s, x := &t.service.rejections, &t.rejections
	if s.requests == 0 || f.policy.Objective == 0 {
		return
	}
	n := f.probes + probeFraction
	if x.present() && !now.Before(x.nextProbe) {
		x.probing, x.nextProbe = true, t.probeAt(now)
		n--
	}
	s.setProbes(now, n)
}

// recordRejection records the outcome of a request.
func (r *Router) recordRejection(now time.Time, t *target, o outcome) {
	x, rejected := &t.rejections, o != outcomeAnswered
	t.service.rejections.record(now, x, rejected)
	probed := x.probing
	x.probing = false
	if rejected {
		r.recordRejected(now, t, probed)
		return
	}
	x.interval /= 2
	switch {
	case x.avoided:
		x.fraction -= avoidedWeight * x.fraction
		if probed || r.rejectionExcess(now, t) < avoidExcess {
			x.avoided, x.rejectionSums = false, rejectionSums{requests: 1, at: now}
		}
	case probed:
		x.rejectionSums = rejectionSums{requests: 1, at: now}
	default:
		x.add(now, false, maxOutcomes)
	}
	if probed {
		s := &t.service.rejections
		s.setProbes(now, s.allowedProbes(now)+probeRefund)
	}
}

// recordRejected records a request that was rejected or failed. The first rejection of
// several in flight, or that of a probe, delays the next probe.
func (r *Router) recordRejected(now time.Time, t *target, probed bool) {
	x := &t.rejections
	if probed || x.rejected == 0 && !x.avoided {
		if r.rejectionExcess(now, t) > 0 {
			x.interval *= 2
		}
		x.interval = min(max(x.interval, minProbeInterval), maxProbeInterval)
		x.nextProbe = t.probeAt(now)
	}
	if x.avoided {
		x.fraction += avoidedWeight * (1 - x.fraction)
		return
	}
	x.add(now, true, maxOutcomes)
	if r.rejectionExcess(now, t) >= avoidExcess {
		x.avoided, x.fraction = true, x.rejected/x.requests
	}
}
