package bvlimit

import (
	"cmp"
	"slices"
	"time"

	"balsamvane/core/bvconfig"
)

// WarmState tells for how long an upstream has been taking flows.
type WarmState struct {
	Upstream bvconfig.UpstreamID
	Age      time.Duration // Since its ramp started.
}

// WarmStates returns since when each upstream has been taking flows, for a joining
// balancer.
func (l *Limiter) WarmStates(now time.Time) []WarmState {
	ws := make([]WarmState, 0, len(l.upstreams))
	for id, x := range l.upstreams {
		ws = append(ws, WarmState{Upstream: id, Age: max(l.since(now)-x.rampStart, 0)})
	}
	sortWarm(ws)
	return ws
}

// MergeWarmStates takes the warm states of a peer. They replace the state of
// upstreams that count as cold only because this balancer is new; of several
// peers' answers the coldest holds. What this balancer has detected itself
// stays.
func (l *Limiter) MergeWarmStates(now time.Time, ws []WarmState) {
	for _, w := range ws {
		x := l.upstreams[w.Upstream]
		if x == nil || !x.learnable || w.Age < 0 {
			continue
		}
		start := l.since(now) - w.Age
		if !x.learned || start > x.rampStart {
			x.rampStart, x.learned = start, true
		}
	}
}

func sortWarm(ws []WarmState) {
	slices.SortFunc(ws, func(a, b WarmState) int { return cmp.Compare(a.Upstream, b.Upstream) })
}
