package bvtoken

import (
	"testing"
	"time"

	"balsamvane/core/bvconfig"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestRemovedUpstreamAnswers guards against open flows that are reset although their
// upstream serves them. Its entry has expired while it did not reach the platform,
// and a restore of the platform lost the next registration.
func TestRemovedUpstreamAnswers(t *testing.T) {
	f := newFixture(11, 12)
	idle, busy := f.connect(tickets), f.connect(tickets)
	for busy.upstream != idle.upstream {
		busy = f.connect(tickets)
	}
	f.remove(idle.upstream)
	for range 20 {
		require.Equal(t, VerdictForward, f.request(busy, false).Verdict)
		f.advance(200 * time.Millisecond)
		require.Equal(t, VerdictForward, f.request(busy, true).Verdict, "one lost packet")
		f.advance(50 * time.Millisecond)
		require.Equal(t, VerdictForward, f.answer(busy).Verdict)
		f.advance(time.Second)
	}
	require.Equal(t, VerdictForward, f.request(idle, false).Verdict, "a flow without packets since the removal")
	assert.NotEqual(t, idle.upstream, f.connect(tickets).upstream, "it gets no new flows")
	f.advance(time.Minute)
	f.open(f.newFlow(tickets))
	assert.Empty(t, f.router.removed, "nothing is kept once the catalog has discarded the entry")
}

// TestRemovedUpstreamSilent guards against callers that wait until their deadline at
// an upstream that has crashed and whose entry has expired.
func TestRemovedUpstreamSilent(t *testing.T) {
	// repeat sends a request with the caller's retransmissions, and returns how long
	// the caller waited for a reset.
	repeat := func(f *fixture, x *flow) time.Duration {
		waited := time.Duration(0)
		d := f.request(x, false)
		for _, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
			if d.Verdict == VerdictReset {
				return waited
			}
			f.advance(wait)
			waited += wait
			d = f.request(x, true)
		}
		return waited
	}
	connect := func(f *fixture, id bvconfig.UpstreamID) *flow {
		for {
			if x := f.connect(tickets); x.upstream == id {
				return x
			}
		}
	}
	t.Run("its flows were idle", func(t *testing.T) {
		f := newFixture(11, 12)
		flows := []*flow{connect(f, 11), connect(f, 11), connect(f, 11)}
		f.advance(4 * time.Second)
		f.remove(11)
		assert.Equal(t, 600*time.Millisecond, repeat(f, flows[0]))
		assert.Zero(t, repeat(f, flows[1]), "the first flow has shown that it does not answer")
		f.advance(endedRetryAfter)
		assert.Equal(t, 200*time.Millisecond, repeat(f, flows[2]), "it is tried again after some time")
	})
	t.Run("its flows were waiting", func(t *testing.T) {
		f := newFixture(11, 12)
		flows := []*flow{connect(f, 11), connect(f, 11)}
		repeat(f, flows[0])
		f.remove(11)
		assert.Zero(t, repeat(f, flows[1]), "it was silent before its entry expired")
	})
	t.Run("its entry is written again", func(t *testing.T) {
		f := newFixture(11, 12)
		x := connect(f, 11)
		repeat(f, x)
		f.remove(11)
		f.apply(f.entry(11))
		assert.Equal(t, VerdictForward, f.request(x, false).Verdict)
		assert.Empty(t, f.router.removed)
	})
}

// TestUnreadRestart guards against a reset of an open flow by a balancer that has read
// that the flow's upstream drained and left, and not yet that it started again under
// its ID. Another balancer that has read it opened the flow.
func TestUnreadRestart(t *testing.T) {
	f := newFixture(11, 12)
	f.leave(11)
	f.advance(time.Second)
	d := f.request(f.openedElsewhere(tickets, 11), false)
	assert.Equal(t, VerdictForward, d.Verdict, d.Reason)
}

// connectTo opens a flow at an upstream.
func (f *fixture) connectTo(id bvconfig.UpstreamID) *flow {
	for {
		if x := f.connect(tickets); x.upstream == id {
			return x
		}
	}
}

// repeatTwice sends a request whose packets get no acknowledgement, while another flow's
// requests are answered, and returns the last decision.
func (f *fixture) repeatTwice(x, other *flow) Decision {
	d := f.request(x, false)
	for range 2 {
		f.advance(200 * time.Millisecond)
		f.request(other, false)
		f.answer(other)
		f.advance(200 * time.Millisecond)
		d = f.request(x, true)
	}
	return d
}

// TestRemovedUpstreamLosses guards against resets of flows at a live upstream whose entry
// has expired when packets are lost now and then: long ago, or to other upstreams too.
func TestRemovedUpstreamLosses(t *testing.T) {
	t.Run("far apart", func(t *testing.T) {
		f := newFixture(11, 12)
		x, other := f.connectTo(11), f.connectTo(12)
		f.remove(11)
		f.request(x, false)
		f.advance(400 * time.Millisecond)
		f.request(x, true)
		for range 4 {
			f.advance(5 * time.Second)
			f.request(other, false)
			f.answer(other)
		}
		f.request(x, false)
		f.advance(400 * time.Millisecond)
		assert.Equal(t, VerdictForward, f.request(x, true).Verdict)
	})
	t.Run("to other upstreams", func(t *testing.T) {
		f := newFixture(11, 12, 13)
		x, lossy, other := f.connectTo(11), f.connectTo(12), f.connectTo(13)
		f.remove(11)
		f.repeatTwice(lossy, other)
		f.answer(lossy)
		assert.Equal(t, VerdictForward, f.repeatTwice(x, other).Verdict)
		f.advance(lossMemory)
		assert.Equal(t, VerdictReset, f.repeatTwice(x, other).Verdict)
	})
}
