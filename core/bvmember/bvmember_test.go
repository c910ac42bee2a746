package bvmember

import (
	"flag"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"balsamvane/core/bvconfig"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The seed is fixed so that each run draws the same cases.
func init() { _ = flag.Set("rapid.seed", "1") }

const step = 100 * time.Millisecond

var begin = time.Unix(1_000_000, 0)

// fleet runs several nodes without a network. Heartbeats arrive in the same
// step unless cut says that the link is cut.
type fleet struct {
	now    time.Time
	nodes  []*Members
	stores []*bvconfig.Store
	paused map[int]bool
	cut    func(from, to int) bool
	log    [][]Change
}

func config(r uint64, zones ...string) bvconfig.Config {
	c := bvconfig.Config{Group: "g", Version: bvconfig.Version{Revision: r}}
	c.Services = []bvconfig.Service{{Name: "s", VNI: 1, Protocol: 6, Addresses: []netip.AddrPort{netip.MustParseAddrPort("198.51.100.1:443")}}}
	for i, z := range zones {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i), 1}), 6081)
		u := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i), 1}), 6081)
		c.Balancers = append(c.Balancers, bvconfig.Balancer{Name: fmt.Sprintf("lb-%d", i), Zone: z, Tunnel: a, Control: a})
		c.Upstreams = append(c.Upstreams, bvconfig.Upstream{Name: fmt.Sprintf("vm-%d", i), Service: "s", Zone: z, Tunnel: u, Weight: 1, Connections: 100})
	}
	for _, z := range []string{"a", "b"} {
		c.Zones = append(c.Zones, bvconfig.Zone{Name: z})
	}
	return c
}

func newFleet(o Options, zones ...string) *fleet {
	f := &fleet{now: begin, paused: map[int]bool{}, cut: func(int, int) bool { return false }, log: make([][]Change, len(zones))}
	c := config(1, zones...)
	for i, b := range c.Balancers {
		f.nodes = append(f.nodes, New(b.ID(), b.Zone, 1, o))
		f.stores = append(f.stores, bvconfig.NewStore(bvconfig.StoreOptions{}))
		f.offer(i, c)
		f.nodes[i].SetState(f.now, StateActive)
	}
	return f
}

func (f *fleet) offer(i int, c bvconfig.Config) {
	f.stores[i].Offer(c, f.now)
	cur, _ := f.stores[i].Current()
	f.nodes[i].SetBalancers(f.now, cur.Balancers)
	f.nodes[i].SetVersion(cur.Version, 1)
}

func (f *fleet) index(n bvconfig.NodeID) int {
	for i, m := range f.nodes {
		if m.self == n {
			return i
		}
	}
	return -1
}

func (f *fleet) step() {
	f.now = f.now.Add(step)
	for i, m := range f.nodes {
		if f.paused[i] {
			continue
		}
		f.log[i] = append(f.log[i], m.Tick(f.now)...)
		if t, _, ok := m.FetchTarget(f.now); ok && !f.cut(i, f.index(t.Node)) {
			c, _ := f.stores[f.index(t.Node)].Current()
			f.offer(i, c)
		}
		h := m.OwnHeartbeat(f.now)
		for _, t := range m.HeartbeatsDue(f.now) {
			if j := f.index(t.Node); !f.cut(i, j) && !f.paused[j] {
				f.log[j] = append(f.log[j], f.nodes[j].ReceiveHeartbeat(f.now, h)...)
			}
		}
	}
}

func (f *fleet) run(d time.Duration) {
	for range int(d / step) {
		f.step()
	}
}

// TestPromise4PausedNode guards against a node that resumes after a pause and
// goes on with a configuration in which a zone was still in service.
func TestPromise4PausedNode(t *testing.T) {
	run := func(o Options) (stale bool, version uint64) {
		f := newFleet(o, "a", "a", "a")
		f.run(3 * time.Second)
		f.paused[0] = true
		f.offer(1, config(2, "a", "a", "a"))
		f.run(10 * time.Second)
		f.paused[0] = false
		stale = !o.ignorePause && !f.nodes[0].Paused(f.now.Add(step))
		for range 30 {
			f.step()
			stale = stale || f.nodes[0].State() == StateActive && f.stores[0].Version().Revision < 2
		}
		return stale, f.stores[0].Version().Revision
	}
	stale, version := run(Options{})
	assert.False(t, stale)
	assert.Equal(t, uint64(2), version)
	stale, _ = run(Options{ignorePause: true, ignoreVerdicts: true})
	assert.True(t, stale)
}

// TestPromise4CutOffNode guards against a node that keeps using a zone that is
// out, although one peer that knows can still be heard.
func TestPromise4CutOffNode(t *testing.T) {
	run := func(o Options) uint64 {
		f := newFleet(o, "a", "a", "a")
		f.run(3 * time.Second)
		f.cut = func(from, to int) bool { return from+to == 1 }
		f.offer(1, config(2, "a", "a", "a"))
		f.run(5 * time.Second)
		return f.stores[0].Version().Revision
	}
	assert.Equal(t, uint64(2), run(Options{}))
	assert.Equal(t, uint64(1), run(Options{ignoreVersions: true}))
}

// TestPromise10Restart guards against a restarted balancer that stays at the
// state of a stale platform replica.
func TestPromise10Restart(t *testing.T) {
	run := func(o Options) uint64 {
		f := newFleet(o, "a", "a", "b")
		for i := range 3 {
			f.offer(i, config(5, "a", "a", "b"))
		}
		f.run(3 * time.Second)
		f.nodes[0] = New(f.nodes[0].self, "a", 9, o)
		f.stores[0] = bvconfig.NewStore(bvconfig.StoreOptions{})
		f.offer(0, config(4, "a", "a", "b"))
		f.run(3 * time.Second)
		return f.stores[0].Version().Revision
	}
	assert.Equal(t, uint64(5), run(Options{}))
	assert.Equal(t, uint64(4), run(Options{ignoreVersions: true}))
}

// TestPromise10SilentWatchers guards against a zone that never learns of a new
// configuration because its watchers' connections do not respond, and against
// reads in step from all nodes.
func TestPromise10SilentWatchers(t *testing.T) {
	run := func(o Options) (reached, reads int) {
		f := newFleet(o, "a", "a", "a", "a")
		for range 1200 {
			f.step()
			for i, m := range f.nodes {
				if !m.WatchesPlatform() && m.PlatformReadDue(f.now) {
					reads++
					m.PlatformContacted(f.now)
					f.offer(i, config(2, "a", "a", "a", "a"))
				}
			}
		}
		for _, s := range f.stores {
			if s.Version().Revision == 2 {
				reached++
			}
		}
		return reached, reads
	}
	reached, reads := run(Options{Seed: 3})
	assert.Equal(t, 4, reached)
	assert.Equal(t, 1, reads, "the news of one contact spares the others")
	reached, _ = run(Options{noSilenceReading: true})
	assert.Zero(t, reached)
}

// TestPromise10PlatformGone guards against nodes that stop or give up reading
// while the platform is gone for a day, and against a rush of reads.
func TestPromise10PlatformGone(t *testing.T) {
	const day = 24 * time.Hour
	run := func(o Options) (reads int, reached bool) {
		c := config(1, "a", "a", "a")
		self := bvconfig.NodeID(0)
		for m := New(self, "a", 1, o); self == 0 || m.outranks(self, c.Balancers[0].ID()) || m.outranks(self, c.Balancers[1].ID()); {
			self++
		}
		m := New(self, "a", 1, o)
		m.SetBalancers(begin, c.Balancers)
		m.SetState(begin, StateActive)
		for now := begin; now.Before(begin.Add(day + 90*time.Second)); now = now.Add(time.Second) {
			m.Tick(now)
			for _, b := range c.Balancers {
				m.ReceiveHeartbeat(now, Heartbeat{Node: b.ID(), Incarnation: 1, State: StateActive, PlatformAge: NoContact})
			}
			require.True(t, now.Sub(begin) < time.Second || !m.WatchesPlatform())
			if m.PlatformReadDue(now) {
				reads++
				reached = now.After(begin.Add(day))
			}
		}
		assert.Equal(t, StateActive, m.State())
		return reads, reached
	}
	reads, reached := run(Options{})
	assert.InDelta(t, day.Seconds()/75, reads, 100, "one read in 60 to 90 s")
	assert.True(t, reached, "the platform is read soon after it is back")
	_, reached = run(Options{noSilenceReading: true})
	assert.False(t, reached)
}

// TestHealedPartition guards against a zone without an active node because
// all sides of a healed partition yield at once.
func TestHealedPartition(t *testing.T) {
	run := func(t *rapid.T, o Options) (gap bool, excess int) {
		n := rapid.IntRange(2, 6).Draw(t, "nodes")
		zones, side, sizes := make([]string, n), make([]int, n), make([]int, 3)
		for i := range n {
			zones[i] = "a"
			side[i] = rapid.IntRange(0, 2).Draw(t, "side")
			sizes[side[i]]++
		}
		f := newFleet(o, zones...)
		f.run(3*time.Second + step*time.Duration(rapid.IntRange(0, 9).Draw(t, "phase")))
		for _, m := range f.nodes {
			for _, p := range m.Peers() {
				m.MarkSynced(p.Node)
			}
		}
		f.cut = func(i, j int) bool { return side[i] != side[j] }
		f.run(10 * time.Second)
		f.cut = func(int, int) bool { return false }
		for range 60 {
			f.step()
			active := 0
			for _, m := range f.nodes {
				if m.State() == StateActive {
					active++
				}
			}
			gap = gap || active == 0
			excess = max(excess, slices.Max(sizes)-active)
		}
		for i, m := range f.nodes {
			for _, p := range m.Peers() {
				require.True(t, p.Alive, "node %d sees %s", i, p.Name)
				if side[i] != side[f.index(p.Node)] {
					require.False(t, p.InSync, "returned peers are out of sync")
					m.MarkSynced(p.Node)
				}
			}
			require.True(t, m.Synced() || m.State() == StateJoining)
		}
		return gap, excess
	}
	rapid.Check(t, func(t *rapid.T) {
		gap, excess := run(t, Options{})
		require.False(t, gap)
		require.LessOrEqual(t, excess, 0, "the largest side stays active")
	})
	broken := false
	rapid.Check(t, func(t *rapid.T) {
		gap, _ := run(t, Options{yieldAlways: true})
		broken = broken || gap
	})
	assert.True(t, broken, "without the rule some partition leaves no active node")
}

// TestZonePartition guards against a zone that goes inactive because nodes of
// other zones, which cannot take over its keys, took its nodes for dead.
func TestZonePartition(t *testing.T) {
	for always, want := range map[bool]int{false: 4, true: 0} {
		f := newFleet(Options{yieldAlways: always, noPromotion: true}, "a", "a", "b", "b")
		f.run(3 * time.Second)
		f.cut = func(i, j int) bool { return i/2 != j/2 }
		f.run(10 * time.Second)
		f.cut = func(int, int) bool { return false }
		f.run(5 * time.Second)
		active := len(f.nodes[0].Active("a")) + len(f.nodes[0].Active("b"))
		assert.Equal(t, want, active)
		assert.Greater(t, f.nodes[0].Incarnation(), uint64(1))
	}
}

// TestZoneEmpty guards against a zone in which all nodes wait for an active
// one, and against two nodes that promote themselves.
func TestZoneEmpty(t *testing.T) {
	for off, want := range map[bool]int{false: 1, true: 0} {
		f := newFleet(Options{noPromotion: off}, "a", "a", "a")
		for _, m := range f.nodes {
			m.SetState(f.now, StateJoining)
		}
		f.run(3 * time.Second)
		assert.Len(t, f.nodes[0].Active("a"), want)
	}
}

// TestDeadPeer guards against a dead peer that is used again in the same
// incarnation, and against stale heartbeats of an earlier process.
func TestDeadPeer(t *testing.T) {
	c := config(1, "a", "b")
	m := New(1, "a", 1, Options{})
	m.SetBalancers(begin, c.Balancers)
	m.SetState(begin, StateActive)
	near, far := c.Balancers[0].ID(), c.Balancers[1].ID()
	beat := func(at time.Duration, n bvconfig.NodeID, inc uint64, s State) []Change {
		return m.ReceiveHeartbeat(begin.Add(at), Heartbeat{Node: n, Incarnation: inc, State: s})
	}
	assert.Equal(t, []Change{PeerAlive{Node: near, State: StateJoining}}, beat(0, near, 4, StateJoining))
	p, _ := m.Peer(near)
	assert.True(t, p.InSync, "a node that starts has nothing to sync")
	beat(0, far, 1, StateActive)
	assert.Equal(t, []Change{PeerState{Node: near, From: StateJoining, To: StateActive}}, beat(0, near, 4, StateActive))
	assert.Empty(t, beat(0, near, 3, StateLeaving), "an earlier process")
	for at := step; at < 2*time.Second; at += step {
		require.Empty(t, m.Tick(begin.Add(at)))
	}
	assert.Equal(t, []Change{PeerDead{Node: near, Incarnation: 4}}, m.Tick(begin.Add(2*time.Second)))
	assert.Equal(t, []DeadPeer{{Node: near, Incarnation: 4}}, m.OwnHeartbeat(begin).Dead)
	assert.Empty(t, beat(2*time.Second, near, 4, StateActive), "it does not know yet")
	assert.Equal(t, []Change{PeerAlive{Node: near, State: StateActive, Returned: true}}, beat(2*time.Second, near, 5, StateActive))
	assert.False(t, m.Synced())
	m.MarkSynced(near)
	m.MarkSynced(far)
	assert.True(t, m.Synced())
	for at := 2*time.Second + step; at < 4*time.Second; at += step {
		beat(at, near, 5, StateActive)
		require.Empty(t, m.Tick(begin.Add(at)))
	}
	assert.Equal(t, []Change{PeerDead{Node: far, Incarnation: 1}}, m.Tick(begin.Add(4*time.Second)), "1 s heartbeats across zones")
}

// TestIncarnation guards against two owners of one key: a peer that others took
// for dead must not count as active again before it knows.
func TestIncarnation(t *testing.T) {
	for revive, want := range map[bool]int{false: 1, true: 2} {
		f := newFleet(Options{reviveUnchanged: revive}, "a", "a")
		f.run(2 * time.Second)
		late := f.nodes[1].OwnHeartbeat(f.now)
		f.cut = func(int, int) bool { return true }
		f.run(3 * time.Second)
		f.nodes[0].ReceiveHeartbeat(f.now, late)
		assert.Len(t, f.nodes[0].Active("a"), want)
	}
}

// naiveAlive decides from the whole history whether a peer of the zone counts
// as alive. beats are the times of heartbeats in each incarnation; ticks are
// the times at which missing ones are noticed.
func naiveAlive(beats map[uint64][]time.Time, ticks []time.Time, now time.Time) bool {
	top := uint64(0)
	for inc := range beats {
		top = max(top, inc)
	}
	for _, at := range append(slices.Clone(ticks), now) {
		last := time.Time{}
		for _, b := range beats[top] {
			if !b.After(at) {
				last = b
			}
		}
		if !last.IsZero() && at.Sub(last) >= 2*time.Second {
			return false
		}
	}
	return top > 0
}

// TestNaive compares the liveness of a peer with the naive version.
func TestNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := config(1, "a")
		m := New(1, "a", 1, Options{ignorePause: true})
		m.SetBalancers(begin, c.Balancers)
		id, top, now := c.Balancers[0].ID(), uint64(0), begin
		beats, ticks := map[uint64][]time.Time{}, []time.Time(nil)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(step * time.Duration(rapid.IntRange(1, 12).Draw(t, "gap")))
			if inc := rapid.Uint64Range(0, 6).Draw(t, "incarnation"); inc > 0 {
				m.ReceiveHeartbeat(now, Heartbeat{Node: id, Incarnation: inc})
				if top = max(top, inc); inc == top {
					beats[inc] = append(beats[inc], now)
				}
			}
			if rapid.Bool().Draw(t, "tick") {
				m.Tick(now)
				ticks = append(ticks, now)
				p, _ := m.Peer(id)
				require.Equal(t, naiveAlive(beats, ticks, now), p.Alive)
			}
		}
	})
}

// TestDue guards against more heartbeats than the control budget covers.
func TestDue(t *testing.T) {
	f := newFleet(Options{}, "a", "a", "b")
	require.Len(t, f.nodes[0].HeartbeatsDue(f.now), 2, "the first at once")
	sent := map[string]int{}
	for range 100 {
		f.now = f.now.Add(step)
		for _, x := range f.nodes[0].HeartbeatsDue(f.now) {
			sent[f.nodes[0].peers[x.Node].Name]++
		}
	}
	assert.Equal(t, map[string]int{"lb-1": 20, "lb-2": 10}, sent)
}

// TestReject guards against a faulty configuration that is fetched again at
// each tick.
func TestReject(t *testing.T) {
	f := newFleet(Options{}, "a", "a")
	f.run(time.Second)
	h := f.nodes[1].OwnHeartbeat(f.now)
	h.Version.Revision = 3
	f.nodes[0].ReceiveHeartbeat(f.now, h)
	_, v, ok := f.nodes[0].FetchTarget(f.now)
	assert.True(t, ok && v.Revision == 3)
	_, _, ok = f.nodes[0].FetchTarget(f.now.Add(time.Second))
	assert.False(t, ok, "a fetch is under way")
	_, _, ok = f.nodes[0].FetchTarget(f.now.Add(2 * time.Second))
	assert.True(t, ok)
	f.nodes[0].RejectVersion(v)
	_, _, ok = f.nodes[0].FetchTarget(f.now.Add(time.Minute))
	assert.False(t, ok)
	assert.False(t, f.nodes[0].ZonePeersHaveRevision(4))
}
