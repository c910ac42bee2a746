package bvload

import (
	"testing"
	"time"

	"balsamvane/bench/bvgroup"
	"balsamvane/core/bvconfig"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func runLoad(t *testing.T) (Counts, bvgroup.Traffic) {
	g, err := bvgroup.New(bvgroup.Shape{Zones: 2, Balancers: 4, Upstreams: []int{4, 2}})
	require.NoError(t, err)
	defer g.Close()
	g.Run(10 * time.Second)
	l := New(g, Options{Seed: 3, FlowsPerSecond: 200})
	l.Run(5 * time.Second)
	assert.Zero(t, l.CheckOpen())
	require.NoError(t, g.Err())
	return l.Counts, g.Members()[0].Traffic
}

// TestSameRun guards against results that differ between runs with the same
// seed, and against a workload whose flows are not placed.
func TestSameRun(t *testing.T) {
	c, traffic := runLoad(t)
	again, sameTraffic := runLoad(t)
	assert.Equal(t, c, again)
	assert.Equal(t, traffic, sameTraffic)
	assert.Equal(t, 1000, c.Placed)
	assert.Zero(t, c.Broken)
	assert.Positive(t, traffic.Sent.Heartbeat)
}

// TestImbalance guards against an imbalance that includes draining upstreams.
func TestImbalance(t *testing.T) {
	c := bvconfig.Config{Services: []bvconfig.Service{{Name: "s"}}}
	open := map[bvconfig.UpstreamID]int{}
	for i, n := range []int{10, 20, 90} {
		u := bvconfig.Upstream{Name: string(rune('a' + i)), Service: "s", Leaving: i == 2}
		c.Upstreams = append(c.Upstreams, u)
		open[u.ID()] = n
	}
	assert.InDelta(t, 20.0/15, Imbalance(c, open), 1e-9)
}
