package bvlimit

import (
	"time"

	"balsamvane/core/bvconfig"
)

// The rule for upstreams that leave openings unanswered. After silentMin of
// them in a row an upstream is left out for silentFirst, which doubles with
// each further one up to silentMost. One opening is then tried.
const (
	silentMin   = 2
	silentFirst = 1 * time.Second
	silentMost  = 4 * time.Second
)

// Answered records that u has answered an opening.
func (l *Limiter) Answered(now time.Time, u bvconfig.UpstreamID) {
	x := l.upstreams[u]
	if x == nil || x.silent == 0 {
		return
	}
	x.silent, x.silentUntil = 0, 0
	l.judge(x, l.since(now))
}

// Unanswered records that u did not answer an opening in time. It reports whether u is left out from now on.
func (l *Limiter) Unanswered(now time.Time, u bvconfig.UpstreamID) bool {
	x := l.upstreams[u]
	if x == nil || l.options.noRetransmits {
		return false
	}
	at := l.since(now)
	x.silent++
	if x.silent < silentMin {
		return false
	}
	wait := silentMost
	if n := x.silent - silentMin; n < 8 {
		wait = min(silentFirst<<n, silentMost)
	}
	x.silentUntil = at + wait
	l.judge(x, at)
	return true
}

// Silent reports whether u has left the last openings unanswered, whatever
// else is known of it.
func (l *Limiter) Silent(u bvconfig.UpstreamID) bool {
	x := l.upstreams[u]
	return x != nil && x.silent >= silentMin
}

// SetCold tells for how much longer an upstream is cold according to the
// platform; 0 ends its warm-up. It replaces what the limiter assumed.
func (l *Limiter) SetCold(now time.Time, u bvconfig.UpstreamID, left time.Duration) {
	x := l.upstreams[u]
	if x == nil {
		return
	}
	at := l.since(now)
	x.learnable = false
	x.rampStart = at - max(x.WarmUp-left, 0)
	x.refilled, x.tokens = at, 0
}
