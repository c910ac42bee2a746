package bvlimit

import (
	"cmp"
	"slices"
	"time"

	"balsamvane/core/bvconfig"
)

// WarmState holds how long an upstream has been taking flows.
type WarmState struct {
	Upstream bvconfig.UpstreamID
	Age      time.Duration // Time since its ramp started.
}

// WarmStates returns how long each upstream has been taking flows, for a
// joining balancer.
func (l *Limiter) WarmStates(now time.Time) []WarmState {
	ws := make([]WarmState, 0, len(l.upstreams))
	for id, x := range l.upstreams {
		ws = append(ws, WarmState{Upstream: id, Age: max(l.sinceEpoch(now)-x.rampStart, 0)})
	}
	sortWarmStates(ws)
	return ws
}

// MergeWarmStates merges the warm states of a peer. They replace the state of
// upstreams that count as cold only because this balancer is new. Of several
// peers' answers the coldest applies. A state that this balancer has detected
// itself stays.
func (l *Limiter) MergeWarmStates(now time.Time, ws []WarmState) {
	for _, w := range ws {
		x := l.upstreams[w.Upstream]
		if x == nil || !x.rampAssumed || w.Age < 0 {
			continue
		}
		start := l.sinceEpoch(now) - w.Age
		if !x.rampFromPeer || start > x.rampStart {
			x.rampStart, x.rampFromPeer = start, true
		}
	}
}

func sortWarmStates(ws []WarmState) {
	slices.SortFunc(ws, func(a, b WarmState) int { return cmp.Compare(a.Upstream, b.Upstream) })
}
