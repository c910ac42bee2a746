package bvtoken

import (
	"flag"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"testing"
	"time"

	"balsamvane/core/bvcatalog"
	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

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

// listing returns all entries, in an order that does not change from run to run.
func (s *fleetStore) listing() []bvcatalog.Change {
	addresses := slices.SortedFunc(maps.Keys(s.routes), netip.AddrPort.Compare)
	cs := []bvcatalog.Change{configuration(s.version, addresses...)}
	for _, id := range slices.Sorted(maps.Keys(s.upstreams)) {
		u, x := s.upstreams[id], upstream(id)
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

// ask begins a call of the store.
func (b *fleetBalancer) ask(now time.Time) {
	if b.askedAt.IsZero() {
		b.askedAt = now
	}
}

// answerFrom makes the store give the answer to the call in progress.
func (b *fleetBalancer) answerFrom(s *fleetStore) {
	if !b.askedAt.IsZero() && b.number == 0 {
		b.answer, b.number = s.listing(), s.revision
	}
}

// deliver applies the answer, which may be much older by now.
func (b *fleetBalancer) deliver(now time.Time) {
	if b.number == 0 {
		return
	}
	b.catalog.Replace(now, 0, rev(b.number), b.answer)
	b.catalog.RecordWatermark(rev(b.number), b.askedAt)
	b.askedAt, b.answer, b.number = time.Time{}, nil, 0
}

// read makes a call without any delay.
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
