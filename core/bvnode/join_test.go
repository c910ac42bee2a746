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

// TestPromise1JoinBeforeOtherZoneContacted guards against a joining balancer that
// becomes active before it has received a heartbeat of another zone. It treated
// that zone as failed and placed its flows in its own zone. The balancers of the
// other zone got no record of this and sent the next packets elsewhere.
func TestPromise1JoinBeforeOtherZoneContacted(t *testing.T) {
	run := func(disabled safeguard) int {
		g := newCluster(t, testConfig(1, 2, 3), disabled)
		g.run(8 * time.Second)
		g.requireActive()
		next := testConfig(2, 2, 3)
		next.Balancers = append(next.Balancers, bvconfig.Balancer{
			Name: "lb-a2", Zone: "a", Tunnel: address(1, 2), Control: address(2, 2),
		})
		g.addAddresses(next)
		g.platform = &next
		// The first heartbeats to the new balancer are sent before it runs.
		g.run(3 * TickInterval)
		g.start("lb-a2", "a")
		broken := 0
		for f := range 300 {
			if f%10 == 0 {
				g.run(TickInterval)
			}
			u, _ := g.send("lb-a2", packet(f, bvflow.PhaseOpening))
			if v := g.sendRetrying(packet(f, bvflow.PhaseEstablished)); u != 0 && v != u {
				broken++
			}
		}
		g.run(5 * time.Second)
		require.Equal(t, bvmember.StateActive, g.nodes["lb-a2"].members.State())
		return broken
	}
	assert.Zero(t, run(0))
	assert.NotZero(t, run(awaitUncontacted))
}
