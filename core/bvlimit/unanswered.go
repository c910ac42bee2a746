package bvlimit

import (
	"time"

	"balsamvane/core/bvconfig"
)

// DefaultUnansweredThreshold is the default number of unanswered openings in a
// row after which an upstream is ejected.
const DefaultUnansweredThreshold = 2

// The time for which an unresponsive upstream is ejected. It doubles with each
// further unanswered opening, up to maxUnresponsiveDelay. One opening is then
// tried.
const (
	firstUnresponsiveDelay = 1 * time.Second
	maxUnresponsiveDelay   = 4 * time.Second
)

// Answered records that u has answered an opening.
func (l *Limiter) Answered(now time.Time, u bvconfig.UpstreamID) {
	x := l.upstreams[u]
	if x == nil || x.unanswered == 0 && x.retransmits == 0 {
		return
	}
	x.unanswered, x.retransmits, x.unresponsiveUntil = 0, 0, 0
	l.updateHealth(x, l.sinceEpoch(now))
}

// Unanswered records that u did not answer an opening in time, judging by the
// packets of its caller. It reports whether u is ejected now.
func (l *Limiter) Unanswered(now time.Time, u bvconfig.UpstreamID) bool {
	x := l.upstreams[u]
	if x == nil {
		return false
	}
	x.unanswered++
	return l.ejectUnresponsive(now, x)
}

// UnansweredRetransmit records that a caller retransmitted a packet that u did
// not answer, in addition to [Limiter.Unanswered] for that packet. A caller that
// retransmits does wait for an answer, so [DefaultUnansweredThreshold]
// retransmissions eject u, whatever threshold [Limiter.SetUnansweredThreshold]
// has set. It reports whether u is ejected now.
func (l *Limiter) UnansweredRetransmit(now time.Time, u bvconfig.UpstreamID) bool {
	x := l.upstreams[u]
	if x == nil {
		return false
	}
	x.retransmits++
	return l.ejectUnresponsive(now, x)
}

// ejectUnresponsive ejects an upstream for some time if enough openings were
// not answered.
func (l *Limiter) ejectUnresponsive(now time.Time, x *upstream) bool {
	excess := l.excessUnanswered(x)
	if excess < 0 || l.options.noRetransmits {
		return false
	}
	delay := maxUnresponsiveDelay
	if excess < 8 {
		delay = min(firstUnresponsiveDelay<<excess, maxUnresponsiveDelay)
	}
	at := l.sinceEpoch(now)
	x.unresponsiveUntil = at + delay
	l.updateHealth(x, at)
	return true
}

// excessUnanswered returns the number of unanswered openings beyond the
// threshold for ejection; it is negative below the threshold.
func (l *Limiter) excessUnanswered(x *upstream) int {
	return max(x.unanswered-l.unansweredThreshold, x.retransmits-DefaultUnansweredThreshold)
}

// Unresponsive reports whether u left the last openings unanswered, regardless
// of its other health signals.
func (l *Limiter) Unresponsive(u bvconfig.UpstreamID) bool {
	x := l.upstreams[u]
	return x != nil && l.excessUnanswered(x) >= 0
}

// SetUnansweredThreshold sets the number of unanswered openings in a row after
// which an upstream is ejected, initially [DefaultUnansweredThreshold]. The
// number is raised while many openings arrive that their senders do not
// complete. SetUnansweredThreshold reports whether the number changed. Upstreams that were ejected
// for fewer unanswered openings are no longer ejected.
func (l *Limiter) SetUnansweredThreshold(n int) bool {
	if n == l.unansweredThreshold {
		return false
	}
	l.unansweredThreshold = n
	return true
}

// ejectedUnresponsive reports whether an upstream is ejected because it is
// unresponsive.
func (l *Limiter) ejectedUnresponsive(x *upstream, at time.Duration) bool {
	return at < x.unresponsiveUntil && l.excessUnanswered(x) >= 0
}

// SetColdFor sets how much longer an upstream is cold according to the
// platform; 0 ends its warm-up. It replaces the start that the limiter assumed.
func (l *Limiter) SetColdFor(now time.Time, u bvconfig.UpstreamID, left time.Duration) {
	x := l.upstreams[u]
	if x == nil {
		return
	}
	at := l.sinceEpoch(now)
	x.rampAssumed = false
	x.rampStart = at - max(x.WarmUp-left, 0)
	x.refilled, x.tokens = at, 0
}
