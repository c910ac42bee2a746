package bvtoken

import (
	"net/netip"
	"testing"
	"time"

	"balsamvane/core/bvcatalog"
	"balsamvane/core/bvconfig"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// configure puts a version of the configuration into force that has routes for the
// addresses.
func (f *fixture) configure(version uint64, addresses ...netip.AddrPort) {
	f.apply(configuration(version, addresses...))
}

func configuration(version uint64, addresses ...netip.AddrPort) bvcatalog.Configuration {
	c := bvcatalog.Configuration{Version: version}
	for _, a := range addresses {
		c.Routes = append(c.Routes, bvcatalog.Route{Address: a, Backends: []bvcatalog.Backend{{Service: "desk", Weight: 1}}})
	}
	return c
}

// openedElsewhere returns a flow that another balancer has opened at an upstream.
func (f *fixture) openedElsewhere(to netip.AddrPort, id bvconfig.UpstreamID) *flow {
	x := f.newFlow(to)
	x.upstream, x.token = id, bvcatalog.TokenOf(id)
	return x
}

// TestUnreadRoute guards against a reset of an open flow by a balancer that has not
// read its route yet. The route was added, or dropped and added again, after the last
// answer of the store, and another balancer with the new configuration opened the
// flow. The catalog is recent all the while.
func TestUnreadRoute(t *testing.T) {
	tests := map[string]func(f *fixture){
		"added": func(*fixture) {},
		"added again": func(f *fixture) {
			f.configure(2, feeds, tickets, unrouted)
			f.advance(time.Second)
			f.configure(3, feeds, tickets)
		},
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(11, 12)
			prepare(f)
			x := f.openedElsewhere(unrouted, 12)
			for range 10 {
				f.now = f.now.Add(70 * time.Millisecond)
				d := f.request(x, false)
				require.Equal(t, VerdictForward, d.Verdict, d.Reason)
				require.Equal(t, x.upstream, d.Upstream)
			}
			f.configure(4, feeds, tickets, unrouted)
			f.advance(10 * time.Second)
			d := f.request(x, false)
			require.Equal(t, VerdictForward, d.Verdict, d.Reason)
			assert.Equal(t, ReasonToken, d.Reason)
		})
	}
}

// TestDelayedAnswer guards against a reset of an open flow because of an answer that
// arrives after a packet of the flow, although the store gave it before the flow's
// route was added.
func TestDelayedAnswer(t *testing.T) {
	f := newFixture(11, 12)
	asked := f.now
	f.now = f.now.Add(100 * time.Millisecond)
	x := f.openedElsewhere(unrouted, 12)
	d := f.request(x, false)
	require.Equal(t, VerdictForward, d.Verdict)
	assert.Equal(t, ReasonTokenUnreadRoute, d.Reason)
	f.now = f.now.Add(100 * time.Millisecond)
	f.catalog.RecordAnswer(f.now, 0)
	f.catalog.RecordWatermark(f.catalog.Revision(), asked)
	assert.Equal(t, VerdictForward, f.request(x, false).Verdict)
}

// TestDroppedRoute guards against flows that stay open although their route was
// dropped: on a balancer that has forwarded their packets, on one that gets the first of
// them later, and on one that has started since.
func TestDroppedRoute(t *testing.T) {
	t.Run("forwarded before", func(t *testing.T) {
		f := newFixture(11, 12)
		f.configure(2, unrouted)
		x := f.connect(unrouted)
		f.configure(3)
		d := f.request(x, false)
		assert.Equal(t, VerdictReset, d.Verdict, "at once")
		assert.Equal(t, ReasonNoRoute, d.Reason)
	})
	tests := map[string]func(f *fixture){
		"forwarded by another balancer": func(f *fixture) { f.configure(2, unrouted); f.configure(3) },
		"started since":                 func(*fixture) {},
	}
	for name, drop := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(11, 12)
			drop(f)
			x := f.openedElsewhere(unrouted, 12)
			f.request(x, false)
			asked := f.now.Add(callDelay)
			f.now = f.now.Add(300 * time.Millisecond)
			f.catalog.RecordWatermark(f.catalog.Revision(), asked)
			d := f.request(x, false)
			assert.Equal(t, VerdictReset, d.Verdict)
			assert.Equal(t, ReasonNoRoute, d.Reason)
		})
	}
}

// TestReusedPortOfDroppedRoute guards against a reset of a new flow because a flow from
// the same port was seen before its route was dropped and added again.
func TestReusedPortOfDroppedRoute(t *testing.T) {
	tests := map[string]func(f *fixture, x *flow){
		"opened here":          func(f *fixture, x *flow) { f.leave(11); f.configure(2, unrouted); f.open(x) },
		"at another upstream":  func(_ *fixture, x *flow) { x.upstream, x.token = 11, bvcatalog.TokenOf(11) },
		"opened much later":    func(f *fixture, _ *flow) { f.advance(seenTimeout + 2*time.Second) },
		"slot was overwritten": func(f *fixture, _ *flow) { clear(f.router.seen.slots) },
	}
	for name, reopen := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(11, 12)
			x := f.openedElsewhere(unrouted, 12)
			f.request(x, false)
			f.advance(time.Second)
			reopen(f, x)
			f.configure(3)
			assert.Equal(t, VerdictForward, f.request(x, false).Verdict)
		})
	}
}
