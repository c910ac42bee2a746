package bvsync

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvmember"
	"balsamvane/core/bvroute"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_700_000_000, 0)

// fakeSource is a source with n handovers to node 1.
type fakeSource struct {
	n                 int
	generation, swept uint64
}

func (r *fakeSource) Generation() uint64   { return r.generation }
func (r *fakeSource) Swept() uint64        { return r.swept }
func (r *fakeSource) SweepDone(g uint64)   { r.swept = g }
func (r *fakeSource) key(i int) bvflow.Key { return bvflow.Key{byte(i >> 8), byte(i)} }

func (r *fakeSource) Handovers(_ time.Time, cursor uint64, maxSlots int, into []bvroute.Handover) ([]bvroute.Handover, uint64, bool) {
	for ; maxSlots > 0 && cursor < uint64(r.n); maxSlots-- {
		h := bvroute.Handover{Key: r.key(int(cursor)), Kind: bvroute.RecordPlaced, Upstream: 9, Count: 1}
		h.To[0] = 1
		into = append(into, h)
		cursor++
	}
	return into, cursor, cursor >= uint64(r.n)
}

func (r *fakeSource) HandoversTo(now time.Time, _ bvconfig.NodeID, cursor uint64, _, limit int, into []bvroute.Handover) ([]bvroute.Handover, uint64, bool) {
	return r.Handovers(now, cursor, limit, into)
}

// TestSweeperBudget guards against a sweep that exceeds its share of the
// control traffic or omits records.
func TestSweeperBudget(t *testing.T) {
	r := &fakeSource{n: 2000}
	s := New(r, Options{})
	r.generation = 1
	bytes, got := 0, map[bvflow.Key]bool{}
	now := start
	for !s.Complete() {
		now = now.Add(100 * time.Millisecond)
		for _, b := range s.Next(now) {
			assert.LessOrEqual(t, len(b.Records)*RecordBytes, 1200)
			for _, x := range b.Records {
				bytes += RecordBytes
				got[x.Key] = true
			}
			s.Acknowledge(b.To, b.Sequence)
		}
		require.LessOrEqual(t, float64(bytes), now.Sub(start).Seconds()*2000+3200)
	}
	assert.Len(t, got, 2000)
	assert.Equal(t, 2000*RecordBytes, bytes)
}

// TestSweeperRetry guards against records that are lost with a batch, and
// against retries that exceed the budget while a peer is unresponsive.
func TestSweeperRetry(t *testing.T) {
	r := &fakeSource{n: 10}
	s := New(r, Options{})
	r.generation = 1
	sent := 0
	now := start
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		sent += len(s.Next(now))
	}
	assert.Equal(t, 5, sent, "after 0, 3, 9, 21 and 45 s")
	assert.False(t, s.Complete())
	assert.Equal(t, 10, s.Unacknowledged())
	s.Acknowledge(1, 1)
	assert.True(t, s.Complete())
}

// TestSweeperRestart guards against a sweep that completes although the group
// changed while it ran.
func TestSweeperRestart(t *testing.T) {
	r := &fakeSource{n: 10}
	s := New(r, Options{})
	r.generation = 1
	s.Next(start)
	s.Next(start.Add(time.Second))
	r.generation = 2
	s.Acknowledge(1, 1)
	assert.False(t, s.Complete())
	s.Next(start.Add(2 * time.Second))
	bs := s.Next(start.Add(3 * time.Second))
	require.Len(t, bs, 1)
	s.Acknowledge(1, bs[0].Sequence)
	assert.True(t, s.Complete())
}

// TestSweeperAnswer guards against records missing from the answers to a
// joining peer.
func TestSweeperAnswer(t *testing.T) {
	s := New(&fakeSource{n: 100}, Options{})
	got := 0
	for cursor, done := uint64(0), false; !done; {
		var rs []Record
		rs, cursor, done = s.Answer(start, 1, cursor, 500)
		assert.LessOrEqual(t, len(rs)*RecordBytes, 500)
		got += len(rs)
	}
	assert.Equal(t, 100, got)
}

// unlimited is a limiter without limits.
type unlimited struct{}

func (unlimited) Admit(time.Time, bvconfig.UpstreamID) bool    { return true }
func (unlimited) Opened(time.Time, bvconfig.UpstreamID)        {}
func (unlimited) Closed(time.Time, bvconfig.UpstreamID)        {}
func (unlimited) Retransmitted(time.Time, bvconfig.UpstreamID) {}
func (unlimited) OpenFlows(bvconfig.UpstreamID) int            { return 0 }
func (unlimited) Shed(bvconfig.Class) bool                     { return false }

// testGroup is a group of balancers in one zone, all of whose flows are
// exceptions: the base list has other upstreams than the configuration.
type testGroup struct {
	now      time.Time
	names    []string
	states   map[string]bvmember.State
	routers  map[string]*bvroute.Router
	snapshot bvroute.Snapshot
}

func newTestGroup(names ...string) *testGroup {
	g := &testGroup{now: start, names: names, states: map[string]bvmember.State{}, routers: map[string]*bvroute.Router{}}
	c := bvconfig.Config{
		Zones:    []bvconfig.Zone{{Name: "a"}},
		Services: []bvconfig.Service{{Name: "board", VNI: 1, Protocol: bvflow.ProtocolTCP, Addresses: []netip.AddrPort{netip.MustParseAddrPort("127.9.9.9:443")}}},
	}
	var old []bvconfig.Upstream
	for i := range 8 {
		u := bvconfig.Upstream{
			Name: fmt.Sprint("u", i), Service: "board", Zone: "a", Weight: 1, Leaving: i >= 4,
			Tunnel: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 6081),
		}
		c.Upstreams = append(c.Upstreams, u)
		if u.Leaving {
			old = append(old, u)
		}
	}
	g.snapshot = bvroute.Snapshot{Config: c, Bases: []bvroute.Base{{Revision: 1, Upstreams: old}}}
	for _, n := range names {
		g.states[n] = bvmember.StateActive
		table := bvflow.NewTable(10_000, start, bvflow.DefaultLifetimes)
		g.routers[n] = bvroute.New(bvconfig.NodeIDOf(n), "a", bvroute.Options{}, table, unlimited{})
	}
	g.refresh()
	return g
}

func (g *testGroup) refresh() {
	for _, n := range g.names {
		p := g.snapshot
		p.State = g.states[n]
		for _, o := range g.names {
			if o != n {
				p.Peers = append(p.Peers, bvroute.Peer{ID: bvconfig.NodeIDOf(o), Zone: "a", State: g.states[o], InSync: true})
			}
		}
		g.routers[n].SetSnapshot(g.now, p)
	}
}

// route sends a packet of flow i to the named balancer and returns the
// upstream that it reaches, or 0.
func (g *testGroup) route(name string, i int, phase bvflow.Phase) bvconfig.UpstreamID {
	var source [4]byte
	binary.BigEndian.PutUint32(source[:], 10<<24+uint32(i))
	p := bvflow.Packet{Phase: phase, Tuple: bvflow.Tuple{
		Source:      netip.AddrPortFrom(netip.AddrFrom4(source), 1000),
		Destination: netip.MustParseAddrPort("127.9.9.9:443"), Protocol: bvflow.ProtocolTCP,
	}}
	d := bvroute.Decision{}
	r := g.routers[name]
	for range 8 {
		if d = r.Route(g.now, p, d.Trail, d.Record); d.Verdict != bvroute.VerdictForward {
			return d.Upstream
		}
		for _, n := range g.names {
			if bvconfig.NodeIDOf(n) == d.Next {
				r = g.routers[n]
			}
		}
	}
	return 0
}

// stop simulates a planned stop. If push is set, the leaving node waits until
// all sweeps are complete. Some batches are lost once.
func (g *testGroup) stop(t *testing.T, name string, push bool) {
	sweepers := map[string]*Sweeper{}
	for _, n := range g.names {
		sweepers[n] = New(g.routers[n], Options{BytesPerSecond: 20_000})
	}
	lost := map[uint64]bool{}
	g.states[name] = bvmember.StateLeaving
	g.refresh()
	for steps, complete := 0, !push; !complete; steps++ {
		require.Less(t, steps, 10_000, "the sweep does not end")
		g.now = g.now.Add(100 * time.Millisecond)
		complete = true
		for _, n := range g.names {
			for _, b := range sweepers[n].Next(g.now) {
				if b.Sequence%4 == 0 && !lost[b.Sequence] {
					lost[b.Sequence] = true
					continue
				}
				for _, o := range g.names {
					for _, x := range b.Records {
						if bvconfig.NodeIDOf(o) == b.To {
							require.NoError(t, g.routers[o].Store(g.now, x.Key, x.Kind, x.Upstream))
						}
					}
				}
				sweepers[n].Acknowledge(b.To, b.Sequence)
			}
			complete = complete && sweepers[n].Complete()
		}
	}
	var rest []string
	for _, n := range g.names {
		if n != name {
			rest = append(rest, n)
		}
	}
	g.names = rest
	g.refresh()
}

// TestPromise9PlannedStops guards against flows that break when balancers stop
// one after another as planned.
func TestPromise9PlannedStops(t *testing.T) {
	countBrokenFlows := func(push bool) (n int) {
		g := newTestGroup("n0", "n1", "n2", "n3", "n4")
		assigned := map[int]bvconfig.UpstreamID{}
		for i := range 1000 {
			assigned[i] = g.route(g.names[i%5], i, bvflow.PhaseOpening)
			require.NotZero(t, assigned[i])
		}
		for _, name := range []string{"n0", "n1", "n2"} {
			g.stop(t, name, push)
		}
		for i := range 1000 {
			if g.route(g.names[i%2], i, bvflow.PhaseEstablished) != assigned[i] {
				n++
			}
		}
		return n
	}
	assert.Zero(t, countBrokenFlows(true), "flows broke although all records were pushed")
	assert.NotZero(t, countBrokenFlows(false), "no flow broke without a push, so the test does not detect the failure")
}
