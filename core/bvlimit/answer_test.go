package bvlimit

import (
	"testing"
	"time"

	"balsamvane/core/bvconfig"

	"github.com/stretchr/testify/assert"
)

// silentFixture returns a limiter with n warm upstreams of one service.
func silentFixture(n int, o Options) (*Limiter, time.Time) {
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

// TestUnanswered guards against new flows to an upstream that leaves openings
// unanswered, against one lost packet that takes an upstream out, and against
// an upstream that stays out after it has answered.
func TestUnanswered(t *testing.T) {
	l, now := silentFixture(3, Options{})
	assert.False(t, l.Unanswered(now, 1))
	assert.True(t, l.Admit(now, 1), "one lost packet")
	assert.True(t, l.Unanswered(now, 1))
	assert.False(t, l.Admit(now, 1))
	assert.True(t, l.Unresponsive(1))
	now = now.Add(silentFirst)
	assert.True(t, l.Admit(now, 1), "a trial after the first delay")
	l.Unanswered(now, 1)
	now = now.Add(silentFirst)
	assert.False(t, l.Admit(now, 1), "the delay doubles")
	l.Answered(now, 1)
	assert.True(t, l.Admit(now, 1))
	assert.False(t, l.Unresponsive(1))
}

// TestSilentDelayIsBounded guards against an upstream that is not tried for a
// long time after it was silent for long.
func TestSilentDelayIsBounded(t *testing.T) {
	l, now := silentFixture(3, Options{})
	for range 50 {
		l.Unanswered(now, 1)
	}
	assert.False(t, l.Admit(now.Add(silentMost-time.Millisecond), 1))
	assert.True(t, l.Admit(now.Add(silentMost), 1))
}

// TestEjectFraction guards against a service that loses all its upstreams to
// suspicion where the default bound holds, and shows that a larger fraction
// lets a balancer that judges by its own openings leave out more.
func TestEjectFraction(t *testing.T) {
	for fraction, want := range map[float64]int{0: 3, 1: 1} {
		l, now := silentFixture(3, Options{EjectFraction: fraction})
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

// TestSetCold guards against a cold time other than the one that the platform
// tells, in either direction.
func TestSetCold(t *testing.T) {
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
