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

// TestEvenLoad guards against upstreams of the own zone that get much more
// than others: pattern of long flows with a request a second beside a flow for
// each ticket.
func TestEvenLoad(t *testing.T) {
	f := newFixture(11, 12, 13, 21, 22)
	counts := map[bvconfig.UpstreamID]int{}
	var long []*flow
	for range 60 {
		x := f.connect(feeds)
		long = append(long, x)
		f.pass(20 * time.Millisecond)
	}
	for range 20 {
		for _, x := range long {
			counts[f.request(x, false).Upstream]++
			y := f.connect(tickets)
			counts[f.request(y, false).Upstream]++
			f.pass(5 * time.Millisecond)
			f.answer(x)
			f.answer(y)
		}
	}
	for _, id := range []bvconfig.UpstreamID{11, 12, 13} {
		assert.InDelta(t, 800, counts[id], 80, "upstream %d", id)
	}
	assert.Zero(t, counts[21]+counts[22], "the own zone has room")
}

// TestRepeatedOpening guards against a caller that is sent to the same silent
// upstream again with each copy of its opening.
func TestRepeatedOpening(t *testing.T) {
	f := newFixture(11, 12, 13)
	x := f.caller(feeds)
	first := f.open(x)
	f.pass(200 * time.Millisecond)
	second := f.open(x)
	f.pass(400 * time.Millisecond)
	third := f.open(x)
	assert.Equal(t, ReasonPlacedAgain, second.Reason)
	assert.NotEqual(t, first.Upstream, second.Upstream)
	assert.NotEqual(t, second.Upstream, third.Upstream)
}

// TestSilentIsLeftOut guards against new flows that wait for a copy of their
// opening, one after the other, at an upstream that crashed silently.
func TestSilentIsLeftOut(t *testing.T) {
	f := newFixture(11, 12, 13)
	slow := 0
	for range 200 {
		x := f.caller(tickets)
		d := f.open(x)
		f.pass(10 * time.Millisecond)
		if d.Upstream != 11 {
			f.request(x, false)
			f.answer(x)
			continue
		}
		slow++
		f.pass(190 * time.Millisecond)
		if d := f.open(x); d.Upstream != 11 {
			f.request(x, false)
			f.answer(x)
		}
	}
	assert.LessOrEqual(t, slow, 5, "two for the finding and one for each trial, 1 s, 2 s and 4 s later")
	// The upstream is back: the next trial shows it.
	f.pass(5 * time.Second)
	back := 0
	for range 100 {
		x := f.connect(tickets)
		f.request(x, false)
		f.answer(x)
		f.pass(10 * time.Millisecond)
		if x.upstream == 11 {
			back++
		}
	}
	assert.Greater(t, back, 20)
}

// TestAllSilent guards against the end of service when all upstreams seem
// silent, which is more likely a fault of this balancer's links.
func TestAllSilent(t *testing.T) {
	f := newFixture(11, 12)
	var d Decision
	for range 20 {
		x := f.caller(tickets)
		f.open(x)
		f.pass(200 * time.Millisecond)
		d = f.open(x)
	}
	assert.Equal(t, VerdictForward, d.Verdict)
	assert.Equal(t, ReasonPlacedSilent, d.Reason)
}

// TestZoneShortOfUpstreams guards against a zone that keeps all its flows when
// one upstream of three is left: pattern of upstreams that crash in one zone
// while other zones have room.
func TestZoneShortOfUpstreams(t *testing.T) {
	f := newFixture(11, 12, 13, 21, 22, 23, 31, 32, 33)
	f.gone(12)
	f.gone(13)
	share := func(latency func(bvconfig.UpstreamID) time.Duration) float64 {
		type open struct {
			flow *flow
			at   time.Time
		}
		var waiting []open
		farther := 0
		const flows = 400
		for range flows {
			x := f.caller(tickets)
			f.open(x)
			f.request(x, false)
			if x.upstream != 11 {
				farther++
			}
			waiting = append(waiting, open{x, f.now.Add(latency(x.upstream))})
			f.pass(50 * time.Millisecond)
			for len(waiting) > 0 && !waiting[0].at.After(f.now) {
				f.answer(waiting[0].flow)
				waiting = waiting[1:]
			}
		}
		return float64(farther) / flows
	}
	usual := func(bvconfig.UpstreamID) time.Duration { return 60 * time.Millisecond }
	assert.Less(t, share(usual), 0.1, "the upstream in the own zone is quick")
	f.pass(10 * time.Second)
	overloaded := func(u bvconfig.UpstreamID) time.Duration {
		if u == 11 {
			return 400 * time.Millisecond
		}
		return 60 * time.Millisecond
	}
	assert.Greater(t, share(overloaded), 0.5, "the upstream in the own zone is overloaded")
}

// TestGreyUpstream guards against an upstream that keeps its share of new flows
// although it leaves most of its requests without an answer: pattern of a
// balancer that sends each of many upstreams less than a request a second, of
// which one hangs or drops requests while it answers openings.
func TestGreyUpstream(t *testing.T) {
	const upstreams, flows = 30, 3000
	for _, says := range []bool{true, false} {
		var ids []bvconfig.UpstreamID
		for i := range upstreams {
			ids = append(ids, bvconfig.UpstreamID(1040+26*10*i)) // All in zone-a.
		}
		f := newFixture(ids...)
		n := 0
		var hanging []*flow
		for i := range flows {
			x := f.caller(tickets)
			f.open(x)
			f.request(x, false)
			if x.upstream == ids[0] && i >= flows/2 {
				n++
			}
			f.pass(60 * time.Millisecond)
			if x.upstream == ids[0] && i%10 != 0 {
				hanging = append(hanging, x)
			} else {
				f.answer(x)
			}
			if says && len(hanging) > 2 { // The caller gives up.
				f.router.Route(f.now, hanging[0].packet(bvflow.PhaseClosing, 0))
				hanging = hanging[1:]
			}
		}
		assert.Less(t, n, flows/2/upstreams/2, "half of the even share; callers say that they give up: %t", says)
		assert.Positive(t, n, "it is tried again")
	}
}

// TestNoUpstreamInZone guards against refusals while another zone can serve.
func TestNoUpstreamInZone(t *testing.T) {
	f := newFixture(21, 22)
	d := f.open(f.caller(feeds))
	assert.Equal(t, VerdictForward, d.Verdict)
	assert.Equal(t, ReasonPlacedFarther, d.Reason)
}

// TestColdBudget guards against cold upstreams that get more than they bear:
// pattern of a zone that comes back with all its upstreams cold while the
// balancers of all zones are busy. The bound holds over all balancers.
func TestColdBudget(t *testing.T) {
	const (
		balancers = 4
		rate      = 12.0
		factor    = 1.5
		slack     = 5.0
	)
	f := newFixture(11, 21)
	f.apply(bvcatalog.Configuration{
		Version: 2,
		Routes:  []bvcatalog.Route{{Address: feeds, Backends: []bvcatalog.Backend{{Service: "desk", Weight: 1}}}},
		Services: []bvcatalog.ServiceLimits{{
			Name: "desk", ColdFor: 4 * time.Second, ColdFlowsPerSecond: rate,
		}},
	})
	for _, id := range []bvconfig.UpstreamID{11, 21} {
		f.change(id, func(u *bvcatalog.Upstream) { u.ColdFor = 4 * time.Second })
	}
	var routers []*Router
	for i := range balancers {
		routers = append(routers, New(Options{
			Zone: []string{"zone-a", "zone-b"}[i%2], ColdBalancers: balancers, ColdFactor: factor, ColdSlack: slack,
		}, f.catalog))
	}
	taken := map[bvconfig.UpstreamID][]time.Time{}
	refused := 0
	for range 380 {
		for _, r := range routers {
			x := f.caller(feeds)
			f.router = r
			if d := f.open(x); d.Verdict == VerdictForward {
				taken[d.Upstream] = append(taken[d.Upstream], f.now)
				f.request(x, false)
				f.answer(x)
			} else {
				assert.Equal(t, ReasonColdBudget, d.Reason)
				refused++
			}
		}
		f.pass(10 * time.Millisecond)
	}
	assert.Positive(t, refused)
	for id, at := range taken {
		assert.GreaterOrEqual(t, len(at), 20, "upstream %d gets some", id)
		for i := range at {
			j := i
			for j < len(at) && at[j].Sub(at[i]) < time.Second {
				j++
			}
			require.LessOrEqual(t, float64(j-i), rate*factor+slack, "upstream %d in the second from %s", id, at[i].Sub(start))
		}
	}
	f.pass(time.Second)
	assert.Equal(t, VerdictForward, f.open(f.caller(feeds)).Verdict, "warm upstreams take all")
}

// TestColdWithoutShare guards against a budget that is exceeded because each
// balancer's share of it is below one flow.
func TestColdWithoutShare(t *testing.T) {
	f := newFixture(11, 12)
	f.change(11, func(u *bvcatalog.Upstream) { u.ColdFor = 2 * time.Second })
	f.router = New(Options{Zone: "zone-a", ColdBalancers: 8, ColdSlack: 5}, f.catalog)
	for range 150 {
		require.EqualValues(t, 12, f.open(f.caller(feeds)).Upstream)
		f.pass(10 * time.Millisecond)
	}
}

// TestWeights guards against splits that differ from the weights of a route,
// or between balancers.
func TestWeights(t *testing.T) {
	f := newFixture(11)
	f.change(11, func(u *bvcatalog.Upstream) { u.Service = "new" })
	f.apply(f.entry(12), bvcatalog.Configuration{Version: 2, Routes: []bvcatalog.Route{{
		Address: feeds, Backends: []bvcatalog.Backend{{Service: "desk", Weight: 90}, {Service: "new", Weight: 10}},
	}}})
	other := New(Options{Zone: "zone-b"}, f.catalog)
	n := 0
	for range 5000 {
		x := f.caller(feeds)
		d := f.open(x)
		e := other.Route(f.now, Packet{Packet: bvflow.Packet{Tuple: x.tuple, Phase: bvflow.PhaseOpening}})
		require.Equal(t, d.Upstream, e.Upstream)
		if d.Upstream == 11 {
			n++
		}
	}
	assert.InDelta(t, 500, n, 90)
}

// TestNoRefusalBeforeSettled guards against refusals, which use up the tries of
// callers within milliseconds, while upstreams are only not registered again:
// pattern of a balancer that starts when the platform comes back and all
// entries have expired.
func TestNoRefusalBeforeSettled(t *testing.T) {
	f := newStartingFixture() // No upstream yet.
	f.pass(time.Second)
	x := f.caller(feeds)
	d := f.open(x)
	assert.Equal(t, VerdictDrop, d.Verdict)
	assert.Equal(t, ReasonNoUpstream, d.Reason)
	f.apply(f.entry(11))
	assert.Equal(t, VerdictForward, f.open(x).Verdict, "the next copy of the opening")

	f = newStartingFixture(11)
	f.change(11, func(u *bvcatalog.Upstream) { u.ColdFor = 2 * time.Second })
	assert.Equal(t, VerdictDrop, f.open(f.caller(feeds)).Verdict, "the only one so far is cold")

	f = newFixture()
	assert.Equal(t, VerdictReset, f.open(f.caller(feeds)).Verdict, "live upstreams would have registered")
	f.apply(f.entry(11))
	f.pass(time.Second)
	f.gone(11)
	assert.Equal(t, VerdictReset, f.open(f.caller(feeds)).Verdict, "the upstream has left")
	f.now = f.now.Add(10 * time.Second) // The platform does not answer.
	f.pass(time.Second)
	assert.Equal(t, VerdictDrop, f.open(f.caller(feeds)).Verdict, "it has just come back")
}

// TestFirstRegisteredIsNotOverloaded guards against the load of a whole service
// on the upstreams that register first: pattern of callers who have waited for
// an outage of the platform and all balancers, while upstreams register again
// over the next two seconds.
func TestFirstRegisteredIsNotOverloaded(t *testing.T) {
	f := newStartingFixture(11)
	slots := int(upstream(11).Slots)
	at := map[bvconfig.UpstreamID]int{}
	var waiting []*flow
	for range 100 {
		x := f.caller(feeds)
		switch d := f.open(x); d.Verdict {
		case VerdictForward:
			at[d.Upstream]++
			f.request(x, false)
		case VerdictDrop:
			assert.Equal(t, ReasonBusy, d.Reason)
			waiting = append(waiting, x)
		case VerdictReset:
			t.Fatal("refused, though other upstreams may register")
		}
		f.now = f.now.Add(time.Millisecond)
	}
	assert.Equal(t, slots, at[11], "requests that wait at the only upstream")
	f.apply(f.entry(12), f.entry(13))
	for _, x := range waiting {
		if d := f.open(x); d.Verdict == VerdictForward {
			at[d.Upstream]++
			f.request(x, false)
		}
	}
	assert.Equal(t, map[bvconfig.UpstreamID]int{11: slots, 12: slots, 13: slots}, at)
	f.pass(3 * time.Second)
	assert.Equal(t, VerdictForward, f.open(f.caller(feeds)).Verdict, "these are all; what is too much they refuse")
}
