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

// TestEvenLoad guards against upstreams of the own zone that receive much more than
// others when long flows with a request per second mix with flows of one request
// each.
func TestEvenLoad(t *testing.T) {
	f := newFixture(11, 12, 13, 21, 22)
	counts := map[bvconfig.UpstreamID]int{}
	var long []*flow
	for range 60 {
		x := f.connect(feeds)
		long = append(long, x)
		f.advance(20 * time.Millisecond)
	}
	for range 20 {
		for _, x := range long {
			counts[f.request(x, false).Upstream]++
			y := f.connect(tickets)
			counts[f.request(y, false).Upstream]++
			f.advance(5 * time.Millisecond)
			f.answer(x)
			f.answer(y)
		}
	}
	for _, id := range []bvconfig.UpstreamID{11, 12, 13} {
		assert.InDelta(t, 800, counts[id], 80, "upstream %d", id)
	}
	assert.Zero(t, counts[21]+counts[22], "the own zone has capacity")
}

// TestRepeatedOpening guards against sending each retransmission of an opening to
// the same unresponsive upstream.
func TestRepeatedOpening(t *testing.T) {
	f := newFixture(11, 12, 13)
	x := f.newFlow(feeds)
	first := f.open(x)
	f.advance(200 * time.Millisecond)
	second := f.open(x)
	f.advance(400 * time.Millisecond)
	third := f.open(x)
	assert.Equal(t, ReasonPlacedAgain, second.Reason)
	assert.NotEqual(t, first.Upstream, second.Upstream)
	assert.NotEqual(t, second.Upstream, third.Upstream)
}

// TestUnresponsiveUpstreamEjected guards against new flows that one after the other
// have to retransmit their opening at an upstream that has crashed without resets.
func TestUnresponsiveUpstreamEjected(t *testing.T) {
	f := newFixture(11, 12, 13)
	slow := 0
	for range 200 {
		x := f.newFlow(tickets)
		d := f.open(x)
		f.advance(10 * time.Millisecond)
		if d.Upstream != 11 {
			f.request(x, false)
			f.answer(x)
			continue
		}
		slow++
		f.advance(190 * time.Millisecond)
		if d := f.open(x); d.Upstream != 11 {
			f.request(x, false)
			f.answer(x)
		}
	}
	assert.LessOrEqual(t, slow, 5, "two until ejection and one for each retry, 1 s, 2 s and 4 s later")
	// The upstream has recovered: the next retry shows it.
	f.advance(5 * time.Second)
	back := 0
	for range 100 {
		x := f.connect(tickets)
		f.request(x, false)
		f.answer(x)
		f.advance(10 * time.Millisecond)
		if x.upstream == 11 {
			back++
		}
	}
	assert.Greater(t, back, 20)
}

// TestAllUpstreamsUnresponsive guards against an outage of the service when no
// upstream answers, which is more likely a fault of this balancer's links.
func TestAllUpstreamsUnresponsive(t *testing.T) {
	f := newFixture(11, 12)
	var d Decision
	for range 20 {
		x := f.newFlow(tickets)
		f.open(x)
		f.advance(200 * time.Millisecond)
		d = f.open(x)
	}
	assert.Equal(t, VerdictForward, d.Verdict)
	assert.Equal(t, ReasonPlacedSilent, d.Reason)
}

// TestZoneShortOfUpstreams guards against a zone that keeps all its flows after
// crashes have left it one upstream of three, while other zones have capacity.
func TestZoneShortOfUpstreams(t *testing.T) {
	f := newFixture(11, 12, 13, 21, 22, 23, 31, 32, 33)
	f.remove(12)
	f.remove(13)
	share := func(latency func(bvconfig.UpstreamID) time.Duration) float64 {
		type open struct {
			flow *flow
			at   time.Time
		}
		var waiting []open
		otherZone := 0
		const flows = 400
		for range flows {
			x := f.newFlow(tickets)
			f.open(x)
			f.request(x, false)
			if x.upstream != 11 {
				otherZone++
			}
			waiting = append(waiting, open{x, f.now.Add(latency(x.upstream))})
			f.advance(50 * time.Millisecond)
			for len(waiting) > 0 && !waiting[0].at.After(f.now) {
				f.answer(waiting[0].flow)
				waiting = waiting[1:]
			}
		}
		return float64(otherZone) / flows
	}
	usual := func(bvconfig.UpstreamID) time.Duration { return 60 * time.Millisecond }
	assert.Less(t, share(usual), 0.1, "the upstream in the own zone is fast")
	f.advance(10 * time.Second)
	overloaded := func(u bvconfig.UpstreamID) time.Duration {
		if u == 11 {
			return 400 * time.Millisecond
		}
		return 60 * time.Millisecond
	}
	assert.Greater(t, share(overloaded), 0.5, "the upstream in the own zone is overloaded")
}

// TestGrayFailure guards against an upstream that keeps its share of new flows
// although it leaves most of its requests unanswered. The balancer sends each of
// many upstreams less than a request per second, and one hangs or drops requests
// while it answers openings.
func TestGrayFailure(t *testing.T) {
	const upstreams, flows = 30, 3000
	for _, closes := range []bool{true, false} {
		var ids []bvconfig.UpstreamID
		for i := range upstreams {
			ids = append(ids, bvconfig.UpstreamID(1040+26*10*i)) // All in zone-a.
		}
		f := newFixture(ids...)
		n := 0
		var hanging []*flow
		for i := range flows {
			x := f.newFlow(tickets)
			f.open(x)
			f.request(x, false)
			if x.upstream == ids[0] && i >= flows/2 {
				n++
			}
			f.advance(60 * time.Millisecond)
			if x.upstream == ids[0] && i%10 != 0 {
				hanging = append(hanging, x)
			} else {
				f.answer(x)
			}
			if closes && len(hanging) > 2 { // The caller closes the flow.
				f.route(hanging[0].packet(bvflow.PhaseClosing, 0))
				hanging = hanging[1:]
			}
		}
		assert.Less(t, n, flows/2/upstreams/2, "half of the even share; callers close abandoned flows: %t", closes)
		assert.Positive(t, n, "it is tried again")
	}
}

// TestNoUpstreamInZone guards against refusals while another zone can serve.
func TestNoUpstreamInZone(t *testing.T) {
	f := newFixture(21, 22)
	d := f.open(f.newFlow(feeds))
	assert.Equal(t, VerdictForward, d.Verdict)
	assert.Equal(t, ReasonPlacedFarther, d.Reason)
}

// TestColdBudget guards against cold upstreams that receive more flows than their
// budget, as when all upstreams of a zone return cold while the balancers of all
// zones are busy. The bound holds over all balancers.
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
	placedAt := map[bvconfig.UpstreamID][]time.Time{}
	refused := 0
	for range 380 {
		for _, r := range routers {
			x := f.newFlow(feeds)
			f.router = r
			if d := f.open(x); d.Verdict == VerdictForward {
				placedAt[d.Upstream] = append(placedAt[d.Upstream], f.now)
				f.request(x, false)
				f.answer(x)
			} else {
				assert.Equal(t, ReasonColdBudget, d.Reason)
				refused++
			}
		}
		f.advance(10 * time.Millisecond)
	}
	assert.Positive(t, refused)
	for id, at := range placedAt {
		assert.GreaterOrEqual(t, len(at), 20, "upstream %d gets some", id)
		for i := range at {
			j := i
			for j < len(at) && at[j].Sub(at[i]) < time.Second {
				j++
			}
			require.LessOrEqual(t, float64(j-i), rate*factor+slack, "upstream %d in the second from %s", id, at[i].Sub(start))
		}
	}
	f.advance(time.Second)
	assert.Equal(t, VerdictForward, f.open(f.newFlow(feeds)).Verdict, "warm upstreams have no bound")
}

// TestColdWithoutShare guards against exceeding the budget when each balancer's
// share of it is below one flow.
func TestColdWithoutShare(t *testing.T) {
	f := newFixture(11, 12)
	f.change(11, func(u *bvcatalog.Upstream) { u.ColdFor = 2 * time.Second })
	f.router = New(Options{Zone: "zone-a", ColdBalancers: 8, ColdSlack: 5}, f.catalog)
	for range 150 {
		require.EqualValues(t, 12, f.open(f.newFlow(feeds)).Upstream)
		f.advance(10 * time.Millisecond)
	}
}

// TestWeights guards against splits that differ from a route's weights or between
// balancers.
func TestWeights(t *testing.T) {
	f := newFixture(11)
	f.change(11, func(u *bvcatalog.Upstream) { u.Service = "new" })
	f.apply(f.entry(12), bvcatalog.Configuration{Version: 2, Routes: []bvcatalog.Route{{
		Address: feeds, Backends: []bvcatalog.Backend{{Service: "desk", Weight: 90}, {Service: "new", Weight: 10}},
	}}})
	other := New(Options{Zone: "zone-b"}, f.catalog)
	n := 0
	for range 5000 {
		x := f.newFlow(feeds)
		d := f.open(x)
		e := other.Route(f.now, Packet{Packet: bvflow.Packet{Tuple: x.tuple, Phase: bvflow.PhaseOpening}})
		require.Equal(t, d.Upstream, e.Upstream)
		if d.Upstream == 11 {
			n++
		}
	}
	assert.InDelta(t, 500, n, 90)
}

// TestNoRefusalInGracePeriod guards against refusals, which use up callers' tries
// within milliseconds, while upstreams have not registered again yet. This happens
// when a balancer starts as the platform recovers and all entries have expired.
func TestNoRefusalInGracePeriod(t *testing.T) {
	f := newStartingFixture() // No upstream yet.
	f.advance(time.Second)
	x := f.newFlow(feeds)
	d := f.open(x)
	assert.Equal(t, VerdictDrop, d.Verdict)
	assert.Equal(t, ReasonNoUpstream, d.Reason)
	f.apply(f.entry(11))
	assert.Equal(t, VerdictForward, f.open(x).Verdict, "the next retransmission")

	f = newStartingFixture(11)
	f.change(11, func(u *bvcatalog.Upstream) { u.ColdFor = 2 * time.Second })
	assert.Equal(t, VerdictDrop, f.open(f.newFlow(feeds)).Verdict, "the only one so far is cold")

	f = newFixture()
	assert.Equal(t, VerdictReset, f.open(f.newFlow(feeds)).Verdict, "live upstreams would have registered")
	f.apply(f.entry(11))
	f.advance(time.Second)
	f.remove(11)
	assert.Equal(t, VerdictReset, f.open(f.newFlow(feeds)).Verdict, "the upstream was removed")
	f.now = f.now.Add(10 * time.Second) // The platform does not answer.
	f.advance(time.Second)
	assert.Equal(t, VerdictDrop, f.open(f.newFlow(feeds)).Verdict, "the platform has just recovered")
}

// TestFirstRegisteredIsNotOverloaded guards against the load of a whole service
// falling on the upstreams that register first. Callers have waited during an outage
// of the platform and all balancers, and upstreams register again over the next two
// seconds.
func TestFirstRegisteredIsNotOverloaded(t *testing.T) {
	f := newStartingFixture(11)
	slots := int(upstream(11).Slots)
	at := map[bvconfig.UpstreamID]int{}
	var waiting []*flow
	for range 100 {
		x := f.newFlow(feeds)
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
	f.advance(3 * time.Second)
	assert.Equal(t, VerdictForward, f.open(f.newFlow(feeds)).Verdict, "no more upstreams are expected; these refuse excess load themselves")
}
