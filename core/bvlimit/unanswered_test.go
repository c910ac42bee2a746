package bvlimit

import (
	"testing"
	"time"

	"balsamvane/core/bvconfig"

	"github.com/stretchr/testify/assert"
)

// newWarmLimiter returns a limiter with n warm upstreams of one service.
func newWarmLimiter(n int, o Options) (*Limiter, time.Time) {
	now := time.Unix(1000, 0)
	l := New(o)
	var us []Upstream
	for i := range n {
		us = append(us, Upstream{ID: bvconfig.UpstreamID(i + 1), Service: "desk"})
	}
	l.SetUpstreams(now, "zone-a", us, 1)
	l.SetShareEnabled(true)
	return l, now
}

// TestUnanswered guards against new flows to an unresponsive upstream, against
// ejection after a single lost packet, and against an upstream that stays
// ejected after it has answered.
func TestUnanswered(t *testing.T) {
	l, now := newWarmLimiter(3, Options{})
	assert.False(t, l.Unanswered(now, 1))
	assert.True(t, l.Admit(now, 1), "one lost packet")
	assert.True(t, l.Unanswered(now, 1))
	assert.False(t, l.Admit(now, 1))
	assert.True(t, l.Unresponsive(1))
	now = now.Add(firstUnresponsiveDelay)
	assert.True(t, l.Admit(now, 1), "a retry after the first delay")
	l.Unanswered(now, 1)
	now = now.Add(firstUnresponsiveDelay)
	assert.False(t, l.Admit(now, 1), "the delay doubles")
	l.Answered(now, 1)
	assert.True(t, l.Admit(now, 1))
	assert.False(t, l.Unresponsive(1))
}

// TestUnresponsiveDelayIsBounded guards against an ejection that keeps growing
// while an upstream is unresponsive, so that its recovery is found late.
func TestUnresponsiveDelayIsBounded(t *testing.T) {
	l, now := newWarmLimiter(3, Options{})
	for range 50 {
		l.Unanswered(now, 1)
	}
	assert.False(t, l.Admit(now.Add(maxUnresponsiveDelay-time.Millisecond), 1))
	assert.True(t, l.Admit(now.Add(maxUnresponsiveDelay), 1))
}

// TestEjectFraction guards against ejecting more of a service than the default
// fraction allows, and shows that a larger fraction lets a balancer whose only
// health signal is its own openings eject more.
func TestEjectFraction(t *testing.T) {
	for fraction, want := range map[float64]int{0: 3, 1: 1} {
		l, now := newWarmLimiter(3, Options{EjectFraction: fraction})
		for id := range bvconfig.UpstreamID(2) {
			l.Unanswered(now, id+1)
			l.Unanswered(now, id+1)
		}
		n := 0
		for id := range bvconfig.UpstreamID(3) {
			if l.Admit(now, id+1) {
				n++
			}
		}
		assert.Equal(t, want, n, "fraction %v", fraction)
	}
}

// TestSetColdFor guards against a cold time that is shorter or longer than the
// one from the platform.
func TestSetColdFor(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New(Options{})
	u := Upstream{ID: 1, Service: "desk", ColdRate: 0, ConstantRate: true, WarmUp: 2 * time.Second}
	l.SetUpstreams(now, "zone-a", []Upstream{u}, 1)
	l.SetShareEnabled(true)
	l.SetColdFor(now, 1, 0)
	assert.True(t, l.Admit(now, 1), "it is warm")
	l.SetColdFor(now, 1, 1500*time.Millisecond)
	assert.False(t, l.Admit(now.Add(1400*time.Millisecond), 1))
	assert.True(t, l.Admit(now.Add(1500*time.Millisecond), 1))
}
