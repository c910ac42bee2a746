package bvnode

import (
	"testing"
	"time"

	"balsamvane/core/bvconfig"

	"github.com/stretchr/testify/assert"
)

// TestMeasures guards against alerts on wrong figures.
func TestMeasures(t *testing.T) {
	g := newGroup(t, sample(1, 2, 3), 0)
	g.run(8 * time.Second)
	at := map[int]bvconfig.UpstreamID{}
	g.open(at, 0, 100)
	m := g.nodes["lb-a0"].Metrics(g.now)
	assert.Equal(t, uint64(1), m.Revision)
	assert.True(t, m.Active)
	assert.Equal(t, 3, m.PeersAlive)
	assert.Less(t, m.PlatformAge, time.Second)
	assert.Positive(t, m.Flows)
	open, most := 0, 0
	for _, u := range g.nodes["lb-a0"].Dump(g.now).Upstreams {
		if u.Zone == "a" {
			open, most = open+u.OpenFlows, max(most, u.OpenFlows)
		}
	}
	assert.InDelta(t, float64(3*most)/float64(open), m.Imbalance, 1e-9)
	assert.Zero(t, newGroup(t, sample(1, 1, 1), 0).nodes["lb-a0"].Metrics(start).Imbalance)
}
