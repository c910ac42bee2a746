package bvlimit

import (
	"time"

	"balsamvane/core/bvconfig"
)

// Opened records a new entry for a flow on u.
func (l *Limiter) Opened(_ time.Time, u bvconfig.UpstreamID) {
	if x := l.upstreams[u]; x != nil {
		x.openFlows++
	}
}

// Closed records that an entry for a flow on u has ended.
func (l *Limiter) Closed(_ time.Time, u bvconfig.UpstreamID) {
	if x := l.upstreams[u]; x != nil && x.openFlows > 0 {
		x.openFlows--
	}
}

// OpenFlows returns the number of this balancer's flows on u.
func (l *Limiter) OpenFlows(u bvconfig.UpstreamID) int {
	if x := l.upstreams[u]; x != nil {
		return x.openFlows
	}
	return 0
}
