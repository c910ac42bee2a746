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

// openFlows opens flows [from, to) and stores their upstreams in upstreamOf.
func (g *cluster) openFlows(upstreamOf map[int]bvconfig.UpstreamID, from, to int) {
	for f := from; f < to; f++ {
		u := g.sendRetrying(packet(f, bvflow.PhaseOpening))
		require.NotZero(g.t, u, "flow %d was not placed", f)
		upstreamOf[f] = u
	}
}

// brokenFlows returns the number of flows whose packets, from any balancer, don't
// reach the upstream in upstreamOf.
func (g *cluster) brokenFlows(upstreamOf map[int]bvconfig.UpstreamID) int {
	broken := 0
	for f := range len(upstreamOf) {
		for range 3 {
			if u := g.sendRetrying(packet(f, bvflow.PhaseEstablished)); u != upstreamOf[f] {
				broken++
				break
			}
		}
	}
	return broken
}

func withDraining(c bvconfig.Config, revision uint64, upstreams ...int) bvconfig.Config {
	c.Version = bvconfig.Version{Revision: revision, Hash: [32]byte{byte(revision)}}
	c.Upstreams = append([]bvconfig.Upstream(nil), c.Upstreams...)
	for _, i := range upstreams {
		c.Upstreams[i].Leaving = true
	}
	return c
}

func withZoneState(c bvconfig.Config, revision uint64, zone string, out bool) bvconfig.Config {
	c.Version = bvconfig.Version{Revision: revision, Hash: [32]byte{byte(revision)}}
	c.Zones = append([]bvconfig.Zone(nil), c.Zones...)
	for i := range c.Zones {
		if c.Zones[i].Name == zone {
			c.Zones[i].OutOfService = out
		}
	}
	return c
}

// TestPromise1ChangesTogether guards against flows that break when several
// changes coincide: a balancer fails, another joins, an upstream drains, and a
// configuration has reached half of the group. Without the transfer of records
// the joining balancer sends flows with exceptions to their base picks.
func TestPromise1ChangesTogether(t *testing.T) {
	run := func(disabled safeguard) int {
		c := testConfig(1, 3, 7)
		g := newCluster(t, c, disabled)
		g.run(8 * time.Second)
		g.requireActive()
		upstreamOf := map[int]bvconfig.UpstreamID{}
		g.openFlows(upstreamOf, 0, 300)
		drained := withDraining(c, 2, 0, 1, 2, 8)
		for _, n := range g.names[:3] {
			g.staleReplica[n] = &c
		}
		g.platform = &drained
		g.run(200 * time.Millisecond)
		g.openFlows(upstreamOf, 300, 900)
		g.kill("lb-a1")
		g.run(3 * time.Second)
		g.openFlows(upstreamOf, 900, 1500)
		g.start("lb-a1", "a")
		for range 600 {
			if g.nodes["lb-a1"].members.State() == bvmember.StateActive {
				return g.brokenFlows(upstreamOf)
			}
			g.run(TickInterval)
		}
		require.FailNow(t, "the new balancer did not become active within 60 s")
		return 0
	}
	assert.Zero(t, run(0))
	assert.NotZero(t, run(recordTransfer))
}

// TestPromise4PausedNode guards against a balancer that resumes with an old
// snapshot and sends packets to a zone that was taken out of service meanwhile.
func TestPromise4PausedNode(t *testing.T) {
	run := func(disabled safeguard) (toZoneOutOfService int) {
		c := testConfig(1, 2, 3)
		g := newCluster(t, c, disabled)
		g.run(8 * time.Second)
		upstreamOf := map[int]bvconfig.UpstreamID{}
		g.openFlows(upstreamOf, 0, 60)
		g.paused["lb-a0"] = true
		withoutZone := withZoneState(c, 2, "a", true)
		g.platform = &withoutZone
		g.run(10 * time.Second)
		g.paused["lb-a0"] = false
		inA := map[bvconfig.UpstreamID]bool{}
		for _, u := range c.Upstreams {
			inA[u.ID()] = u.Zone == "a"
		}
		// The first packets arrive before the first tick.
		for f := range 60 {
			if u, _ := g.send("lb-a0", packet(f, bvflow.PhaseEstablished)); inA[u] {
				toZoneOutOfService++
			}
		}
		g.run(300 * time.Millisecond)
		for f := range 60 {
			if u, _ := g.send("lb-a0", packet(f, bvflow.PhaseEstablished)); inA[u] {
				toZoneOutOfService++
			}
		}
		return toZoneOutOfService
	}
	assert.Zero(t, run(0))
	assert.NotZero(t, run(refreshAfterPause))
}

// TestPromise4CutOffFromPlatform guards against a balancer that cannot reach
// the platform and keeps using an old configuration although a peer has a newer
// one.
func TestPromise4CutOffFromPlatform(t *testing.T) {
	run := func(disabled safeguard) uint64 {
		c := testConfig(1, 2, 3)
		g := newCluster(t, c, disabled)
		g.run(8 * time.Second)
		g.linkDown = func(from, to string) bool { return to == "platform" && from[:4] == "lb-a" }
		withoutZone := withZoneState(c, 2, "a", true)
		g.platform = &withoutZone
		g.run(4 * time.Second)
		return g.nodes["lb-a0"].store.Version().Revision
	}
	assert.Equal(t, uint64(2), run(0))
	assert.Equal(t, uint64(1), run(fetchFromPeers))
}

// TestPromise10RestartWithStalePlatform guards against a restarted balancer
// that reads a stale replica of the platform and makes decisions with it although
// its peers run a newer revision.
func TestPromise10RestartWithStalePlatform(t *testing.T) {
	run := func(disabled safeguard) (state string, revision uint64) {
		c := testConfig(1, 2, 3)
		newer := withZoneState(c, 2, "b", true)
		g := newCluster(t, newer, disabled)
		g.run(8 * time.Second)
		g.staleReplica["lb-a0"] = &c
		g.start("lb-a0", "a")
		g.run(10 * time.Second)
		n := g.nodes["lb-a0"]
		return n.members.State().String(), n.store.Version().Revision
	}
	state, revision := run(0)
	assert.Equal(t, "active", state)
	assert.Equal(t, uint64(2), revision)
	state, revision = run(fetchFromPeers)
	assert.Equal(t, "joining", state, "a node with an older revision than its peers must not decide")
	assert.Equal(t, uint64(1), revision)
}

// TestPromise9PlannedStop guards against flows that break when balancers are
// stopped one after the other, exceptions of idle flows included.
func TestPromise9PlannedStop(t *testing.T) {
	c := testConfig(1, 3, 7)
	g := newCluster(t, c, 0)
	g.run(8 * time.Second)
	upstreamOf := map[int]bvconfig.UpstreamID{}
	g.openFlows(upstreamOf, 0, 200)
	drained := withDraining(c, 2, 0, 1, 2, 7, 8)
	g.platform = &drained
	g.run(3 * time.Second)
	g.openFlows(upstreamOf, 200, 400)
	for _, n := range []string{"lb-a0", "lb-a1", "lb-b0", "lb-b1"} {
		g.handle(n, StopRequested{})
		g.run(30 * time.Second)
		require.Contains(t, g.stopped, n)
		assert.Zero(t, g.stopped[n].Unpushed, n)
	}
	assert.Zero(t, g.brokenFlows(upstreamOf))
}

// TestSeedBootstrap guards against a replaced balancer that cannot start
// while the platform does not answer.
func TestSeedBootstrap(t *testing.T) {
	c := testConfig(1, 2, 3)
	g := newCluster(t, c, 0)
	g.run(8 * time.Second)
	g.platform = nil
	g.start("lb-a0", "a")
	g.nodes["lb-a0"].options.Seeds = append(g.nodes["lb-a0"].options.Seeds, c.Balancers[1].Control)
	g.run(10 * time.Second)
	g.requireActive()
}
