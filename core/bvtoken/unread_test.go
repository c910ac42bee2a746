package bvtoken

import (
	"flag"
	"net/netip"
	"slices"
	"strconv"
	"testing"
	"time"

	"balsamvane/core/bvcatalog"
	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
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
	f.catalog.RecordComplete(f.catalog.Revision(), asked)
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
			f.catalog.RecordComplete(f.catalog.Revision(), asked)
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

// TestSeenFlows guards against a flow that counts as open since before its first packet,
// whatever other flows share its slot, and after the times overflow.
func TestSeenFlows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := newSeenFlows(), start
		s.epoch = start.Add(-time.Duration(rapid.IntRange(0, 100).Draw(t, "s")) * time.Second).Add(-(1 << 32) * time.Millisecond).Add(time.Minute)
		type open struct {
			key   bvflow.Key
			token bvcatalog.Token
		}
		first, last := map[open]time.Time{}, map[open]time.Time{}
		for range rapid.IntRange(1, 200).Draw(t, "packets") {
			now = now.Add(time.Duration(rapid.IntRange(0, 8e6).Draw(t, "us")) * time.Microsecond)
			var x open
			x.key[2] = byte(rapid.IntRange(0, 2).Draw(t, "key")) // Not part of the slot's number.
			x.token = bvcatalog.Token(rapid.IntRange(1, 2).Draw(t, "token"))
			if now.Sub(last[x]) > seenTimeout+time.Second {
				first[x] = now
			}
			last[x] = now
			openFor := s.record(now, x.key, x.token)
			require.GreaterOrEqual(t, openFor, time.Duration(0))
			require.LessOrEqual(t, openFor, now.Sub(first[x]))
			require.Equal(t, openFor, s.record(now, x.key, x.token))
		}
	})
}

// fleetStore is the state of the store in a run of a simulated fleet.
type fleetStore struct {
	revision  int64
	version   uint64
	routes    map[netip.AddrPort]uint64 // The version that added the route.
	upstreams map[bvconfig.UpstreamID]fleetUpstream
}

// fleetUpstream is an upstream's entry.
type fleetUpstream struct {
	revision  int64
	startedAt int64 // Revision at the start of the process.
	draining  bool
}

func (s *fleetStore) addresses() []netip.AddrPort {
	var out []netip.AddrPort
	for a := range s.routes {
		out = append(out, a)
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}

// listing returns all entries.
func (s *fleetStore) listing() []bvcatalog.Change {
	cs := []bvcatalog.Change{configuration(s.version, s.addresses()...)}
	for id, u := range s.upstreams {
		x := upstream(id)
		x.Draining = u.draining
		cs = append(cs, bvcatalog.UpstreamPut{Revision: rev(u.revision), Upstream: x})
	}
	return cs
}

// changeConfiguration adds or drops a route.
func (s *fleetStore) changeConfiguration(a netip.AddrPort) {
	s.revision++
	s.version++
	if _, ok := s.routes[a]; ok {
		delete(s.routes, a)
	} else {
		s.routes[a] = s.version
	}
}

// changeUpstream makes an upstream start, drain or leave, whichever comes next.
func (s *fleetStore) changeUpstream(id bvconfig.UpstreamID) {
	s.revision++
	switch u, ok := s.upstreams[id]; {
	case !ok:
		s.upstreams[id] = fleetUpstream{revision: s.revision, startedAt: s.revision}
	case !u.draining:
		u.revision, u.draining = s.revision, true
		s.upstreams[id] = u
	default:
		delete(s.upstreams, id)
	}
}

// fleetBalancer is a balancer that reads the store with calls of any delay.
type fleetBalancer struct {
	catalog *bvcatalog.Catalog
	router  *Router
	askedAt time.Time // Zero if no call is in progress.
	answer  []bvcatalog.Change
	number  int64 // Revision of the answer; 0 before the store gives it.
}

func (b *fleetBalancer) ask(now time.Time) {
	if b.askedAt.IsZero() {
		b.askedAt = now
	}
}

func (b *fleetBalancer) answerFrom(s *fleetStore) {
	if !b.askedAt.IsZero() && b.number == 0 {
		b.answer, b.number = s.listing(), s.revision
	}
}

func (b *fleetBalancer) deliver(now time.Time) {
	if b.number == 0 {
		return
	}
	b.catalog.Replace(now, 0, rev(b.number), b.answer)
	b.catalog.RecordComplete(rev(b.number), b.askedAt)
	b.askedAt, b.answer, b.number = time.Time{}, nil, 0
}

func (b *fleetBalancer) read(now time.Time, s *fleetStore) {
	b.ask(now)
	b.answerFrom(s)
	b.deliver(now)
}

// fleetFlow is an open flow with the version that added its route and the start of its
// upstream.
type fleetFlow struct {
	*flow
	addedBy   uint64
	startedAt int64
}

// mustLive reports whether the flow's route and upstream have existed since it opened.
func (s *fleetStore) mustLive(x fleetFlow) bool {
	addedBy, routed := s.routes[x.tuple.Destination]
	u, lives := s.upstreams[x.upstream]
	return routed && addedBy == x.addedBy && lives && u.startedAt == x.startedAt
}

// atLeastChecks raises the number of cases that rapid draws in a test.
func atLeastChecks(t *testing.T, n int) {
	f := flag.Lookup("rapid.checks")
	before := f.Value.String()
	if drawn, err := strconv.Atoi(before); err == nil && drawn >= n {
		return
	}
	require.NoError(t, flag.Set(f.Name, strconv.Itoa(n)))
	t.Cleanup(func() { require.NoError(t, flag.Set(f.Name, before)) })
}

// TestReadingOrders guards against resets of open flows whose route and upstream
// exist, whatever the order in which routes and upstreams come and go, the balancers
// of a fleet ask the store, and answers are given and delivered; and against flows of
// dropped routes that stay open.
func TestReadingOrders(t *testing.T) {
	atLeastChecks(t, 1000) // Few orders show an answer that is delayed, or a restart.
	rapid.Check(t, func(t *rapid.T) {
		f := &fixture{now: start}
		addresses := []netip.AddrPort{feeds, tickets}
		s := &fleetStore{revision: 1, version: 1, routes: map[netip.AddrPort]uint64{}, upstreams: map[bvconfig.UpstreamID]fleetUpstream{11: {revision: 1, startedAt: 1}}}
		var balancers []*fleetBalancer
		for range 2 {
			c := bvcatalog.New(bvcatalog.Options{})
			b := &fleetBalancer{catalog: c, router: New(Options{Zone: "zone-a", MaxPending: 64}, c)}
			b.read(f.now, s)
			balancers = append(balancers, b)
		}
		for range 40 { // All balancers know the upstreams that were removed.
			f.now = f.now.Add(1600 * time.Millisecond)
			for _, b := range balancers {
				b.read(f.now, s)
			}
		}
		var flows []fleetFlow
		balancer := func(t *rapid.T) *fleetBalancer { return rapid.SampledFrom(balancers).Draw(t, "balancer") }
		// send sends a packet of a flow through a balancer and reports whether the flow
		// was reset, which must not happen while it must live.
		send := func(t *rapid.T, b *fleetBalancer, x fleetFlow) bool {
			x.sequence += 200
			d := b.router.Route(f.now, x.packet(bvflow.PhaseEstablished, 200))
			if s.mustLive(x) {
				require.NotEqual(t, VerdictReset, d.Verdict, "reason %s", d.Reason)
			}
			return d.Verdict == VerdictReset
		}
		open := func(t *rapid.T) {
			b, x := balancer(t), f.newFlow(rapid.SampledFrom(addresses).Draw(t, "address"))
			d := b.router.Route(f.now, Packet{Packet: bvflow.Packet{Tuple: x.tuple, Phase: bvflow.PhaseOpening}})
			if d.Verdict != VerdictForward {
				return
			}
			x.token, x.upstream = d.Token, d.Upstream
			if u, ok := s.upstreams[x.upstream]; ok { // Another one does not answer.
				flows = append(flows, fleetFlow{x, s.routes[x.tuple.Destination], u.startedAt})
			}
		}
		sendAll := func(t *rapid.T) {
			f.now = f.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
			for _, x := range flows {
				for _, b := range balancers {
					send(t, b, x)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"change the configuration": func(t *rapid.T) {
				s.changeConfiguration(rapid.SampledFrom(addresses).Draw(t, "address"))
			},
			"change an upstream": func(t *rapid.T) {
				s.changeUpstream(rapid.SampledFrom([]bvconfig.UpstreamID{11, 12, 21}).Draw(t, "upstream"))
			},
			"ask": func(t *rapid.T) { balancer(t).ask(f.now) },
			"ask and be answered": func(t *rapid.T) {
				b := balancer(t)
				b.ask(f.now)
				b.answerFrom(s)
			},
			"deliver": func(t *rapid.T) { balancer(t).deliver(f.now) },
			"read":    func(t *rapid.T) { balancer(t).read(f.now, s) },
			"open":    open,
			"send":    sendAll,
			"resend":  sendAll,
		})
		for _, x := range flows {
			if _, ok := s.routes[x.tuple.Destination]; ok {
				continue
			}
			for _, b := range balancers {
				b.deliver(f.now)
				b.read(f.now, s)
				send(t, b, x)
				for range 4 { // Until the grace period after the last outage is over.
					f.now = f.now.Add(time.Second)
					b.read(f.now, s)
				}
				require.True(t, send(t, b, x), "the flow stays open without a route")
			}
		}
	})
}
