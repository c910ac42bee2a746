package bvnode

import (
	"testing"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestPromise1JoinAfterZoneReturn guards against a balancer that computes other
// base picks than its peers because it joins after a zone was taken out of service
// and returned: the platform does not report that the zone was removed from the
// base list.
func TestPromise1JoinAfterZoneReturn(t *testing.T) {
	run := func(disabled safeguard) (differing, broken int) {
		c := testConfig(1, 3, 4)
		g := newCluster(t, c, disabled)
		g.run(8 * time.Second)
		withoutZone := withZoneState(c, 2, "b", true)
		g.platform = &withoutZone
		g.run(5 * time.Second)
		upstreamOf := map[int]bvconfig.UpstreamID{}
		g.openFlows(upstreamOf, 0, 300)
		back := withZoneState(c, 3, "b", false)
		g.platform = &back
		g.run(5 * time.Second)
		g.openFlows(upstreamOf, 300, 600)
		g.kill("lb-a1")
		g.run(6 * time.Second)
		g.start("lb-a1", "a")
		g.run(30 * time.Second)
		g.requireActive()
		for f := range upstreamOf {
			tuple := packet(f, bvflow.PhaseEstablished).Tuple
			if g.nodes["lb-a1"].Explain(g.now, tuple).BasePick != g.nodes["lb-a2"].Explain(g.now, tuple).BasePick {
				differing++
			}
		}
		return differing, g.brokenFlows(upstreamOf)
	}
	differing, broken := run(0)
	assert.Zero(t, differing)
	assert.Zero(t, broken)
	differing, _ = run(transferBaseRemovals)
	assert.NotZero(t, differing)
}

// sendHourly sends a packet of each flow every hour, as flows of the class feed do.
func (g *cluster) sendHourly(upstreamOf map[int]bvconfig.UpstreamID, hours int) {
	for range hours {
		g.run(time.Hour)
		for f := range len(upstreamOf) {
			g.sendRetrying(packet(f, bvflow.PhaseEstablished))
		}
	}
}

// TestPromise1BaseMoves guards against flows that break when the base revision
// moves: at a balancer without an entry of the flow, and while one node has moved
// and the others have not.
func TestPromise1BaseMoves(t *testing.T) {
	c := testConfig(1, 2, 5)
	g := newCluster(t, c, 0)
	g.run(8 * time.Second)
	upstreamOf := map[int]bvconfig.UpstreamID{}
	g.openFlows(upstreamOf, 0, 150)
	drained := withDraining(c, 2, 0, 1, 5)
	g.platform = &drained
	g.run(5 * time.Second)
	g.openFlows(upstreamOf, 150, 300)
	g.kill("lb-a0")
	g.run(6 * time.Second)
	g.sendHourly(upstreamOf, 5)
	require.Equal(t, uint64(1), g.nodes["lb-b0"].Dump(g.now).BaseRevision, "a published peer is missing")
	g.start("lb-a0", "a")
	g.sendHourly(upstreamOf, 5) // The new node has the revision for 4 h only after these hours.
	for name, n := range g.nodes {
		require.Equal(t, uint64(2), n.Dump(g.now).BaseRevision, name)
	}
	assert.Zero(t, g.brokenFlows(upstreamOf))
	g.kill("lb-a1")
	g.run(6 * time.Second)
	assert.Zero(t, g.brokenFlows(upstreamOf))
}
