package bvlimit

import (
	"time"

	"balsamvane/core/bvconfig"
)

// DefaultUnansweredThreshold is the usual number of unanswered openings in a row after which an
// upstream is left out.
const DefaultUnansweredThreshold = 2

// The time for which an upstream that leaves openings unanswered is left out. It
// doubles with each further one up to silentMost. One opening is then tried.
const (
	silentFirst = 1 * time.Second
	silentMost  = 4 * time.Second
)

// Answered records that u has answered an opening.
func (l *Limiter) Answered(now time.Time, u bvconfig.UpstreamID) {
	x := l.upstreams[u]
	if x == nil || x.silent == 0 && x.repeated == 0 {
		return
	}
	x.silent, x.repeated, x.silentUntil = 0, 0, 0
	l.judge(x, l.since(now))
}

// Unanswered records that u did not answer an opening in time, as far as
// packets tell. It reports whether u is left out from now on.
func (l *Limiter) Unanswered(now time.Time, u bvconfig.UpstreamID) bool {
	x := l.upstreams[u]
	if x == nil {
		return false
	}
	x.silent++
	return l.leaveOut(now, x)
}

// UnansweredRetransmit records that a caller has repeated a packet since u did not answer,
// beside [Limiter.Unanswered] for that packet. Nobody does so who does not wait
// for an answer: SilentMin of them are enough to leave u out, whatever
// [Limiter.SetUnansweredThreshold] says. It reports whether u is left out from now on.
func (l *Limiter) UnansweredRetransmit(now time.Time, u bvconfig.UpstreamID) bool {
	x := l.upstreams[u]
	if x == nil {
		return false
	}
	x.repeated++
	return l.leaveOut(now, x)
}

// leaveOut leaves an upstream out if enough openings were not answered.
func (l *Limiter) leaveOut(now time.Time, x *upstream) bool {
	beyond := l.beyondSilentMin(x)
	if beyond < 0 || l.options.noRetransmits {
		return false
	}
	wait := silentMost
	if beyond < 8 {
		wait = min(silentFirst<<beyond, silentMost)
	}
	at := l.since(now)
	x.silentUntil = at + wait
	l.judge(x, at)
	return true
}

// beyondSilentMin returns how many more unanswered openings there were than it
// takes to leave an upstream out; it is negative if there were fewer.
func (l *Limiter) beyondSilentMin(x *upstream) int {
	return max(x.silent-l.silentMin, x.repeated-DefaultUnansweredThreshold)
}

// Unresponsive reports whether u has left the last openings unanswered, whatever
// else is known of it.
func (l *Limiter) Unresponsive(u bvconfig.UpstreamID) bool {
	x := l.upstreams[u]
	return x != nil && l.beyondSilentMin(x) >= 0
}

// SetUnansweredThreshold sets the number of unanswered openings in a row after which an
// upstream is left out, [DefaultUnansweredThreshold] at first. It grows while many openings are
// sent that nobody follows up. It reports whether that changes the
// number. Upstreams that were left out for fewer are not any more.
func (l *Limiter) SetUnansweredThreshold(n int) bool {
	if n == l.silentMin {
		return false
	}
	l.silentMin = n
	return true
}

// leftOut reports whether an upstream is left out because it is silent.
func (l *Limiter) leftOut(x *upstream, at time.Duration) bool {
	return at < x.silentUntil && l.beyondSilentMin(x) >= 0
}

// SetColdFor tells for how much longer an upstream is cold according to the
// platform; 0 ends its warm-up. It replaces what the limiter assumed.
func (l *Limiter) SetColdFor(now time.Time, u bvconfig.UpstreamID, left time.Duration) {
	x := l.upstreams[u]
	if x == nil {
		return
	}
	at := l.since(now)
	x.learnable = false
	x.rampStart = at - max(x.WarmUp-left, 0)
	x.refilled, x.tokens = at, 0
}
