package bvlimit

import (
	"time"

	"balsamvane/core/bvconfig"
)

// State is the state that an upstream reports of itself.
type State uint8

// The states of an upstream.
const (
	StateWarm State = iota
	StateCold
	StateDraining
	StateShedding
)

// Report is what an upstream's health endpoint says. It may lag or mislead:
// it can take load away from an upstream, within the bound of the ejections,
// but never add any.
type Report struct {
	State           State
	StartedAt       time.Time // Zero if not reported.
	OpenConnections int
	BusySlots       int
}

// restartRamp restarts an upstream's ramp after it was found cold. What peers say of
// the time before does not hold any more.
func (l *Limiter) restartRamp(x *upstream, at time.Duration) {
	x.rampStart, x.tokens, x.refilled = at, 0, at
	x.learnable = false
	x.window = [2]openings{}
}

// turn moves the window of openings on, in two halves.
func (l *Limiter) turn(x *upstream, at time.Duration) {
	half := l.options.RetransmitWindow / 2
	switch gap := at - x.windowAt; {
	case gap < half:
	case gap < 2*half:
		x.window[1], x.window[0] = x.window[0], openings{}
		x.windowAt += half
	default:
		x.window = [2]openings{}
		x.windowAt = at
	}
}

// Retransmitted records that a caller repeated an opening that had been sent
// to u. Many of them show that u has turned cold or does not answer, whatever
// its health endpoint says.
func (l *Limiter) Retransmitted(now time.Time, u bvconfig.UpstreamID) {
	x := l.upstreams[u]
	if x == nil || l.options.noRetransmits {
		return
	}
	at := l.since(now)
	l.turn(x, at)
	x.window[0].retransmitted++
	sent := float64(x.window[0].sent + x.window[1].sent)
	again := x.window[0].retransmitted + x.window[1].retransmitted
	if again < l.options.RetransmitMin || float64(again) <= sent*l.options.RetransmitFraction {
		return
	}
	if float64(again) > sent*l.options.UnansweredFraction {
		x.ejectUntil = at + l.options.EjectFor
	}
	l.restartRamp(x, at)
	l.judge(x, at)
}

// Probed records the answer of u's health endpoint.
func (l *Limiter) Probed(now time.Time, u bvconfig.UpstreamID, r Report) {
	x := l.upstreams[u]
	if x == nil {
		return
	}
	at := l.since(now)
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
	l.judge(x, at)
}

// ProbeFailed records that u's health endpoint did not answer in time.
func (l *Limiter) ProbeFailed(now time.Time, u bvconfig.UpstreamID) {
	if x := l.upstreams[u]; x != nil {
		x.failures++
		l.judge(x, l.since(now))
	}
}

// judge updates whether an upstream appears unhealthy.
func (l *Limiter) judge(x *upstream, at time.Duration) {
	x.bad = x.failures >= l.options.ProbeFailures || at < x.ejectUntil || l.leftOut(x, at) || l.refuses(x, at)
}

// refuses reports whether a recent report says that an upstream takes no more
// flows.
func (l *Limiter) refuses(x *upstream, at time.Duration) bool {
	if !x.reported || at-x.reportedAt > l.options.ReportAge {
		return false
	}
	r := x.report
	return r.State == StateDraining || r.State == StateShedding ||
		x.Slots > 0 && r.BusySlots >= int(x.Slots) ||
		x.Connections > 0 && r.OpenConnections >= int(x.Connections)
}
