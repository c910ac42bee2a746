package bvlimit

import (
	"slices"
	"time"

	"balsamvane/core/bvconfig"
)

// rate returns the new flows per second that the upstream may get from all
// balancers at the given time; bounded is false if there is no bound.
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

// take refills the upstream's bucket and takes one flow from it.
func (l *Limiter) take(x *upstream, at time.Duration) bool {
	rate, bounded := l.rate(x, at)
	if !bounded {
		return true
	}
	if x.ConstantRate {
		return l.takeFlat(x, rate/l.balancers, at)
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
	// At least one whole flow, so that a share below one per burst still lets
	// flows through over time.
	x.tokens = min(x.tokens, max(1, share*l.options.Burst.Seconds()))
	if x.tokens < 1 {
		return false
	}
	x.tokens--
	return true
}

// Admit reports whether this balancer may place a new flow on u now. If so it
// takes the flow from u's rate and counts an opening as sent to u, so it is
// called only for a flow that is then placed. It does not allocate.
func (l *Limiter) Admit(now time.Time, u bvconfig.UpstreamID) bool {
	x := l.upstreams[u]
	if x == nil || x.Leaving || !l.enabled && !l.options.shareAlways {
		return false
	}
	at := l.since(now)
	if x.bad && l.ejected(x, at) {
		return false
	}
	if x.share >= 0 && x.open >= x.share && !l.spare(x, at) {
		return false
	}
	exempt := l.options.exemptIfNoWarm && l.allCold(x.service, at)
	if !exempt && !l.take(x, at) {
		return false
	}
	l.turn(x, at)
	x.window[0].sent++
	return true
}

// spareFraction is the part of an upstream's connections up to which a fresh
// report lets a balancer go beyond its share. The rest covers what all
// balancers open until the next report.
const spareFraction = 0.9

// spare reports whether a warm upstream has connections left beyond this
// balancer's share of them. A share is unused while another balancer of the
// zone is dead; the rates of cold upstreams stay shared in any case.
func (l *Limiter) spare(x *upstream, at time.Duration) bool {
	if !x.reported || at-x.reportedAt > l.options.ReportAge || x.report.State != StateWarm || l.options.noSpare {
		return false
	}
	most := int(float64(x.Connections) * spareFraction)
	return at-x.rampStart >= x.WarmUp && x.report.OpenConnections < most && x.open < most
}

func (l *Limiter) allCold(s *service, at time.Duration) bool {
	return !slices.ContainsFunc(s.members, func(x *upstream) bool { return at-x.rampStart >= x.WarmUp })
}

// ejected reports whether an upstream is left out because it appears
// unhealthy. At most a third of a service is: when more appear unhealthy the
// signal is likely at fault, and the rest could not carry the load.
func (l *Limiter) ejected(x *upstream, at time.Duration) bool {
	l.judge(x, at)
	if l.options.EjectFraction >= 1 {
		return x.bad
	}
	bad := 0
	for _, o := range x.service.members {
		if o.bad {
			l.judge(o, at)
		}
		if o.bad {
			bad++
		}
	}
	return x.bad && (l.options.noPanic || float64(bad) <= l.options.EjectFraction*float64(len(x.service.members)))
}
