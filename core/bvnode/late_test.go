package bvnode

import (
	"testing"
	"time"

	"balsamvane/core/bvflow"
	"balsamvane/core/bvroute"

	"github.com/stretchr/testify/assert"
)

// TestOpeningsReadLate guards against callers that are refused after a balancer
// stood still: openings and their copies wait together in its sockets, and the
// copies count as retransmissions that warm upstreams left unanswered.
func TestOpeningsReadLate(t *testing.T) {
	c := testConfig(1, 1, 3)
	c.Services[0].ColdFlowsPerSecond, c.Services[0].WarmUp = 1, 10*time.Second
	g := newCluster(t, c, 0)
	g.run(20 * time.Second)
	g.requireActive()
	stoodStill := g.now
	g.now = g.now.Add(700 * time.Millisecond)
	const flows = 40
	open := func(flow int) bvroute.Reason {
		p := packet(flow, bvflow.PhaseOpening)
		p.ArrivedAfter = stoodStill
		_, reason := g.send("lb-a0", p)
		return reason
	}
	refused := 0
	for i := range flows {
		for range 2 {
			if open(i) != bvroute.ReasonNone {
				refused++
			}
		}
	}
	g.run(200 * time.Millisecond)
	for i := range flows {
		if open(flows+i) != bvroute.ReasonNone {
			refused++
		}
	}
	assert.Zero(t, refused, "openings that warm upstreams do not get")
}
