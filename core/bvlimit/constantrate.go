package bvlimit

import (
	"slices"
	"time"

	"balsamvane/core/bvconfig"
)

// constantRateInterval is the length of the sliding window in which no more
// flows than the share are placed.
const constantRateInterval = time.Second

// takeConstantRate takes one flow, unless the share of the last interval is used
// up. It takes none in the first interval, since the flows that a previous
// process of this balancer placed are not known.
func (l *Limiter) takeConstantRate(x *upstream, share float64, at time.Duration) bool {
	if at < constantRateInterval {
		return false
	}
	x.placedAt = slices.DeleteFunc(x.placedAt, func(t time.Duration) bool { return at-t >= constantRateInterval })
	if len(x.placedAt) >= int(share) {
		return false
	}
	x.placedAt = append(x.placedAt, at)
	return true
}

// nextConstantRate returns when takeConstantRate can take the next flow.
func (l *Limiter) nextConstantRate(x *upstream, share float64, at time.Duration) time.Duration {
	switch {
	case share < 1:
		return x.rampStart + x.WarmUp
	case len(x.placedAt) < int(share):
		return max(at, constantRateInterval)
	}
	return x.placedAt[0] + constantRateInterval
}

// BlockedUntil returns until when u takes no new flow after [Limiter.Admit] has
// refused one, and whether the reason is that u is unresponsive. Otherwise this
// balancer's share of its rate is used up.
func (l *Limiter) BlockedUntil(now time.Time, u bvconfig.UpstreamID) (until time.Time, unresponsive bool) {
	x := l.upstreams[u]
	if x == nil {
		return now, false
	}
	at := l.sinceEpoch(now)
	if l.ejectedUnresponsive(x, at) {
		return l.epoch.Add(x.unresponsiveUntil), true
	}
	rate, bounded := l.rate(x, at)
	if !bounded || !x.ConstantRate {
		return now.Add(l.options.Burst), false
	}
	return l.epoch.Add(min(l.nextConstantRate(x, rate/l.balancers, at), x.rampStart+x.WarmUp)), false
}
