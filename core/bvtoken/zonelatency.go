package bvtoken

import (
	"time"

	"balsamvane/core/bvflow"
)

const (
	// zoneLatencyMemory is the time constant over which latencies of a zone count.
	zoneLatencyMemory = 2 * time.Second
	// The load of the own zone moves to others while the mean latency there exceeds
	// lateFrom, as a fraction of the objective. The terms for it grow over lateRamp, so
	// that there is no step.
	lateFrom = 0.25
	lateRamp = 0.1
	// zoneLatencyCost weights the mean latency of a zone. A difference of 0.3 outweighs
	// otherZoneCost.
	zoneLatencyCost = otherZoneCost / 0.3
	// zoneSpread is the range over which the cost of other zones differs between flows,
	// so that load moves gradually.
	zoneSpread = 1.5 * otherZoneCost
	// ownZonePrior is the number of requests without latency that are added to those of
	// the own zone, and otherZonePrior that of requests with the own zone's latency that
	// are added to those of another one. So few requests do not move the load.
	ownZonePrior   = 1.0
	otherZonePrior = 2.0
	// minMeasured is the decayed count of requests below which a zone counts as not
	// measured. Then exploredFraction of the flows try it.
	minMeasured      = 2.0
	exploredFraction = 0.03
	// decayStep is the time for which a computed decay is used again. The result is too
	// large by at most 0.5%.
	decayStep = zoneLatencyMemory / 200
	// maxRelativeLatency limits the latency of one request in the mean, as a multiple of
	// the objective.
	maxRelativeLatency = 4.0
)

// zoneLatency is the recent mean latency of a service's requests in one zone, as a
// fraction of the objectives of their routes. A rejection counts as a whole objective.
type zoneLatency struct {
	sum, requests float64 // Decaying sums at a time.
	at            time.Time
	// decayed is the decay of the sums from at to decayedAt.
	decayed   float64
	decayedAt time.Time
	// cost is the result of spillover.otherCost for the opening that is being placed. It is
	// set only while the own zone is late.
	cost float64
}

// decay returns the decay of the sums until a time.
func (z *zoneLatency) decay(now time.Time) float64 {
	age := now.Sub(z.at)
	if age <= 0 {
		return 1
	}
	return decayOver(age, zoneLatencyMemory)
}

func (z *zoneLatency) record(now time.Time, latency, objective time.Duration) {
	d := z.decay(now)
	z.sum = d*z.sum + min(latency.Seconds()/objective.Seconds(), maxRelativeLatency)
	z.requests, z.at = d*z.requests+1, now
	z.decayed, z.decayedAt = 1, now
}

// mean returns the mean of the measured requests and of a number of others with a given
// latency. It also returns the decayed count of the measured ones.
func (z *zoneLatency) mean(now time.Time, others, latency float64) (mean, requests float64) {
	if now.Sub(z.decayedAt) >= decayStep {
		z.decayed, z.decayedAt = z.decay(now), now
	}
	d := z.decayed
	return (d*z.sum + others*latency) / (d*z.requests + others), d * z.requests
}

// zoneLatency returns the latency of a zone, which it takes over from the service's
// earlier targets. own is the balancer's own zone.
func (s *serviceTargets) zoneLatency(old *serviceTargets, zone, own string) *zoneLatency {
	z := s.zones[zone]
	if z == nil && old != nil {
		z = old.zones[zone]
	}
	if z == nil {
		z = &zoneLatency{}
	}
	if s.zones[zone] == nil && zone != own {
		s.otherZones = append(s.otherZones, z)
	}
	s.zones[zone] = z
	return z
}

// spillover describes how an opening's flow is spilled from the own zone to others while
// the service is late there.
type spillover struct {
	factor   float64 // From 0, if the own zone is not late, to 1.
	own      float64 // Mean latency of the own zone.
	ownCost  float64 // Added to the cost of upstreams in the own zone.
	position float64 // Position of the flow between zones, in [0, 1).
}

// zoneSalt makes the position of a flow between zones independent of its other hashes.
const zoneSalt = 0x5bd1e995

// spillover returns the spillover of an opening.
func (s *serviceTargets) spillover(now time.Time, k bvflow.Key, objective time.Duration) spillover {
	z := s.ownZone
	if objective == 0 || z == nil || z.sum <= lateFrom*z.requests {
		return spillover{}
	}
	own, _ := z.mean(now, ownZonePrior, 0)
	factor := min(max((own-lateFrom)/lateRamp, 0), 1)
	return spillover{
		factor: factor, own: own, ownCost: factor * zoneLatencyCost * own,
		position: tieBreak(k, zoneSalt),
	}
}

// setCosts sets the costs of other zones for an opening.
func (o *spillover) setCosts(now time.Time, zones []*zoneLatency) {
	if o.factor == 0 {
		return
	}
	for _, z := range zones {
		z.cost = o.otherCost(now, z)
	}
}

// otherCost returns the terms that spillover adds to the cost of an upstream in another
// zone.
func (o *spillover) otherCost(now time.Time, z *zoneLatency) float64 {
	latency, measured := z.mean(now, otherZonePrior, o.own)
	if measured < minMeasured && o.position < exploredFraction {
		return -o.factor * otherZoneCost
	}
	return o.factor * (zoneLatencyCost*latency + zoneSpread*(o.position-0.5))
}

// downCost returns the additional cost of an upstream in another zone that is down. Its
// zone then counts as at least as late as the own one: earlier latencies show nothing.
func (o *spillover) downCost(t *target) float64 {
	if t.inZone || o.factor == 0 {
		return 0
	}
	return max(o.ownCost-t.zoneLatency.cost, 0)
}
