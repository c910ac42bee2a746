package bvtoken

import (
	"testing"
	"time"

	"balsamvane/core/bvcatalog"
	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestFlowKeepsUpstream guards against open flows that change their upstream when
// balancers restart or the set of upstreams changes in any planned way.
func TestFlowKeepsUpstream(t *testing.T) {
	tests := map[string]func(f *fixture, u bvconfig.UpstreamID){
		"nothing changes":   func(*fixture, bvconfig.UpstreamID) {},
		"balancer restarts": func(f *fixture, _ bvconfig.UpstreamID) { f.router = New(Options{Zone: "zone-b"}, f.catalog) },
		"upstreams join":    func(f *fixture, _ bvconfig.UpstreamID) { f.apply(f.entry(13), f.entry(14), f.entry(23)) },
		"its upstream drains": func(f *fixture, u bvconfig.UpstreamID) {
			f.change(u, func(u *bvcatalog.Upstream) { u.Draining = true })
		},
		"its zone is evacuated": func(f *fixture, _ bvconfig.UpstreamID) { f.apply(bvcatalog.ZoneOutOfService{Zone: "zone-a"}) },
		"its entry is unreadable": func(f *fixture, u bvconfig.UpstreamID) {
			f.apply(bvcatalog.UpstreamUnreadable{Revision: rev(f.revision + 1), ID: u})
		},
		"its route goes to another service": func(f *fixture, _ bvconfig.UpstreamID) {
			f.apply(bvcatalog.Configuration{Version: 2, Routes: []bvcatalog.Route{
				{Address: feeds, Backends: []bvcatalog.Backend{{Service: "vault", Weight: 1}}},
			}})
		},
		"platform is unreachable": func(f *fixture, _ bvconfig.UpstreamID) { f.now = f.now.Add(time.Hour) },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(11, 12, 21)
			x := f.connect(feeds)
			change(f, x.upstream)
			for range 20 {
				d := f.request(x, false)
				require.Equal(t, VerdictForward, d.Verdict, d.Reason)
				require.Equal(t, x.upstream, d.Upstream)
				f.answer(x)
			}
		})
	}
}

// TestNoNewFlow guards against new flows to upstreams that accept none.
func TestNoNewFlow(t *testing.T) {
	tests := map[string]func(f *fixture){
		"draining": func(f *fixture) { f.change(11, func(u *bvcatalog.Upstream) { u.Draining = true }) },
		"evacuated": func(f *fixture) {
			f.change(11, func(u *bvcatalog.Upstream) { u.Zone = "zone-c" })
			f.apply(bvcatalog.ZoneOutOfService{Zone: "zone-c"})
		},
		"unreadable": func(f *fixture) { f.apply(bvcatalog.UpstreamUnreadable{Revision: rev(f.revision + 1), ID: 11}) },
		"removed":    func(f *fixture) { f.remove(11) },
		"of another service": func(f *fixture) {
			f.change(11, func(u *bvcatalog.Upstream) { u.Service = "vault" })
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(11, 12, 21)
			change(f)
			for range 100 {
				d := f.open(f.newFlow(feeds))
				require.Equal(t, VerdictForward, d.Verdict)
				require.NotEqual(t, bvconfig.UpstreamID(11), d.Upstream)
			}
		})
	}
}

// TestRefusals guards against callers that wait for what cannot be served, and
// against refusals for lack of a route by a balancer whose catalog is stale. A
// service without upstreams is refused even then.
func TestRefusals(t *testing.T) {
	stale := func(f *fixture) { f.now = f.now.Add(4 * time.Second) }
	tests := []struct {
		name    string
		prepare func(f *fixture)
		send    func(f *fixture) Decision
		verdict Verdict
		reason  Reason
	}{
		{"no route", nil, func(f *fixture) Decision { return f.open(f.newFlow(unrouted)) }, VerdictReset, ReasonNoRoute},
		{"no route, stale catalog", stale, func(f *fixture) Decision { return f.open(f.newFlow(unrouted)) }, VerdictDrop, ReasonNoRoute},
		{"no upstream", func(f *fixture) { f.remove(11); f.remove(12) }, func(f *fixture) Decision { return f.open(f.newFlow(feeds)) }, VerdictReset, ReasonNoUpstream},
		{"no upstream, stale catalog", func(f *fixture) { f.remove(11); f.remove(12); stale(f) }, func(f *fixture) Decision { return f.open(f.newFlow(feeds)) }, VerdictReset, ReasonNoUpstream},
		{"upstream has left", nil, func(f *fixture) Decision { x := f.connect(tickets); f.leave(x.upstream); return f.request(x, false) }, VerdictReset, ReasonUpstreamRemoved},
		{"reset of a flow whose upstream has left", nil, func(f *fixture) Decision {
			x := f.connect(tickets)
			f.leave(x.upstream)
			return f.route(x.packet(bvflow.PhaseReset, 0))
		}, VerdictDrop, ReasonUpstreamRemoved},
		{"route was removed", nil, func(f *fixture) Decision {
			x := f.connect(feeds)
			f.apply(bvcatalog.Configuration{Version: 2})
			return f.request(x, false)
		}, VerdictReset, ReasonNoRoute},
		{"unknown token", nil, func(f *fixture) Decision {
			x := f.connect(feeds)
			x.token = 999
			return f.request(x, false)
		}, VerdictDrop, ReasonUnknownToken},
		{"no token", nil, func(f *fixture) Decision { return f.request(f.newFlow(feeds), false) }, VerdictDrop, ReasonNoToken},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(11, 12)
			if tt.prepare != nil {
				tt.prepare(f)
			}
			d := tt.send(f)
			assert.Equal(t, tt.verdict, d.Verdict)
			assert.Equal(t, tt.reason, d.Reason, d.Reason.String())
		})
	}
	empty := New(Options{}, bvcatalog.New(bvcatalog.Options{}))
	x := newFixture(11).newFlow(feeds)
	d := empty.Route(start, Packet{Packet: bvflow.Packet{Tuple: x.tuple, Phase: bvflow.PhaseOpening}})
	assert.Equal(t, ReasonIncomplete, d.Reason)
}

// TestUnknownToken guards against callers that wait until their deadline for an
// upstream that does not exist, against resets of flows at an upstream whose entry
// only this balancer has not received, and against resets while entries may be
// missing, or may have been removed before this balancer started although their
// upstreams serve.
func TestUnknownToken(t *testing.T) {
	f := newStartingFixture(11, 12)
	flowAt := func(id bvconfig.UpstreamID) *flow {
		x := f.newFlow(feeds)
		x.token = bvcatalog.TokenOf(id)
		return x
	}
	removed, added := flowAt(31), flowAt(32)
	assert.Equal(t, VerdictDrop, f.request(removed, false).Verdict)
	f.advance(time.Second)
	assert.Equal(t, VerdictDrop, f.request(removed, true).Verdict, "entries may be missing right after the start")
	f.advance(57 * time.Second)
	assert.Equal(t, VerdictDrop, f.request(removed, true).Verdict, "the upstream may still serve")
	f.advance(3 * time.Second)
	d := f.request(removed, true)
	assert.Equal(t, VerdictReset, d.Verdict)
	assert.Equal(t, ReasonUnknownToken, d.Reason)

	assert.Equal(t, VerdictDrop, f.request(added, false).Verdict)
	assert.Equal(t, VerdictDrop, f.request(added, true).Verdict, "nothing was confirmed since")
	f.apply(f.entry(32))
	assert.Equal(t, VerdictForward, f.request(added, true).Verdict)

	unreadable := flowAt(33)
	f.apply(bvcatalog.UpstreamUnreadable{Revision: rev(f.revision + 1), ID: 33})
	for range 5 {
		assert.Equal(t, VerdictDrop, f.request(unreadable, false).Verdict, "the upstream may be alive")
		f.advance(time.Second)
	}
	for i := range 10_000 {
		f.request(flowAt(bvconfig.UpstreamID(1000+i)), false)
	}
	assert.Len(t, f.router.seen.slots, seenSlots)

	earlier, later := flowAt(34), flowAt(34)
	f.request(earlier, false)
	f.advance(time.Second)
	assert.Equal(t, VerdictReset, f.request(earlier, true).Verdict)
	assert.Equal(t, VerdictDrop, f.request(later, false).Verdict, "its upstream may have been added since")
}

// TestResetSequence guards against resets that the caller ignores. A reset must
// carry the sequence number that the caller has acknowledged.
func TestResetSequence(t *testing.T) {
	f := newFixture(11)
	x := f.connect(feeds)
	f.leave(11)
	x.acked = 70_000
	assert.EqualValues(t, 70_000, f.request(x, false).Sequence)
}

// TestUnresponsiveUpstream guards against resets of open flows whose upstream does not
// acknowledge packets while its entry is listed, and against new flows there. Its packets
// may be late or lost on their way, and only its removal shows that it has ended.
func TestUnresponsiveUpstream(t *testing.T) {
	tests := []struct {
		name    string
		to      func() *flow
		others  bool // Another upstream answers meanwhile.
		repeats int
		every   time.Duration
		ejected bool
	}{
		{name: "repeated", others: true, repeats: 3, every: 200 * time.Millisecond, ejected: true},
		{name: "repeated for a long time", others: true, repeats: 50, every: 200 * time.Millisecond, ejected: true},
		{name: "repeated only once", others: true, repeats: 1, every: 400 * time.Millisecond},
		{name: "repeated at one moment", others: true, repeats: 5, every: 25 * time.Millisecond},
		{name: "no upstream answers", repeats: 5, every: 200 * time.Millisecond, ejected: true},
	}
	for _, tt := range tests {
		for _, idempotent := range []bool{true, false} {
			f := newFixture(11, 12)
			to := tickets
			if idempotent {
				to = feeds
			}
			unresponsive := f.connect(to)
			other := f.connect(to)
			for other.upstream == unresponsive.upstream {
				other = f.connect(to)
			}
			f.request(unresponsive, false)
			var d Decision
			for range tt.repeats {
				f.advance(tt.every)
				if tt.others {
					f.request(other, false)
					f.answer(other)
				}
				d = f.request(unresponsive, true)
			}
			assert.Equal(t, VerdictForward, d.Verdict, "%s, idempotent %t", tt.name, idempotent)
			assert.Equal(t, tt.ejected, f.router.limiter.Unresponsive(unresponsive.upstream), "%s, idempotent %t", tt.name, idempotent)
		}
	}
}

// TestUnreachableUpstream guards against resets of flows whose upstream is alive and only
// unreachable from this balancer, as when two zones are partitioned from each other while
// a third one reaches both.
func TestUnreachableUpstream(t *testing.T) {
	tests := []struct {
		name                string
		unresponsive, other bvconfig.UpstreamID
	}{
		{"upstream in another zone, own zone answers", 21, 11},
		{"upstream in the own zone, another zone answers", 11, 21},
		{"upstream in the own zone, own zone answers", 11, 12},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(tt.unresponsive, tt.other)
			at := func(id bvconfig.UpstreamID) *flow {
				x := f.newFlow(feeds)
				x.token, x.upstream = bvcatalog.TokenOf(id), id
				return x
			}
			unresponsive, other := at(tt.unresponsive), at(tt.other)
			f.request(unresponsive, false)
			for range 6 {
				f.advance(200 * time.Millisecond)
				f.request(other, false)
				f.answer(other)
				require.Equal(t, VerdictForward, f.request(unresponsive, true).Verdict)
			}
		})
	}
}

// TestAnsweringUpstreamNotReset guards against resets of flows at an upstream that
// answers others. Packets are lost now and then.
func TestAnsweringUpstreamNotReset(t *testing.T) {
	f := newFixture(11)
	lossy, other := f.connect(feeds), f.connect(feeds)
	f.request(lossy, false)
	for range 20 {
		f.advance(200 * time.Millisecond)
		f.request(other, false)
		f.answer(other)
		require.Equal(t, VerdictForward, f.request(lossy, true).Verdict)
	}
}

// TestIsolated guards against a balancer that keeps callers although it reaches no
// upstream, and against one that withdraws because of a single crashed upstream.
func TestIsolated(t *testing.T) {
	f := newFixture(11, 12)
	x, y := f.connect(feeds), f.connect(feeds)
	for y.upstream == x.upstream {
		y = f.connect(feeds)
	}
	f.request(x, false)
	for range 5 {
		f.advance(200 * time.Millisecond)
		f.request(x, true)
		f.request(y, false)
		f.answer(y)
	}
	assert.False(t, f.router.Isolated(f.now), "another upstream answers")
	f.request(y, false)
	for range 5 {
		f.advance(200 * time.Millisecond)
		f.request(y, true)
	}
	assert.True(t, f.router.Isolated(f.now))
	f.advance(3 * time.Second)
	assert.False(t, f.router.Isolated(f.now), "the balancer accepts callers again")
}

// TestIsolatedFromPlatform guards against callers that return to an isolated
// balancer every other second and wait there until their deadline. The zone and its
// balancers are partitioned for several seconds.
func TestIsolatedFromPlatform(t *testing.T) {
	f := newFixture(11, 12)
	x := f.connect(feeds)
	f.request(x, false)
	for range 20 { // The platform does not answer either.
		f.now = f.now.Add(200 * time.Millisecond)
		f.request(x, true)
	}
	for range 5 {
		assert.True(t, f.router.Isolated(f.now))
		f.now = f.now.Add(time.Second)
	}
	f.catalog.RecordAnswer(f.now, 0)
	assert.False(t, f.router.Isolated(f.now), "the partition has ended")
	f.now = f.now.Add(6 * time.Second)
	assert.False(t, f.router.Isolated(f.now), "the balancer accepts callers again")
}

// TestNoAllocations guards against allocations for each packet.
func TestNoAllocations(t *testing.T) {
	f := newFixture(11, 12, 21)
	x := f.connect(feeds)
	n := testing.AllocsPerRun(1000, func() {
		f.request(x, false)
		f.answer(x)
	})
	assert.Zero(t, n)
}

// TestReusedPort guards against requests that count as open forever when a caller
// reuses its port for a flow to another upstream.
func TestReusedPort(t *testing.T) {
	f := newFixture(11, 12)
	x := f.connect(feeds)
	f.request(x, false)
	before := x.upstream
	x.upstream = 23 - before
	x.token = bvcatalog.TokenOf(x.upstream)
	f.request(x, false)
	assert.Zero(t, f.router.targets[before].load.open)
	assert.Equal(t, 1, f.router.targets[x.upstream].load.open)
	f.answer(x)
	assert.Zero(t, f.router.targets[x.upstream].load.open)
	f.request(x, false)
	before = x.upstream
	x.upstream = 23 - before
	x.token = bvcatalog.TokenOf(x.upstream)
	f.answer(x) // Of the flow before, or the first packet of the new one.
	assert.Zero(t, f.router.targets[before].load.open)
}

// TestBoundedMemory guards against memory that grows with openings and
// requests that are never answered.
func TestBoundedMemory(t *testing.T) {
	f := newFixture(11, 12)
	f.router = New(Options{Zone: "zone-a", MaxPending: 64}, f.catalog)
	for range 1000 {
		x := f.newFlow(feeds)
		f.open(x)
		f.request(x, false)
		f.open(f.newFlow(feeds))
	}
	pending := &f.router.pending
	assert.LessOrEqual(t, len(pending.known.openings), 64)
	assert.LessOrEqual(t, len(pending.unknown.openings), 64)
	assert.LessOrEqual(t, len(f.router.requests.open), 64)
	open := 0
	for _, t := range f.router.targets {
		open += t.load.open
	}
	assert.Equal(t, len(f.router.requests.open), open)
	f.advance(10 * time.Second)
	f.open(f.newFlow(feeds))
	assert.Empty(t, f.router.requests.open)
	assert.Len(t, pending.known.openings, 1)
	assert.Empty(t, pending.unknown.openings)
}
