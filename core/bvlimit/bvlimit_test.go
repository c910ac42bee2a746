package bvlimit

import (
	"flag"
	"math"
	"testing"
	"time"

	"balsamvane/core/bvconfig"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The seed is fixed so that each run draws the same cases.
func init() { _ = flag.Set("rapid.seed", "1") }

var begin = time.Unix(1_000_000, 0)

const step = 10 * time.Millisecond

func upstreams(n int, change func(u *Upstream)) []Upstream {
	us := make([]Upstream, n)
	for i := range us {
		us[i] = Upstream{ID: bvconfig.UpstreamID(i + 1), Service: "s", ColdRate: 2, WarmRate: 40, WarmUp: time.Minute}
		if change != nil {
			change(&us[i])
		}
	}
	return us
}

// zone simulates balancers that place as many flows as their limits allow.
type zone struct {
	now      time.Time
	limiters []*Limiter
	ids      []bvconfig.UpstreamID
	placed   int
	// onPlaced is called for each placed flow.
	onPlaced func(l *Limiter, u bvconfig.UpstreamID)
}

func newZone(o Options, us []Upstream, balancers, published int) *zone {
	z := &zone{now: begin, onPlaced: func(*Limiter, bvconfig.UpstreamID) {}}
	for range balancers {
		l := New(o)
		l.SetUpstreams(z.now, "a", us, published)
		l.SetShareEnabled(true)
		z.limiters = append(z.limiters, l)
	}
	for _, u := range us {
		z.ids = append(z.ids, u.ID)
	}
	return z
}

// setWarm makes all upstreams warm on all balancers.
func (z *zone) setWarm() {
	for _, l := range z.limiters {
		for _, u := range z.ids {
			l.MergeWarmStates(z.now, []WarmState{{Upstream: u, Age: time.Hour}})
		}
	}
}

func (z *zone) run(d time.Duration) (placed int) {
	before := z.placed
	for range int(d / step) {
		z.now = z.now.Add(step)
		for _, l := range z.limiters {
			for _, u := range z.ids {
				for range 3 {
					if l.Admit(z.now, u) {
						l.Opened(z.now, u)
						z.placed++
						z.onPlaced(l, u)
					}
				}
			}
		}
	}
	return z.placed - before
}

// maxFlows returns the flows that one upstream may get in a period of length d
// that begins start after the start of its ramp, with one saved token on each
// balancer.
func maxFlows(start, d time.Duration, balancers int) int {
	rate := func(at time.Duration) float64 { return 2 + 38*min(at.Minutes(), 1) }
	return int((rate(start)+rate(start+d))/2*d.Seconds()) + balancers
}

// TestPromise3Sum guards against balancers that each stay within the limit while
// their sum exceeds it.
func TestPromise3Sum(t *testing.T) {
	run := func(o Options) (flows, open int) {
		z := newZone(o, upstreams(1, nil), 8, 8)
		z.run(20 * time.Second)
		flows = z.run(10 * time.Second)
		z = newZone(o, upstreams(1, func(u *Upstream) { u.ColdRate, u.WarmRate, u.Connections = 0, 0, 2001; u.WarmUp = 0 }), 8, 8)
		return flows, z.run(30 * time.Second)
	}
	flows, open := run(Options{})
	assert.LessOrEqual(t, flows, maxFlows(20*time.Second, 10*time.Second, 8))
	assert.Equal(t, 2000, open)
	flows, open = run(Options{liveBalancers: 1})
	assert.Greater(t, flows, maxFlows(20*time.Second, 10*time.Second, 8))
	assert.Greater(t, open, 2001)
}

// TestPromise3Partition guards against shares that rise on both sides of a
// partition because each side counts only its own balancers.
func TestPromise3Partition(t *testing.T) {
	run := func(o Options) int {
		z := newZone(o, upstreams(1, nil), 8, 8)
		z.setWarm()
		z.run(time.Second)
		return z.run(10 * time.Second)
	}
	assert.LessOrEqual(t, run(Options{}), 400+8)
	assert.Greater(t, run(Options{liveBalancers: 4}), 400+8, "each side of four divides by four")
}

// TestPromise3ColdUnannounced guards against an upstream that turns cold without
// reporting it and still gets flows at the warm rate.
func TestPromise3ColdUnannounced(t *testing.T) {
	run := func(o Options) int {
		z := newZone(o, upstreams(14, nil), 2, 2)
		z.setWarm()
		z.run(10 * time.Second)
		cold := bvconfig.UpstreamID(3)
		n := 0
		// The cold upstream drops every second opening and reports to be warm.
		z.onPlaced = func(l *Limiter, u bvconfig.UpstreamID) {
			if u != cold {
				return
			}
			n++
			l.Probed(z.now, u, Report{State: StateWarm})
			if n%2 == 0 {
				l.Retransmitted(z.now, u)
			}
		}
		z.run(2 * time.Second)
		n = 0
		z.run(10 * time.Second)
		return n
	}
	assert.LessOrEqual(t, run(Options{}), maxFlows(2*time.Second, 10*time.Second, 2))
	assert.Greater(t, run(Options{noRetransmits: true}), maxFlows(2*time.Second, 10*time.Second, 2))
}

// TestPromise3FalseHealth guards against a health endpoint that reports a cold
// upstream as warm, and against a single fault that makes all upstreams appear
// unhealthy.
func TestPromise3FalseHealth(t *testing.T) {
	run := func(o Options, s State) int {
		z := newZone(o, upstreams(3, nil), 4, 4)
		for range 10 {
			for _, l := range z.limiters {
				for _, u := range z.ids {
					l.Probed(z.now, u, Report{State: s, StartedAt: begin})
				}
			}
			z.run(time.Second)
		}
		return z.placed
	}
	limit := 3 * maxFlows(0, 10*time.Second, 4)
	assert.LessOrEqual(t, run(Options{}, StateWarm), limit)
	assert.Greater(t, run(Options{trustReports: true}, StateWarm), limit)
	assert.Greater(t, run(Options{}, StateDraining), limit/2, "all are used")
	assert.Zero(t, run(Options{noPanic: true}, StateDraining))
}

// TestPromise3AllCold guards against rates that are no longer bounded when all
// upstreams are cold.
func TestPromise3AllCold(t *testing.T) {
	run := func(o Options) int {
		z := newZone(o, upstreams(3, nil), 4, 4)
		z.setWarm()
		z.run(5 * time.Second)
		for _, l := range z.limiters {
			for _, u := range z.ids {
				l.Probed(z.now, u, Report{StartedAt: begin})
				l.Probed(z.now, u, Report{StartedAt: z.now})
			}
		}
		return z.run(10 * time.Second)
	}
	limit := 3 * maxFlows(0, 10*time.Second, 4)
	assert.LessOrEqual(t, run(Options{}), limit)
	assert.Greater(t, run(Options{noRamp: true}), limit)
	assert.Greater(t, run(Options{exemptIfNoWarm: true}), limit)
}

// TestPromise3Join guards against a balancer that uses a share before its
// peers have reduced theirs.
func TestPromise3Join(t *testing.T) {
	run := func(o Options) int {
		us := upstreams(1, func(u *Upstream) { u.Connections, u.WarmRate, u.ColdRate, u.WarmUp = 700, 0, 0, 0 })
		z := newZone(o, us, 7, 7)
		joining := New(o)
		joining.SetUpstreams(z.now, "a", us, 8)
		z.limiters = append(z.limiters, joining)
		return z.run(10 * time.Second)
	}
	assert.Equal(t, 700, run(Options{}))
	assert.Greater(t, run(Options{shareAlways: true}), 700)
}

// TestRates compares the admitted flows with the integral of the rate, and
// guards against a share below one flow that never admits any.
func TestRates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cold := rapid.Float64Range(0.1, 5).Draw(t, "cold")
		warm := rapid.Float64Range(5, 50).Draw(t, "warm")
		warmUp := time.Duration(rapid.IntRange(1, 60).Draw(t, "warmUp")) * time.Second
		n := rapid.IntRange(1, 10).Draw(t, "balancers")
		z := newZone(Options{}, upstreams(1, func(u *Upstream) { u.ColdRate, u.WarmRate, u.WarmUp = cold, warm, warmUp }), n, n)
		d := time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second
		got, want := z.run(d), 0.0
		for at := time.Duration(0); at < d; at += step {
			want += (cold + (warm-cold)*math.Min(1, at.Seconds()/warmUp.Seconds())) * step.Seconds()
		}
		require.InDelta(t, want, got, float64(n)+0.01*want+1)
	})
}

// TestUnusedShare guards against a zone that refuses flows while half of its
// connections are free because they are the share of a dead balancer.
func TestUnusedShare(t *testing.T) {
	run := func(o Options, report Report) (admitted int) {
		l, now := New(o), begin
		us := upstreams(1, func(u *Upstream) { u.ColdRate, u.WarmRate, u.WarmUp, u.Connections = 0, 0, 0, 2000 })
		l.SetUpstreams(now, "a", us, 2)
		l.SetShareEnabled(true)
		for range 2000 {
			l.Probed(now, us[0].ID, report)
			if l.Admit(now, us[0].ID) {
				l.Opened(now, us[0].ID)
				admitted++
			}
		}
		return admitted
	}
	assert.Equal(t, 1800, run(Options{}, Report{OpenConnections: 900}))
	assert.Equal(t, 1000, run(Options{noSpare: true}, Report{OpenConnections: 900}))
	assert.Equal(t, 1000, run(Options{}, Report{OpenConnections: 1800}), "the others use their share")
	assert.Equal(t, 1000, run(Options{}, Report{State: StateCold, OpenConnections: 0}), "a cold upstream gets the share only")
}

// naive is a reference implementation that decides about connections and health
// from the whole history of events.
type naive struct {
	us      []Upstream
	n       int
	history []naiveEvent
}

type naiveEvent struct {
	at   time.Time
	u    bvconfig.UpstreamID
	kind string
	r    Report
}

func (n *naive) open(u bvconfig.UpstreamID) (open int) {
	for _, e := range n.history {
		switch {
		case e.u == u && e.kind == "open":
			open++
		case e.u == u && e.kind == "close":
			open = max(open-1, 0)
		}
	}
	return open
}

func (n *naive) unhealthy(now time.Time, u Upstream) bool {
	failures, refused := 0, false
	for _, e := range n.history {
		switch {
		case e.u == u.ID && e.kind == "failed":
			failures++
		case e.u == u.ID && e.kind == "probed":
			failures = 0
			refused = now.Sub(e.at) <= 6*time.Second && (e.r.State >= StateDraining || e.r.BusySlots >= 4 || e.r.OpenConnections >= 20)
		}
	}
	return failures >= 3 || refused
}

// reported returns the connections in the last report of u, or math.MaxInt if
// the report is old or its state is not warm.
func (n *naive) reported(now time.Time, u bvconfig.UpstreamID) int {
	for i := len(n.history) - 1; i >= 0; i-- {
		e := n.history[i]
		if e.u == u && e.kind == "probed" {
			if now.Sub(e.at) > 6*time.Second || e.r.State != StateWarm {
				break
			}
			return e.r.OpenConnections
		}
	}
	return math.MaxInt
}

func (n *naive) admit(now time.Time, u Upstream) bool {
	unhealthy := 0
	for _, o := range n.us {
		if n.unhealthy(now, o) {
			unhealthy++
		}
	}
	hasCapacity := n.open(u.ID) < 20/n.n || n.open(u.ID) < 18 && n.reported(now, u.ID) < 18
	return hasCapacity && (!n.unhealthy(now, u) || 3*unhealthy > len(n.us))
}

// TestNaive compares connections and ejections with the reference
// implementation.
func TestNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := &naive{n: rapid.IntRange(1, 5).Draw(t, "balancers")}
		n.us = upstreams(rapid.IntRange(1, 9).Draw(t, "upstreams"), func(u *Upstream) {
			*u = Upstream{ID: u.ID, Service: "s", Connections: 20, Slots: 4}
		})
		l, now := New(Options{}), begin
		l.SetUpstreams(now, "a", n.us, n.n)
		l.SetShareEnabled(true)
		for range rapid.IntRange(1, 150).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			u := rapid.SampledFrom(n.us).Draw(t, "upstream")
			e := naiveEvent{at: now, u: u.ID, kind: rapid.SampledFrom([]string{"open", "open", "close", "failed", "probed"}).Draw(t, "kind")}
			switch e.kind {
			case "open":
				l.Opened(now, u.ID)
			case "close":
				l.Closed(now, u.ID)
			case "failed":
				l.ProbeFailed(now, u.ID)
			case "probed":
				e.r = Report{State: State(rapid.IntRange(0, 3).Draw(t, "state")), BusySlots: rapid.IntRange(0, 4).Draw(t, "busy"), OpenConnections: rapid.IntRange(0, 20).Draw(t, "open")}
				l.Probed(now, u.ID, e.r)
			}
			n.history = append(n.history, e)
			for _, u := range n.us {
				require.Equal(t, n.admit(now, u), l.Admit(now, u.ID), "upstream %d", u.ID)
				require.Equal(t, n.open(u.ID), l.OpenFlows(u.ID))
			}
		}
	})
}

// TestRetransmitted guards against single lost packets that reset an upstream to
// its cold rate, and against an unresponsive upstream that stays in use.
func TestRetransmitted(t *testing.T) {
	for _, c := range []struct {
		name                string
		sent, retransmitted int
		cold, unhealthy     bool
	}{
		{"few", 3, 3, false, false},
		{"a quarter", 16, 4, false, false},
		{"more than a quarter", 15, 4, true, false},
		{"nearly all", 5, 4, true, true},
	} {
		l := New(Options{})
		l.SetUpstreams(begin, "a", upstreams(3, func(u *Upstream) { u.WarmRate = 0 }), 1)
		l.SetShareEnabled(true)
		l.MergeWarmStates(begin, []WarmState{{Upstream: 1, Age: time.Hour}})
		for range c.sent {
			require.True(t, l.Admit(begin, 1))
		}
		for range c.retransmitted {
			l.Retransmitted(begin.Add(time.Second), 1)
		}
		assert.Equal(t, c.cold, l.WarmStates(begin.Add(time.Second))[0].Age == 0, c.name)
		assert.Equal(t, c.unhealthy, l.upstreams[1].unhealthy, c.name)
	}
}

// TestMergeWarmStates guards against a peer's older state that overrides what
// this balancer has detected itself.
func TestMergeWarmStates(t *testing.T) {
	l := New(Options{})
	l.SetUpstreams(begin, "a", upstreams(2, nil), 1)
	l.MergeWarmStates(begin, []WarmState{{Upstream: 1, Age: time.Hour}, {Upstream: 9, Age: 1}})
	l.MergeWarmStates(begin, []WarmState{{Upstream: 1, Age: time.Minute}})
	l.MergeWarmStates(begin, []WarmState{{Upstream: 1, Age: time.Hour}})
	assert.Equal(t, []WarmState{{1, time.Minute}, {2, 0}}, l.WarmStates(begin), "the coldest answer applies")
	l.Probed(begin, 1, Report{StartedAt: begin})
	l.Probed(begin, 1, Report{StartedAt: begin.Add(1)})
	l.MergeWarmStates(begin, []WarmState{{Upstream: 1, Age: time.Hour}})
	assert.Zero(t, l.WarmStates(begin)[0].Age)
	l.Probed(begin.Add(2*time.Minute), 2, Report{State: StateCold})
	l.Probed(begin.Add(3*time.Minute), 2, Report{State: StateCold})
	assert.Equal(t, time.Minute, l.WarmStates(begin.Add(3 * time.Minute))[1].Age, "a repeated report does not restart the ramp")
}

// TestShed guards against shedding a higher class before a lower one.
func TestShed(t *testing.T) {
	l := New(Options{})
	for fill, want := range map[float64]bvconfig.Class{0.9: 3, 0.91: 2, 0.95: 1, 0.99: 0} {
		l.SetPressure(fill, false)
		for c := bvconfig.ClassFeed; c <= bvconfig.ClassBulk; c++ {
			assert.Equal(t, c >= want, l.Shed(c), "fill %v, class %s", fill, c)
		}
	}
	for i := range 40 {
		l.SetPressure(0, true)
		assert.True(t, l.Shed(bvconfig.ClassBulk))
		assert.Equal(t, i >= 10, l.Shed(bvconfig.ClassInteractive), i)
		assert.Equal(t, i >= 20, l.Shed(bvconfig.ClassFeed), i)
	}
}

// TestAdmitAllocations guards against allocations on the packet path.
func TestAdmitAllocations(t *testing.T) {
	z := newZone(Options{}, upstreams(14, func(u *Upstream) { u.Connections = 2000 }), 1, 1)
	assert.Zero(t, testing.AllocsPerRun(100, func() { z.limiters[0].Admit(z.now, 3) }))
}

func BenchmarkAdmit(b *testing.B) {
	z := newZone(Options{}, upstreams(14, func(u *Upstream) { u.Connections = 2000 }), 1, 1)
	z.setWarm()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		z.limiters[0].Admit(z.now.Add(time.Duration(i)*time.Microsecond), bvconfig.UpstreamID(i%14+1))
	}
}
