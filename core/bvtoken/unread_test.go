package bvtoken

import (
	"net/netip"
	"slices"
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
// dropped, on a balancer that knew the route and on one that started later.
func TestDroppedRoute(t *testing.T) {
	tests := map[string]func(f *fixture){
		"known before":    func(f *fixture) { f.configure(2, unrouted); f.configure(3) },
		"dropped earlier": func(*fixture) {},
	}
	for name, drop := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(11, 12)
			drop(f)
			x := f.openedElsewhere(unrouted, 12)
			f.request(x, false)
			asked := f.now.Add(time.Millisecond)
			f.now = f.now.Add(300 * time.Millisecond)
			f.catalog.RecordComplete(f.catalog.Revision(), asked)
			d := f.request(x, false)
			assert.Equal(t, VerdictReset, d.Verdict)
			assert.Equal(t, ReasonNoRoute, d.Reason)
		})
	}
}

// TestReusedPortOfDroppedRoute guards against a reset of a new flow because a flow
// with the same addresses and ports was seen before its route was dropped and added
// again.
func TestReusedPortOfDroppedRoute(t *testing.T) {
	tests := map[string]struct {
		between func(f *fixture, x *flow)
	}{
		"opened here":           {func(f *fixture, x *flow) { f.configure(2, unrouted); f.open(x) }},
		"a packet while routed": {func(f *fixture, x *flow) { f.configure(2, unrouted); f.request(x, false) }},
		"opened elsewhere":      {func(f *fixture, _ *flow) { f.advance(unresolvedTimeout + time.Second) }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(11, 12)
			x := f.openedElsewhere(unrouted, 12)
			f.request(x, false)
			f.advance(time.Second)
			tt.between(f, x)
			f.configure(3)
			assert.Equal(t, VerdictForward, f.request(x, false).Verdict)
		})
	}
}

// TestUnresolvedFlowsAreBounded guards against memory that grows with flows without a
// route or upstream, of which callers can make up any number, and against an
// eviction that removes a newer entry of the same flow.
func TestUnresolvedFlowsAreBounded(t *testing.T) {
	const capacity = 4
	u := newUnresolvedFlows(capacity)
	key := func(n int) bvflow.Key {
		return bvflow.NewHasher(0).Key(bvflow.Tuple{Source: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(n))})
	}
	at := func(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }
	u.firstSeen(at(0), key(0))
	u.remove(key(0))
	u.firstSeen(at(1), key(0))
	for n := 2; n <= capacity; n++ {
		u.firstSeen(at(n), key(n))
	}
	assert.Equal(t, at(1), u.firstSeen(at(capacity), key(0)), "its first entry was evicted")
	for n := range 10 * capacity {
		u.firstSeen(at(100), key(100+n))
	}
	assert.Len(t, u.first, capacity)
	assert.Equal(t, at(200), u.firstSeen(at(200), key(0)), "its entry was evicted")
	u.firstSeen(at(200).Add(2*unresolvedTimeout), key(1))
	assert.Len(t, u.first, 1, "the others have expired")
}

// fleetStore is the state of the store in a run of a simulated fleet.
type fleetStore struct {
	revision  int64
	version   uint64
	routes    map[netip.AddrPort]int // The number of the route's addition.
	upstreams map[bvconfig.UpstreamID]int64
	next      bvconfig.UpstreamID
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
	for id, number := range s.upstreams {
		cs = append(cs, bvcatalog.UpstreamPut{Revision: rev(number), Upstream: upstream(id)})
	}
	return cs
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

// fleetFlow is an open flow with the number of its route's addition.
type fleetFlow struct {
	*flow
	addition int
}

// TestReadingOrders guards against resets of open flows whose route and upstream
// exist, whatever the order in which routes and upstreams come and go, the balancers
// of a fleet ask the store, and answers are given and delivered; and against flows of
// dropped routes that stay open.
func TestReadingOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fixture{now: start}
		addresses := []netip.AddrPort{feeds, tickets}
		s := &fleetStore{revision: 1, version: 1, routes: map[netip.AddrPort]int{}, upstreams: map[bvconfig.UpstreamID]int64{11: 1}, next: 12}
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
		// was reset, which must not happen while its route exists.
		send := func(t *rapid.T, b *fleetBalancer, x fleetFlow) bool {
			x.sequence += 200
			d := b.router.Route(f.now, x.packet(bvflow.PhaseEstablished, 200))
			if addition, ok := s.routes[x.tuple.Destination]; ok && addition == x.addition {
				require.NotEqual(t, VerdictReset, d.Verdict, "reason %s", d.Reason)
			}
			return d.Verdict == VerdictReset
		}
		change := func(t *rapid.T) {
			s.revision++
			s.version++
			a := rapid.SampledFrom(addresses).Draw(t, "address")
			if _, ok := s.routes[a]; ok {
				delete(s.routes, a)
			} else {
				s.routes[a] = int(s.version)
			}
		}
		open := func(t *rapid.T) {
			b, x := balancer(t), f.newFlow(rapid.SampledFrom(addresses).Draw(t, "address"))
			d := b.router.Route(f.now, Packet{Packet: bvflow.Packet{Tuple: x.tuple, Phase: bvflow.PhaseOpening}})
			if d.Verdict != VerdictForward {
				return
			}
			x.token, x.upstream = d.Token, d.Upstream
			flows = append(flows, fleetFlow{x, s.routes[x.tuple.Destination]})
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
			"change the configuration": change,
			"add an upstream": func(*rapid.T) {
				s.revision++
				s.upstreams[s.next] = s.revision
				s.next++
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
		f.now = f.now.Add(unresolvedTimeout + time.Second) // No first packet is remembered.
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
