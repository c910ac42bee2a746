package bvlimit

import (
	"time"

	"balsamvane/core/bvconfig"
)

// State is the state that an upstream's health endpoint reports.
type State uint8

// The states of an upstream.
const (
	StateWarm State = iota
	StateCold
	StateDraining
	StateShedding
)

// Report is the answer of an upstream's health endpoint. It may lag or be
// wrong, so it can only take load away from an upstream, within the bound on
// ejections, and never add any.
type Report struct {
	State           State
	StartedAt       time.Time // Zero if not reported.
	OpenConnections int
	BusySlots       int
}

// restartRamp restarts an upstream's ramp after it was found cold. Warm states
// of peers from before no longer apply.
func (l *Limiter) restartRamp(x *upstream, at time.Duration) {
	x.rampStart, x.tokens, x.refilled = at, 0, at
	x.rampAssumed = false
	x.window = [2]openings{}
}

// rotateWindow advances the sliding window of openings, which has two halves.
func (l *Limiter) rotateWindow(x *upstream, at time.Duration) {
	half := l.options.RetransmitWindow / 2
	switch gap := at - x.windowStart; {
	case gap < half:
	case gap < 2*half:
		x.window[1], x.window[0] = x.window[0], openings{}
		x.windowStart += half
	default:
		x.window = [2]openings{}
		x.windowStart = at
	}
}

// Retransmitted records that a caller retransmitted an opening that had been
// sent to u and that u left unanswered. Copies that were late in this balancer do
// not show that and must not be recorded. Many retransmissions show that u is cold or unresponsive,
// whatever its health endpoint reports.
func (l *Limiter) Retransmitted(now time.Time, u bvconfig.UpstreamID) {
	x := l.upstreams[u]
	if x == nil || l.options.noRetransmits {
		return
	}
	at := l.sinceEpoch(now)
	l.rotateWindow(x, at)
	x.window[0].retransmitted++
	sent := float64(x.window[0].sent + x.window[1].sent)
	retransmitted := x.window[0].retransmitted + x.window[1].retransmitted
	if retransmitted < l.options.RetransmitMin || float64(retransmitted) <= sent*l.options.RetransmitFraction {
		return
	}
	if float64(retransmitted) > sent*l.options.UnansweredFraction {
		x.ejectUntil = at + l.options.EjectFor
	}
	l.restartRamp(x, at)
	l.updateHealth(x, at)
}

// Probed records the answer of u's health endpoint.
func (l *Limiter) Probed(now time.Time, u bvconfig.UpstreamID, r Report) {
	x := l.upstreams[u]
	if x == nil {
		return
	}
	at := l.sinceEpoch(now)
	restarted := x.reported && !x.report.StartedAt.IsZero() && !r.StartedAt.IsZero() && !r.StartedAt.Equal(x.report.StartedAt)
	turnedCold := r.State == StateCold && (!x.reported || x.report.State != StateCold) && at-x.rampStart >= x.WarmUp
	if restarted || turnedCold {
		l.restartRamp(x, at)
	}
	if l.options.trustReports && r.State == StateWarm {
		x.rampStart = at - x.WarmUp
	}
	if r.StartedAt.IsZero() {
		r.StartedAt = x.report.StartedAt
	}
	x.failures, x.report, x.reported, x.reportedAt = 0, r, true, at
	l.updateHealth(x, at)
}

// ProbeFailed records that u's health endpoint did not answer in time.
func (l *Limiter) ProbeFailed(now time.Time, u bvconfig.UpstreamID) {
	if x := l.upstreams[u]; x != nil {
		x.failures++
		l.updateHealth(x, l.sinceEpoch(now))
	}
}

// updateHealth recomputes whether an upstream appears unhealthy.
func (l *Limiter) updateHealth(x *upstream, at time.Duration) {
	x.unhealthy = l.appearsUnhealthy(x, at)
}

// appearsUnhealthy reports whether an upstream appears unhealthy.
func (l *Limiter) appearsUnhealthy(x *upstream, at time.Duration) bool {
	return x.failures >= l.options.ProbeFailures || at < x.ejectUntil || l.ejectedUnresponsive(x, at) || l.reportedUnavailable(x, at)
}

// reportedUnavailable reports whether a recent health report shows that an
// upstream takes no more flows.
func (l *Limiter) reportedUnavailable(x *upstream, at time.Duration) bool {
	if !x.reported || at-x.reportedAt > l.options.ReportAge {
		return false
	}
	r := x.report
	return r.State == StateDraining || r.State == StateShedding ||
		x.Slots > 0 && r.BusySlots >= int(x.Slots) ||
		x.Connections > 0 && r.OpenConnections >= int(x.Connections)
}
