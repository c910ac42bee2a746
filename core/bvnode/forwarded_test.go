package bvnode

import (
	"testing"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvmember"
	"balsamvane/core/bvroute"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestPromise1OpeningAfterPause guards against an opening that is placed in two
// zones. The only other balancer of the zone forwards it to a paused balancer,
// where it waits in the socket. If that one forwards it to another zone after the
// pause, it is placed there, while its retransmission is placed in the right zone.
func TestPromise1OpeningAfterPause(t *testing.T) {
	g := newCluster(t, testConfig(1, 2, 3), 0)
	g.run(8 * time.Second)
	g.requireActive()
	g.paused["lb-a0"] = true
	g.run(1500 * time.Millisecond)
	n := g.nodes["lb-a0"]
	// The node has detected the pause and has the platform's answer, but no records
	// of its peers yet.
	n.Handle(g.now, Tick{})
	n.Handle(g.now, PlatformContacted{Token: n.lastToken})
	require.Equal(t, bvmember.StateJoining, n.members.State())
	inA := 0
	for f := range 200 {
		p := packet(f, bvflow.PhaseOpening)
		if n.Explain(g.now, p.Tuple).PlacingZone != "a" {
			continue
		}
		inA++
		d := n.Packet(g.now, p, bvroute.Trail{}, bvroute.Record{})
		assert.Equal(t, bvconfig.NodeIDOf("lb-a1"), d.Next, "flow %d from the fabric", f)
		d = n.Packet(g.now, p, bvroute.Trail{}.With(bvconfig.NodeIDOf("lb-a1")), bvroute.Record{})
		assert.Equal(t, bvroute.VerdictDrop, d.Verdict, "flow %d from lb-a1", f)
	}
	assert.NotZero(t, inA)
}
