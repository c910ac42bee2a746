package bvnode

import (
	"testing"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvmember"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// open opens flows [from, to) and returns where they are.
func (g *group) open(at map[int]bvconfig.UpstreamID, from, to int) {
	for f := from; f < to; f++ {
		u := g.spray(packet(f, bvflow.PhaseOpening))
		require.NotZero(g.t, u, "flow %d was not placed", f)
		at[f] = u
	}
}

// broken returns the number of flows whose packets reach another upstream
// than before, from any balancer.
func (g *group) broken(at map[int]bvconfig.UpstreamID) int {
	broken := 0
	for f := range len(at) {
		for range 3 {
			if u := g.spray(packet(f, bvflow.PhaseEstablished)); u != at[f] {
				broken++
				break
			}
		}
	}
	return broken
}

func drain(c bvconfig.Config, revision uint64, upstreams ...int) bvconfig.Config {
	c.Version = bvconfig.Version{Revision: revision, Hash: [32]byte{byte(revision)}}
	c.Upstreams = append([]bvconfig.Upstream(nil), c.Upstreams...)
	for _, i := range upstreams {
		c.Upstreams[i].Leaving = true
	}
	return c
}

func zoneOut(c bvconfig.Config, revision uint64, zone string, out bool) bvconfig.Config {
	c.Version = bvconfig.Version{Revision: revision, Hash: [32]byte{byte(revision)}}
	c.Zones = append([]bvconfig.Zone(nil), c.Zones...)
	for i := range c.Zones {
		if c.Zones[i].Name == zone {
			c.Zones[i].OutOfService = out
		}
	}
	return c
}

// TestPromise1ChangesTogether guards against flows that break when a balancer
// dies, another joins, an upstream drains, and a configuration has reached
// half of the group, all together. Without the transfer of records the joining
// balancer takes base picks for exceptions.
func TestPromise1ChangesTogether(t *testing.T) {
	run := func(disabled safeguard) int {
		c := sample(1, 3, 7)
		g := newGroup(t, c, disabled)
		g.run(8 * time.Second)
		g.requireActive()
		at := map[int]bvconfig.UpstreamID{}
		g.open(at, 0, 300)
		drained := drain(c, 2, 0, 1, 2, 8)
		for _, n := range g.names[:3] {
			g.stale[n] = &c
		}
		g.platform = &drained
		g.run(200 * time.Millisecond)
		g.open(at, 300, 900)
		g.kill("lb-a1")
		g.run(3 * time.Second)
		g.open(at, 900, 1500)
		g.start("lb-a1", "a")
		for range 600 {
			if g.nodes["lb-a1"].members.State() == bvmember.StateActive {
				return g.broken(at)
			}
			g.run(TickInterval)
		}
		require.FailNow(t, "the new balancer did not become active within 60 s")
		return 0
	}
	assert.Zero(t, run(0))
	assert.NotZero(t, run(recordTransfer))
}

// TestPromise4PausedNode guards against a balancer that wakes with an old
// picture and sends packets to a zone that was taken out meanwhile.
func TestPromise4PausedNode(t *testing.T) {
	run := func(disabled safeguard) (sent int) {
		c := sample(1, 2, 3)
		g := newGroup(t, c, disabled)
		g.run(8 * time.Second)
		at := map[int]bvconfig.UpstreamID{}
		g.open(at, 0, 60)
		g.paused["lb-a0"] = true
		out := zoneOut(c, 2, "a", true)
		g.platform = &out
		g.run(10 * time.Second)
		g.paused["lb-a0"] = false
		inA := map[bvconfig.UpstreamID]bool{}
		for _, u := range c.Upstreams {
			inA[u.ID()] = u.Zone == "a"
		}
		// The first packets come before the first tick.
		for f := range 60 {
			if u, _ := g.send("lb-a0", packet(f, bvflow.PhaseEstablished)); inA[u] {
				sent++
			}
		}
		g.run(300 * time.Millisecond)
		for f := range 60 {
			if u, _ := g.send("lb-a0", packet(f, bvflow.PhaseEstablished)); inA[u] {
				sent++
			}
		}
		return sent
	}
	assert.Zero(t, run(0))
	assert.NotZero(t, run(refreshAfterPause))
}

// TestPromise4CutOffFromPlatform guards against a balancer that cannot reach
// the platform and goes on with an old picture although a peer has a newer
// one.
func TestPromise4CutOffFromPlatform(t *testing.T) {
	run := func(disabled safeguard) uint64 {
		c := sample(1, 2, 3)
		g := newGroup(t, c, disabled)
		g.run(8 * time.Second)
		g.cut = func(from, to string) bool { return to == "platform" && from[:4] == "lb-a" }
		out := zoneOut(c, 2, "a", true)
		g.platform = &out
		g.run(4 * time.Second)
		return g.nodes["lb-a0"].store.Version().Revision
	}
	assert.Equal(t, uint64(2), run(0))
	assert.Equal(t, uint64(1), run(learnFromPeers))
}

// TestPromise10RestartWithStalePlatform guards against a restarted balancer
// that reads a stale replica of the platform and decides by it although its
// peers run a newer revision.
func TestPromise10RestartWithStalePlatform(t *testing.T) {
	run := func(disabled safeguard) (state string, revision uint64) {
		c := sample(1, 2, 3)
		newer := zoneOut(c, 2, "b", true)
		g := newGroup(t, newer, disabled)
		g.run(8 * time.Second)
		g.stale["lb-a0"] = &c
		g.start("lb-a0", "a")
		g.run(10 * time.Second)
		n := g.nodes["lb-a0"]
		return n.members.State().String(), n.store.Version().Revision
	}
	state, revision := run(0)
	assert.Equal(t, "active", state)
	assert.Equal(t, uint64(2), revision)
	state, revision = run(learnFromPeers)
	assert.Equal(t, "joining", state, "a node with an older revision than its peers must not decide")
	assert.Equal(t, uint64(1), revision)
}

// TestPromise9PlannedStop guards against flows that break when balancers are
// stopped one after the other, exceptions of idle flows included.
func TestPromise9PlannedStop(t *testing.T) {
	c := sample(1, 3, 7)
	g := newGroup(t, c, 0)
	g.run(8 * time.Second)
	at := map[int]bvconfig.UpstreamID{}
	g.open(at, 0, 200)
	drained := drain(c, 2, 0, 1, 2, 7, 8)
	g.platform = &drained
	g.run(3 * time.Second)
	g.open(at, 200, 400)
	for _, n := range []string{"lb-a0", "lb-a1", "lb-b0", "lb-b1"} {
		g.handle(n, StopRequested{})
		g.run(30 * time.Second)
		require.Contains(t, g.stopped, n)
		assert.Zero(t, g.stopped[n].Unpushed, n)
	}
	assert.Zero(t, g.broken(at))
}

// TestSeedBootstrap guards against a replaced balancer that cannot start
// while the platform does not answer.
func TestSeedBootstrap(t *testing.T) {
	c := sample(1, 2, 3)
	g := newGroup(t, c, 0)
	g.run(8 * time.Second)
	g.platform = nil
	g.start("lb-a0", "a")
	g.nodes["lb-a0"].options.Seeds = append(g.nodes["lb-a0"].options.Seeds, c.Balancers[1].Control)
	g.run(10 * time.Second)
	g.requireActive()
}
