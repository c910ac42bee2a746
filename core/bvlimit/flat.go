package bvlimit

import (
	"slices"
	"time"

	"balsamvane/core/bvconfig"
)

// flatSpan is the span in which no more flows than the share are placed,
// wherever it begins.
const flatSpan = time.Second

// takeFlat takes one flow, unless the share of the last span is used up. What a
// process before this one has placed is not known, so the first span has none.
func (l *Limiter) takeFlat(x *upstream, share float64, at time.Duration) bool {
	if at < flatSpan {
		return false
	}
	x.placed = slices.DeleteFunc(x.placed, func(t time.Duration) bool { return at-t >= flatSpan })
	if len(x.placed) >= int(share) {
		return false
	}
	x.placed = append(x.placed, at)
	return true
}

// nextFlat returns when takeFlat may take a flow again.
func (l *Limiter) nextFlat(x *upstream, share float64, at time.Duration) time.Duration {
	switch {
	case share < 1:
		return x.rampStart + x.WarmUp
	case len(x.placed) < int(share):
		return max(at, flatSpan)
	}
	return x.placed[0] + flatSpan
}

// BlockedUntil returns until when u takes no new flow after [Limiter.Admit] has
// turned one down, and whether that is because u does not answer. Otherwise its
// share is used up.
func (l *Limiter) BlockedUntil(now time.Time, u bvconfig.UpstreamID) (until time.Time, silent bool) {
	x := l.upstreams[u]
	if x == nil {
		return now, false
	}
	at := l.since(now)
	if l.leftOut(x, at) {
		return l.epoch.Add(x.silentUntil), true
	}
	rate, bounded := l.rate(x, at)
	if !bounded || !x.ConstantRate {
		return now.Add(l.options.Burst), false
	}
	return l.epoch.Add(min(l.nextFlat(x, rate/l.balancers, at), x.rampStart+x.WarmUp)), false
}
