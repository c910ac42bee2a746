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

// The seed is fixed so that each run tests the same cases.
func init() { _ = flag.Set("rapid.seed", "1") }

const step = 100 * time.Millisecond

var startTime = time.Unix(1_000_000, 0)

// cluster runs several nodes without a network. Heartbeats arrive in the same
// step unless linkDown reports that the link is down.
type cluster struct {
	now      time.Time
	nodes    []*Members
	stores   []*bvconfig.Store
	paused   map[int]bool
	linkDown func(from, to int) bool
	changes  [][]Change
}

func testConfig(r uint64, zones ...string) bvconfig.Config {
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

func newCluster(o Options, zones ...string) *cluster {
	f := &cluster{now: startTime, paused: map[int]bool{}, linkDown: func(int, int) bool { return false }, changes: make([][]Change, len(zones))}
	c := testConfig(1, zones...)
	for i, b := range c.Balancers {
		f.nodes = append(f.nodes, New(b.ID(), b.Zone, 1, o))
		f.stores = append(f.stores, bvconfig.NewStore(bvconfig.StoreOptions{}))
		f.offerConfig(i, c)
		f.nodes[i].SetState(f.now, StateActive)
	}
	return f
}

func (f *cluster) offerConfig(i int, c bvconfig.Config) {
	f.stores[i].Offer(c, f.now)
	cur, _ := f.stores[i].Current()
	f.nodes[i].SetBalancers(f.now, cur.Balancers)
	f.nodes[i].SetVersion(cur.Version, 1)
}

func (f *cluster) index(n bvconfig.NodeID) int {
	for i, m := range f.nodes {
		if m.self == n {
			return i
		}
	}
	return -1
}

func (f *cluster) step() {
	f.now = f.now.Add(step)
	for i, m := range f.nodes {
		if f.paused[i] {
			continue
		}
		f.changes[i] = append(f.changes[i], m.Tick(f.now)...)
		if t, _, ok := m.FetchTarget(f.now); ok && !f.linkDown(i, f.index(t.Node)) {
			c, _ := f.stores[f.index(t.Node)].Current()
			f.offerConfig(i, c)
		}
		h := m.OwnHeartbeat(f.now)
		for _, t := range m.HeartbeatsDue(f.now) {
			if j := f.index(t.Node); !f.linkDown(i, j) && !f.paused[j] {
				f.changes[j] = append(f.changes[j], f.nodes[j].ReceiveHeartbeat(f.now, h)...)
			}
		}
	}
}

func (f *cluster) run(d time.Duration) {
	for range int(d / step) {
		f.step()
	}
}

// TestPromise4PausedNode guards against a node that resumes after a pause and
// keeps using a configuration in which a zone was still in service.
func TestPromise4PausedNode(t *testing.T) {
	run := func(o Options) (stale bool, version uint64) {
		f := newCluster(o, "a", "a", "a")
		f.run(3 * time.Second)
		f.paused[0] = true
		f.offerConfig(1, testConfig(2, "a", "a", "a"))
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
	stale, _ = run(Options{ignorePause: true, ignoreDeathDeclarations: true})
	assert.True(t, stale)
}

// TestPromise4CutOffNode guards against a node that keeps using a zone that is
// out of service, although it still gets heartbeats of one peer that has the new
// configuration.
func TestPromise4CutOffNode(t *testing.T) {
	run := func(o Options) uint64 {
		f := newCluster(o, "a", "a", "a")
		f.run(3 * time.Second)
		f.linkDown = func(from, to int) bool { return from+to == 1 }
		f.offerConfig(1, testConfig(2, "a", "a", "a"))
		f.run(5 * time.Second)
		return f.stores[0].Version().Revision
	}
	assert.Equal(t, uint64(2), run(Options{}))
	assert.Equal(t, uint64(1), run(Options{ignoreVersions: true}))
}

// TestPromise10Restart guards against a restarted balancer that keeps the
// configuration of a stale platform replica.
func TestPromise10Restart(t *testing.T) {
	run := func(o Options) uint64 {
		f := newCluster(o, "a", "a", "b")
		for i := range 3 {
			f.offerConfig(i, testConfig(5, "a", "a", "b"))
		}
		f.run(3 * time.Second)
		f.nodes[0] = New(f.nodes[0].self, "a", 9, o)
		f.stores[0] = bvconfig.NewStore(bvconfig.StoreOptions{})
		f.offerConfig(0, testConfig(4, "a", "a", "b"))
		f.run(3 * time.Second)
		return f.stores[0].Version().Revision
	}
	assert.Equal(t, uint64(5), run(Options{}))
	assert.Equal(t, uint64(4), run(Options{ignoreVersions: true}))
}

// TestPromise10UnresponsiveWatchers guards against a zone that never receives a
// new configuration because its watchers' connections do not respond, and against
// simultaneous reads from all nodes.
func TestPromise10UnresponsiveWatchers(t *testing.T) {
	run := func(o Options) (reached, reads int) {
		f := newCluster(o, "a", "a", "a", "a")
		for range 1200 {
			f.step()
			for i, m := range f.nodes {
				if !m.WatchesPlatform() && m.PlatformReadDue(f.now) {
					reads++
					m.PlatformContacted(f.now)
					f.offerConfig(i, testConfig(2, "a", "a", "a", "a"))
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
	assert.Equal(t, 1, reads, "one node's contact postpones the reads of the others")
	reached, _ = run(Options{noScheduledReads: true})
	assert.Zero(t, reached)
}

// TestPromise10PlatformUnavailable guards against nodes that become inactive or
// stop reading while the platform is unavailable for a day, and against a load
// burst of reads.
func TestPromise10PlatformUnavailable(t *testing.T) {
	const day = 24 * time.Hour
	run := func(o Options) (reads int, reached bool) {
		c := testConfig(1, "a", "a", "a")
		self := bvconfig.NodeID(0)
		for m := New(self, "a", 1, o); self == 0 || m.outranks(self, c.Balancers[0].ID()) || m.outranks(self, c.Balancers[1].ID()); {
			self++
		}
		m := New(self, "a", 1, o)
		m.SetBalancers(startTime, c.Balancers)
		m.SetState(startTime, StateActive)
		for now := startTime; now.Before(startTime.Add(day + 90*time.Second)); now = now.Add(time.Second) {
			m.Tick(now)
			for _, b := range c.Balancers {
				m.ReceiveHeartbeat(now, Heartbeat{Node: b.ID(), Incarnation: 1, State: StateActive, PlatformAge: NoContact})
			}
			require.True(t, now.Sub(startTime) < time.Second || !m.WatchesPlatform())
			if m.PlatformReadDue(now) {
				reads++
				reached = now.After(startTime.Add(day))
			}
		}
		assert.Equal(t, StateActive, m.State())
		return reads, reached
	}
	reads, reached := run(Options{})
	assert.InDelta(t, day.Seconds()/75, reads, 100, "one read in 60 to 90 s")
	assert.True(t, reached, "the platform is read soon after it is available again")
	_, reached = run(Options{noScheduledReads: true})
	assert.False(t, reached)
}

// TestHealedPartition guards against a zone without an active node because
// all sides of a healed partition rejoin at the same time.
func TestHealedPartition(t *testing.T) {
	run := func(t *rapid.T, o Options) (noneActive bool, missing int) {
		n := rapid.IntRange(2, 6).Draw(t, "nodes")
		zones, side, sizes := make([]string, n), make([]int, n), make([]int, 3)
		for i := range n {
			zones[i] = "a"
			side[i] = rapid.IntRange(0, 2).Draw(t, "side")
			sizes[side[i]]++
		}
		f := newCluster(o, zones...)
		f.run(3*time.Second + step*time.Duration(rapid.IntRange(0, 9).Draw(t, "phase")))
		for _, m := range f.nodes {
			for _, p := range m.Peers() {
				m.MarkSynced(p.Node)
			}
		}
		f.linkDown = func(i, j int) bool { return side[i] != side[j] }
		f.run(10 * time.Second)
		f.linkDown = func(int, int) bool { return false }
		for range 60 {
			f.step()
			active := 0
			for _, m := range f.nodes {
				if m.State() == StateActive {
					active++
				}
			}
			noneActive = noneActive || active == 0
			missing = max(missing, slices.Max(sizes)-active)
		}
		for i, m := range f.nodes {
			for _, p := range m.Peers() {
				require.True(t, p.Alive, "peer of node %d: %s", i, p.Name)
				if side[i] != side[f.index(p.Node)] {
					require.False(t, p.InSync, "returned peers are out of sync")
					m.MarkSynced(p.Node)
				}
			}
			require.True(t, m.Synced() || m.State() == StateJoining)
		}
		return noneActive, missing
	}
	rapid.Check(t, func(t *rapid.T) {
		noneActive, missing := run(t, Options{})
		require.False(t, noneActive)
		require.LessOrEqual(t, missing, 0, "the largest side stays active")
	})
	broken := false
	rapid.Check(t, func(t *rapid.T) {
		noneActive, _ := run(t, Options{alwaysRejoin: true})
		broken = broken || noneActive
	})
	assert.True(t, broken, "if all sides rejoin, some partition leaves no active node")
}

// TestZonePartition guards against a zone that becomes inactive because nodes of
// other zones, which cannot take over its keys, declared its nodes dead.
func TestZonePartition(t *testing.T) {
	for always, want := range map[bool]int{false: 4, true: 0} {
		f := newCluster(Options{alwaysRejoin: always, noPromotion: true}, "a", "a", "b", "b")
		f.run(3 * time.Second)
		f.linkDown = func(i, j int) bool { return i/2 != j/2 }
		f.run(10 * time.Second)
		f.linkDown = func(int, int) bool { return false }
		f.run(5 * time.Second)
		active := len(f.nodes[0].Active("a")) + len(f.nodes[0].Active("b"))
		assert.Equal(t, want, active)
		assert.Greater(t, f.nodes[0].Incarnation(), uint64(1))
	}
}

// TestZoneEmpty guards against a zone in which all nodes wait for an active
// one, and against two nodes that become active at the same time.
func TestZoneEmpty(t *testing.T) {
	for off, want := range map[bool]int{false: 1, true: 0} {
		f := newCluster(Options{noPromotion: off}, "a", "a", "a")
		for _, m := range f.nodes {
			m.SetState(f.now, StateJoining)
		}
		f.run(3 * time.Second)
		assert.Len(t, f.nodes[0].Active("a"), want)
	}
}

// TestDeadPeer guards against a dead peer that is used again in the same
// incarnation, and against late heartbeats of an earlier process.
func TestDeadPeer(t *testing.T) {
	c := testConfig(1, "a", "b")
	m := New(1, "a", 1, Options{})
	m.SetBalancers(startTime, c.Balancers)
	m.SetState(startTime, StateActive)
	sameZone, otherZone := c.Balancers[0].ID(), c.Balancers[1].ID()
	receiveHeartbeat := func(at time.Duration, n bvconfig.NodeID, inc uint64, s State) []Change {
		return m.ReceiveHeartbeat(startTime.Add(at), Heartbeat{Node: n, Incarnation: inc, State: s})
	}
	assert.Equal(t, []Change{PeerAlive{Node: sameZone, State: StateJoining}}, receiveHeartbeat(0, sameZone, 4, StateJoining))
	p, _ := m.Peer(sameZone)
	assert.True(t, p.InSync, "a node that has just started has nothing to sync")
	receiveHeartbeat(0, otherZone, 1, StateActive)
	assert.Equal(t, []Change{PeerState{Node: sameZone, From: StateJoining, To: StateActive}}, receiveHeartbeat(0, sameZone, 4, StateActive))
	assert.Empty(t, receiveHeartbeat(0, sameZone, 3, StateLeaving), "an earlier process")
	for at := step; at < 2*time.Second; at += step {
		require.Empty(t, m.Tick(startTime.Add(at)))
	}
	assert.Equal(t, []Change{PeerDead{Node: sameZone, Incarnation: 4}}, m.Tick(startTime.Add(2*time.Second)))
	assert.Equal(t, []DeadPeer{{Node: sameZone, Incarnation: 4}}, m.OwnHeartbeat(startTime).Dead)
	assert.Empty(t, receiveHeartbeat(2*time.Second, sameZone, 4, StateActive), "it has not received its death declaration yet")
	assert.Equal(t, []Change{PeerAlive{Node: sameZone, State: StateActive, Returned: true}}, receiveHeartbeat(2*time.Second, sameZone, 5, StateActive))
	assert.False(t, m.Synced())
	m.MarkSynced(sameZone)
	m.MarkSynced(otherZone)
	assert.True(t, m.Synced())
	for at := 2*time.Second + step; at < 4*time.Second; at += step {
		receiveHeartbeat(at, sameZone, 5, StateActive)
		require.Empty(t, m.Tick(startTime.Add(at)))
	}
	assert.Equal(t, []Change{PeerDead{Node: otherZone, Incarnation: 1}}, m.Tick(startTime.Add(4*time.Second)), "1 s heartbeats across zones")
}

// TestIncarnation guards against two owners of one key: a peer that others marked
// dead must not count as active again before it raises its incarnation.
func TestIncarnation(t *testing.T) {
	for reviveSameIncarnation, want := range map[bool]int{false: 1, true: 2} {
		f := newCluster(Options{reviveSameIncarnation: reviveSameIncarnation}, "a", "a")
		f.run(2 * time.Second)
		late := f.nodes[1].OwnHeartbeat(f.now)
		f.linkDown = func(int, int) bool { return true }
		f.run(3 * time.Second)
		f.nodes[0].ReceiveHeartbeat(f.now, late)
		assert.Len(t, f.nodes[0].Active("a"), want)
	}
}

// referenceAlive computes from the whole history whether a peer of the zone is
// alive. heartbeats are the times of heartbeats in each incarnation; ticks are
// the times at which missing ones are detected.
func referenceAlive(heartbeats map[uint64][]time.Time, ticks []time.Time, now time.Time) bool {
	highestIncarnation := uint64(0)
	for inc := range heartbeats {
		highestIncarnation = max(highestIncarnation, inc)
	}
	for _, at := range append(slices.Clone(ticks), now) {
		last := time.Time{}
		for _, b := range heartbeats[highestIncarnation] {
			if !b.After(at) {
				last = b
			}
		}
		if !last.IsZero() && at.Sub(last) >= 2*time.Second {
			return false
		}
	}
	return highestIncarnation > 0
}

// TestLivenessMatchesReference compares the liveness of a peer with
// [referenceAlive].
func TestLivenessMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := testConfig(1, "a")
		m := New(1, "a", 1, Options{ignorePause: true})
		m.SetBalancers(startTime, c.Balancers)
		id, highestIncarnation, now := c.Balancers[0].ID(), uint64(0), startTime
		heartbeats, ticks := map[uint64][]time.Time{}, []time.Time(nil)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(step * time.Duration(rapid.IntRange(1, 12).Draw(t, "gap")))
			if inc := rapid.Uint64Range(0, 6).Draw(t, "incarnation"); inc > 0 {
				m.ReceiveHeartbeat(now, Heartbeat{Node: id, Incarnation: inc})
				if highestIncarnation = max(highestIncarnation, inc); inc == highestIncarnation {
					heartbeats[inc] = append(heartbeats[inc], now)
				}
			}
			if rapid.Bool().Draw(t, "tick") {
				m.Tick(now)
				ticks = append(ticks, now)
				p, _ := m.Peer(id)
				require.Equal(t, referenceAlive(heartbeats, ticks, now), p.Alive)
			}
		}
	})
}

// TestDue guards against more heartbeats than the control budget covers.
func TestDue(t *testing.T) {
	f := newCluster(Options{}, "a", "a", "b")
	require.Len(t, f.nodes[0].HeartbeatsDue(f.now), 2, "the first ones are due at once")
	sent := map[string]int{}
	for range 100 {
		f.now = f.now.Add(step)
		for _, x := range f.nodes[0].HeartbeatsDue(f.now) {
			sent[f.nodes[0].peers[x.Node].Name]++
		}
	}
	assert.Equal(t, map[string]int{"lb-1": 20, "lb-2": 10}, sent)
}

// TestReject guards against an invalid configuration that is fetched again at
// each tick.
func TestReject(t *testing.T) {
	f := newCluster(Options{}, "a", "a")
	f.run(time.Second)
	h := f.nodes[1].OwnHeartbeat(f.now)
	h.Version.Revision = 3
	f.nodes[0].ReceiveHeartbeat(f.now, h)
	_, v, ok := f.nodes[0].FetchTarget(f.now)
	assert.True(t, ok && v.Revision == 3)
	_, _, ok = f.nodes[0].FetchTarget(f.now.Add(time.Second))
	assert.False(t, ok, "a fetch is in progress")
	_, _, ok = f.nodes[0].FetchTarget(f.now.Add(2 * time.Second))
	assert.True(t, ok)
	f.nodes[0].RejectVersion(v)
	_, _, ok = f.nodes[0].FetchTarget(f.now.Add(time.Minute))
	assert.False(t, ok)
	assert.False(t, f.nodes[0].ZonePeersHaveRevision(4))
}
