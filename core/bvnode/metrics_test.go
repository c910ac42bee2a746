package bvnode

import (
	"testing"
	"time"

	"balsamvane/core/bvconfig"

	"github.com/stretchr/testify/assert"
)

// TestMetrics guards against alerts on wrong metrics.
func TestMetrics(t *testing.T) {
	g := newCluster(t, testConfig(1, 2, 3), 0)
	g.run(8 * time.Second)
	upstreamOf := map[int]bvconfig.UpstreamID{}
	g.openFlows(upstreamOf, 0, 100)
	m := g.nodes["lb-a0"].Metrics(g.now)
	assert.Equal(t, uint64(1), m.Revision)
	assert.True(t, m.Active)
	assert.Equal(t, 3, m.PeersAlive)
	assert.Less(t, m.PlatformAge, time.Second)
	assert.Positive(t, m.Flows)
	open, largest := 0, 0
	for _, u := range g.nodes["lb-a0"].Dump(g.now).Upstreams {
		if u.Zone == "a" {
			open, largest = open+u.OpenFlows, max(largest, u.OpenFlows)
		}
	}
	assert.InDelta(t, float64(3*largest)/float64(open), m.Imbalance, 1e-9)
	assert.Zero(t, newCluster(t, testConfig(1, 1, 1), 0).nodes["lb-a0"].Metrics(startTime).Imbalance)
}
