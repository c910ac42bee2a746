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

// TestFlowStays guards against open flows that move when balancers restart or
// the set of upstreams changes in any planned way.
func TestFlowStays(t *testing.T) {
	tests := map[string]func(f *fixture, u bvconfig.UpstreamID){
		"nothing changes":   func(*fixture, bvconfig.UpstreamID) {},
		"balancer restarts": func(f *fixture, _ bvconfig.UpstreamID) { f.router = New(Options{Zone: "zone-b"}, f.catalog) },
		"upstreams join":    func(f *fixture, _ bvconfig.UpstreamID) { f.apply(f.entry(13), f.entry(14), f.entry(23)) },
		"its upstream drains": func(f *fixture, u bvconfig.UpstreamID) {
			f.change(u, func(u *bvcatalog.Upstream) { u.Draining = true })
		},
		"its zone is evacuated": func(f *fixture, _ bvconfig.UpstreamID) { f.apply(bvcatalog.ZoneOutOfService{Zone: "zone-a"}) },
		"its entry is spoiled": func(f *fixture, u bvconfig.UpstreamID) {
			f.apply(bvcatalog.UpstreamUnreadable{Revision: f.revision + 1, ID: u})
		},
		"its route goes to another service": func(f *fixture, _ bvconfig.UpstreamID) {
			f.apply(bvcatalog.Configuration{Version: 2, Routes: []bvcatalog.Route{
				{Address: feeds, Backends: []bvcatalog.Backend{{Service: "vault", Weight: 1}}},
			}})
		},
		"platform is out of reach": func(f *fixture, _ bvconfig.UpstreamID) { f.now = f.now.Add(time.Hour) },
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

// TestNoNewFlow guards against new flows to upstreams that are to get none.
func TestNoNewFlow(t *testing.T) {
	tests := map[string]func(f *fixture){
		"draining": func(f *fixture) { f.change(11, func(u *bvcatalog.Upstream) { u.Draining = true }) },
		"evacuated": func(f *fixture) {
			f.change(11, func(u *bvcatalog.Upstream) { u.Zone = "zone-c" })
			f.apply(bvcatalog.ZoneOutOfService{Zone: "zone-c"})
		},
		"unreadable": func(f *fixture) { f.apply(bvcatalog.UpstreamUnreadable{Revision: f.revision + 1, ID: 11}) },
		"gone":       func(f *fixture) { f.gone(11) },
		"of another service": func(f *fixture) {
			f.change(11, func(u *bvcatalog.Upstream) { u.Service = "vault" })
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(11, 12, 21)
			change(f)
			for range 100 {
				d := f.open(f.caller(feeds))
				require.Equal(t, VerdictForward, d.Verdict)
				require.NotEqual(t, bvconfig.UpstreamID(11), d.Upstream)
			}
		})
	}
}

// TestRefusals guards against callers that wait for what cannot be served, and
// against refusals by a balancer that may only lack the news.
func TestRefusals(t *testing.T) {
	stale := func(f *fixture) { f.now = f.now.Add(4 * time.Second) }
	tests := []struct {
		name    string
		prepare func(f *fixture)
		send    func(f *fixture) Decision
		verdict Verdict
		reason  Reason
	}{
		{"no route", nil, func(f *fixture) Decision { return f.open(f.caller(unknown)) }, VerdictReset, ReasonNoRoute},
		{"no route, old catalog", stale, func(f *fixture) Decision { return f.open(f.caller(unknown)) }, VerdictDrop, ReasonNoRoute},
		{"no upstream", func(f *fixture) { f.gone(11); f.gone(12) }, func(f *fixture) Decision { return f.open(f.caller(feeds)) }, VerdictReset, ReasonNoUpstream},
		{"no upstream, old catalog", func(f *fixture) { f.gone(11); f.gone(12); stale(f) }, func(f *fixture) Decision { return f.open(f.caller(feeds)) }, VerdictReset, ReasonNoUpstream},
		{"upstream has left", nil, func(f *fixture) Decision { x := f.connect(tickets); f.gone(x.upstream); return f.request(x, false) }, VerdictReset, ReasonUpstreamGone},
		{"reset of a flow whose upstream has left", nil, func(f *fixture) Decision {
			x := f.connect(tickets)
			f.gone(x.upstream)
			return f.router.Route(f.now, x.packet(bvflow.PhaseReset, 0))
		}, VerdictDrop, ReasonUpstreamGone},
		{"route was removed", nil, func(f *fixture) Decision {
			x := f.connect(feeds)
			f.apply(bvcatalog.Configuration{Version: 2})
			return f.request(x, false)
		}, VerdictReset, ReasonNoRoute},
		{"token is not known", nil, func(f *fixture) Decision {
			x := f.connect(feeds)
			x.token = 999
			return f.request(x, false)
		}, VerdictDrop, ReasonUnknownToken},
		{"no token", nil, func(f *fixture) Decision { return f.request(f.caller(feeds), false) }, VerdictDrop, ReasonNoToken},
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
	x := newFixture(11).caller(feeds)
	d := empty.Route(start, Packet{Packet: bvflow.Packet{Tuple: x.tuple, Phase: bvflow.PhaseOpening}})
	assert.Equal(t, ReasonIncomplete, d.Reason)
}

// TestUnknownToken guards against callers that wait until their deadline for
// an upstream that left before this balancer started, against resets of flows
// at an upstream that only this balancer has not heard of, and against resets
// while entries may be missing.
func TestUnknownToken(t *testing.T) {
	f := newStartingFixture(11, 12)
	stray := func(id bvconfig.UpstreamID) *flow {
		x := f.caller(feeds)
		x.token = bvcatalog.TokenOf(id)
		return x
	}
	left, news := stray(31), stray(32)
	assert.Equal(t, VerdictDrop, f.request(left, false).Verdict)
	f.pass(time.Second)
	assert.Equal(t, VerdictDrop, f.request(left, true).Verdict, "entries may be missing right after the start")
	f.pass(3 * time.Second)
	d := f.request(left, true)
	assert.Equal(t, VerdictReset, d.Verdict)
	assert.Equal(t, ReasonUnknownToken, d.Reason)

	assert.Equal(t, VerdictDrop, f.request(news, false).Verdict)
	assert.Equal(t, VerdictDrop, f.request(news, true).Verdict, "nothing was confirmed since")
	f.apply(f.entry(32))
	assert.Equal(t, VerdictForward, f.request(news, true).Verdict)

	spoiled := stray(33)
	f.apply(bvcatalog.UpstreamUnreadable{Revision: f.revision + 1, ID: 33})
	for range 5 {
		assert.Equal(t, VerdictDrop, f.request(spoiled, false).Verdict, "the upstream may live")
		f.pass(time.Second)
	}
	for i := range 3 * maxUnknowns {
		f.request(stray(bvconfig.UpstreamID(1000+i)), false)
	}
	assert.LessOrEqual(t, len(f.router.unknowns), maxUnknowns)
}

// TestResetSequence guards against resets that the caller ignores: they carry
// the number that it has acknowledged.
func TestResetSequence(t *testing.T) {
	f := newFixture(11)
	x := f.connect(feeds)
	f.gone(11)
	x.acked = 70_000
	assert.EqualValues(t, 70_000, f.request(x, false).Sequence)
}

// TestSilentUpstream guards against requests that wait until their deadline at
// an upstream that crashed silently while its entry is still listed: pattern
// of several upstreams of a service that fall silent at once.
func TestSilentUpstream(t *testing.T) {
	tests := []struct {
		name    string
		to      func() *flow
		others  bool // Another upstream answers meanwhile.
		repeats int
		every   time.Duration
		reset   bool
	}{
		{name: "idempotent, repeated", others: true, repeats: 3, every: 200 * time.Millisecond, reset: true},
		{name: "repeated only twice", others: true, repeats: 2, every: 400 * time.Millisecond},
		{name: "repeated in one moment", others: true, repeats: 5, every: 50 * time.Millisecond},
		{name: "no upstream answers", repeats: 5, every: 200 * time.Millisecond},
	}
	for _, tt := range tests {
		for _, idempotent := range []bool{true, false} {
			f := newFixture(11, 12)
			to := tickets
			if idempotent {
				to = feeds
			}
			silent := f.connect(to)
			other := f.connect(to)
			for other.upstream == silent.upstream {
				other = f.connect(to)
			}
			f.request(silent, false)
			var d Decision
			for range tt.repeats {
				f.pass(tt.every)
				if tt.others {
					f.request(other, false)
					f.answer(other)
				}
				d = f.request(silent, true)
			}
			want := VerdictForward
			if tt.reset && idempotent {
				want = VerdictReset
			}
			assert.Equal(t, want, d.Verdict, "%s, idempotent %t", tt.name, idempotent)
		}
	}
}

// TestSilentZone guards against resets of flows whose upstream lives in a zone
// that this balancer cannot reach, while other balancers can: pattern of two
// zones that are cut off from each other while a third one reaches both.
func TestSilentZone(t *testing.T) {
	tests := []struct {
		name          string
		silent, other bvconfig.UpstreamID
		want          Verdict
	}{
		{"upstream in another zone, own zone answers", 21, 11, VerdictForward},
		{"upstream in the own zone, another zone answers", 11, 21, VerdictForward},
		{"upstream in the own zone, own zone answers", 11, 12, VerdictReset},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(tt.silent, tt.other)
			at := func(id bvconfig.UpstreamID) *flow {
				x := f.caller(feeds)
				x.token, x.upstream = bvcatalog.TokenOf(id), id
				return x
			}
			silent, other := at(tt.silent), at(tt.other)
			f.request(silent, false)
			var d Decision
			for range 6 {
				f.pass(200 * time.Millisecond)
				f.request(other, false)
				f.answer(other)
				d = f.request(silent, true)
			}
			assert.Equal(t, tt.want, d.Verdict)
		})
	}
}

// TestSignOfLife guards against resets of flows at an upstream that answers
// others: packets are lost now and then.
func TestSignOfLife(t *testing.T) {
	f := newFixture(11)
	lossy, other := f.connect(feeds), f.connect(feeds)
	f.request(lossy, false)
	for range 20 {
		f.pass(200 * time.Millisecond)
		f.request(other, false)
		f.answer(other)
		require.Equal(t, VerdictForward, f.request(lossy, true).Verdict)
	}
}

// TestIsolated guards against a balancer that keeps callers although it
// reaches no upstream, and against one that withdraws for a single dead one.
func TestIsolated(t *testing.T) {
	f := newFixture(11, 12)
	x, y := f.connect(feeds), f.connect(feeds)
	for y.upstream == x.upstream {
		y = f.connect(feeds)
	}
	f.request(x, false)
	for range 5 {
		f.pass(200 * time.Millisecond)
		f.request(x, true)
		f.request(y, false)
		f.answer(y)
	}
	assert.False(t, f.router.Isolated(f.now), "another upstream answers")
	f.request(y, false)
	for range 5 {
		f.pass(200 * time.Millisecond)
		f.request(y, true)
	}
	assert.True(t, f.router.Isolated(f.now))
	f.pass(3 * time.Second)
	assert.False(t, f.router.Isolated(f.now), "the balancer offers itself again")
}

// TestCutOff guards against callers that come back to a balancer every other
// second and wait there for their deadline: pattern of a zone that is cut off
// with its balancers for several seconds.
func TestCutOff(t *testing.T) {
	f := newFixture(11, 12)
	x := f.connect(feeds)
	f.request(x, false)
	for range 20 { // The platform is silent as well.
		f.now = f.now.Add(200 * time.Millisecond)
		f.request(x, true)
	}
	for range 5 {
		assert.True(t, f.router.Isolated(f.now))
		f.now = f.now.Add(time.Second)
	}
	f.catalog.Answered(f.now, 0)
	assert.False(t, f.router.Isolated(f.now), "the cut has ended")
	f.now = f.now.Add(6 * time.Second)
	assert.False(t, f.router.Isolated(f.now), "the balancer offers itself again")
}

// TestNothingAllocated guards against garbage for each packet.
func TestNothingAllocated(t *testing.T) {
	f := newFixture(11, 12, 21)
	x := f.connect(feeds)
	n := testing.AllocsPerRun(1000, func() {
		f.request(x, false)
		f.answer(x)
	})
	assert.Zero(t, n)
}

// TestReusedPort guards against requests that count as open for ever when a
// caller uses its port again for a flow at another upstream.
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
}

// TestBoundedMemory guards against memory that grows with openings and
// requests that are never answered.
func TestBoundedMemory(t *testing.T) {
	f := newFixture(11, 12)
	f.router = New(Options{Zone: "zone-a", MaxPending: 64}, f.catalog)
	for range 1000 {
		x := f.caller(feeds)
		f.open(x)
		f.request(x, false)
		f.open(f.caller(feeds))
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
	f.pass(10 * time.Second)
	f.open(f.caller(feeds))
	assert.Empty(t, f.router.requests.open)
	assert.Len(t, pending.known.openings, 1)
	assert.Empty(t, pending.unknown.openings)
}
