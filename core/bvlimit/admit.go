package bvlimit

import (
	"slices"
	"time"

	"balsamvane/core/bvconfig"
)

// rate returns the new flows per second that all balancers together may place
// on the upstream at the given time; bounded is false if there is no bound.
func (l *Limiter) rate(x *upstream, at time.Duration) (rate float64, bounded bool) {
	age := at - x.rampStart
	if age >= x.WarmUp || l.options.noRamp {
		return x.WarmRate, x.WarmRate > 0
	}
	if x.ConstantRate {
		return x.ColdRate, true
	}
	warm := x.WarmRate
	if warm == 0 {
		warm = x.ColdRate * coldGrowth
	}
	return x.ColdRate + (warm-x.ColdRate)*float64(max(age, 0))/float64(x.WarmUp), true
}

// takeToken refills the upstream's token bucket and takes one token from it.
func (l *Limiter) takeToken(x *upstream, at time.Duration) bool {
	rate, bounded := l.rate(x, at)
	if !bounded {
		return true
	}
	if x.ConstantRate {
		return l.takeConstantRate(x, rate/l.balancers, at)
	}
	share := rate / l.balancers
	if gap := at - x.refilled; gap > 0 {
		// The rate rises linearly, so the mean of both ends is exact.
		before, ok := l.rate(x, x.refilled)
		if !ok {
			before = rate
		}
		x.tokens += (rate + before) / 2 / l.balancers * gap.Seconds()
		x.refilled = at
	}
	// The bucket has room for at least one token. A share below one flow per
	// burst would otherwise never admit any flow.
	x.tokens = min(x.tokens, max(1, share*l.options.Burst.Seconds()))
	if x.tokens < 1 {
		return false
	}
	x.tokens--
	return true
}

// Admit reports whether this balancer may place a new flow on u now. If so it
// charges the flow to u's rate and counts an opening as sent to u, so call it
// only for a flow that is then placed. It does not allocate.
func (l *Limiter) Admit(now time.Time, u bvconfig.UpstreamID) bool {
	x := l.upstreams[u]
	return x != nil && l.admit(x, l.sinceEpoch(now))
}

// Admits reports whether [Limiter.Admit] would admit a new flow on u now. It
// changes nothing.
func (l *Limiter) Admits(now time.Time, u bvconfig.UpstreamID) bool {
	x := l.upstreams[u]
	return x != nil && l.admit(x.copy(), l.sinceEpoch(now))
}

// admit implements [Limiter.Admit]. It changes no upstream but x.
func (l *Limiter) admit(x *upstream, at time.Duration) bool {
	if x.Leaving || !l.enabled && !l.options.shareAlways {
		return false
	}
	if x.unhealthy && l.ejected(x, at) {
		return false
	}
	if x.share >= 0 && x.openFlows >= x.share && !l.hasSpareConnections(x, at) {
		return false
	}
	exempt := l.options.exemptIfNoWarm && l.allCold(x.service, at)
	if !exempt && !l.takeToken(x, at) {
		return false
	}
	l.rotateWindow(x, at)
	x.window[0].sent++
	return true
}

// spareFraction is the part of an upstream's connections up to which a recent
// report lets a balancer exceed its share. The rest is for the connections
// that all balancers open until the next report.
const spareFraction = 0.9

// hasSpareConnections reports whether a warm upstream has connections left
// beyond this balancer's share of them. While another balancer of the zone is
// dead, its share is unused. The rates of cold upstreams always stay shared.
func (l *Limiter) hasSpareConnections(x *upstream, at time.Duration) bool {
	if !x.reported || at-x.reportedAt > l.options.ReportAge || x.report.State != StateWarm || l.options.noSpare {
		return false
	}
	maxOpen := int(float64(x.Connections) * spareFraction)
	return at-x.rampStart >= x.WarmUp && x.report.OpenConnections < maxOpen && x.openFlows < maxOpen
}

func (l *Limiter) allCold(s *service, at time.Duration) bool {
	return !slices.ContainsFunc(s.available, func(x *upstream) bool { return at-x.rampStart >= x.WarmUp })
}

// ejected reports whether an upstream is ejected because it appears unhealthy.
// By default at most a third of a service is ejected: when more appear
// unhealthy, the signal is likely at fault, and the rest could not carry the
// load.
func (l *Limiter) ejected(x *upstream, at time.Duration) bool {
	l.updateHealth(x, at)
	if l.options.EjectFraction >= 1 {
		return x.unhealthy
	}
	unhealthy := 0
	for _, o := range x.service.available {
		if o.unhealthy && l.appearsUnhealthy(o, at) {
			unhealthy++
		}
	}
	return x.unhealthy && (l.options.noPanic || float64(unhealthy) <= l.options.EjectFraction*float64(len(x.service.available)))
}
