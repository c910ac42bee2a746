package bvroute

import (
	"testing"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvmember"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// ownedBy returns a TCP flow that the node owns and whose base zone is the
// node's zone.
func (f *cluster) ownedBy(n *balancer) *flow {
	for i := 0; ; i++ {
		c := f.tcp(i)
		if x := n.router.Explain(f.now, c.Tuple); x.Owned && x.BaseZone == n.Zone {
			return c
		}
	}
}

// changeSnapshot sets the snapshot of one node, modified by change.
func (f *cluster) changeSnapshot(n *balancer, change func(*Snapshot)) {
	p := Snapshot{State: n.state, Config: n.config, Bases: n.bases}
	for _, o := range f.nodes {
		if o != n {
			p.Peers = append(p.Peers, Peer{
				ID: o.ID(), Zone: o.Zone, State: o.state, Tunnel: o.Tunnel, InSync: true, Version: o.config.Version,
			})
		}
	}
	change(&p)
	n.router.SetSnapshot(f.now, p)
}

func (f *cluster) route(n *balancer, c *flow, phase bvflow.Phase, payload int, t Trail) Decision {
	return n.router.Route(f.now, bvflow.Packet{Tuple: c.Tuple, Phase: phase, Payload: payload}, t, Record{})
}

// TestRouteDrops guards against forwarding a packet although its service is
// unknown, there is no configuration, or its trail is full.
func TestRouteDrops(t *testing.T) {
	f := newCluster(t, 4, 0)
	n := f.nodes[0]
	c := f.ownedBy(n)
	other := f.newFlow(1, address4(8, 8, 80), bvflow.ProtocolTCP)
	assert.Equal(t, ReasonUnknownService, f.route(n, other, bvflow.PhaseOpening, 0, Trail{}).Reason)
	empty := New(1, "a", Options{}, bvflow.NewTable(1, f.now, bvflow.DefaultLifetimes), n.limiter)
	assert.Equal(t, ReasonNotConfigured, empty.Route(f.now, bvflow.Packet{Tuple: c.Tuple}, Trail{}, Record{}).Reason)
	full := Trail{}.With(1).With(2).With(3)
	assert.Equal(t, ReasonTrailFull, f.route(f.nodes[2], c, bvflow.PhaseOpening, 0, full).Reason)
}

// TestRouteUnsyncedOwner guards against an owner that sends a flow to its base
// pick before it has received the exceptions of all peers.
func TestRouteUnsyncedOwner(t *testing.T) {
	f := newCluster(t, 4, 0)
	n := f.nodes[0]
	c := f.ownedBy(n)
	f.changeSnapshot(n, func(p *Snapshot) { p.Peers[3].InSync = false })
	d := f.route(n, c, bvflow.PhaseEstablished, 1, Trail{})
	assert.Equal(t, VerdictForward, d.Verdict)
	assert.Equal(t, f.nodes[4].ID(), d.Next)
	d = f.route(f.nodes[4], c, bvflow.PhaseEstablished, 1, d.Trail)
	assert.Equal(t, VerdictUpstream, d.Verdict, "the peer decides")
	f.changeSnapshot(n, func(p *Snapshot) { p.State = bvmember.StateJoining })
	d = f.route(n, c, bvflow.PhaseOpening, 0, Trail{})
	assert.Equal(t, VerdictForward, d.Verdict, "a joining node owns nothing")
}

// TestRouteZoneCutOff guards against two faults of a node that can't reach the
// balancers of a flow's zone: sending the flow to its base pick there, and
// sending a request to its own zone that may have been sent in the other one.
func TestRouteZoneCutOff(t *testing.T) {
	f := newCluster(t, 4, 0)
	c, n := f.ownedBy(f.nodes[0]), f.nodes[1]
	f.nodes = []*balancer{f.nodes[1], f.nodes[3]} // Zone b only.
	f.updateSnapshots()
	for _, o := range f.nodes {
		if o.router.Explain(f.now, c.Tuple).Owned {
			n = o
		}
	}
	assert.Equal(t, ReasonNoOwner, f.route(n, c, bvflow.PhaseEstablished, 1, Trail{}).Reason)
	assert.Equal(t, ReasonUncertainOpening, f.route(n, c, bvflow.PhaseOpening, 1, Trail{}).Reason)
	assert.NotEqual(t, VerdictDrop, f.route(n, c, bvflow.PhaseOpening, 0, Trail{}).Verdict, "no request in the packet")
}

// TestRouteLoad guards against new flows that go to an upstream with more open
// flows than the next one by both load margins, and against open-flow counts
// that drift.
func TestRouteLoad(t *testing.T) {
	f := newCluster(t, 4, 0)
	n := f.nodes[0]
	c := f.ownedBy(n)
	first := f.send(c, bvflow.PhaseOpening, 0).Upstream
	f.sendTo(n, c, bvflow.PhaseReset, 0)
	assert.Zero(t, n.limiter.open[first])
	for open, same := range map[int]bool{7: true, 8: false} {
		n.limiter.open[first] = open
		d := f.sendTo(n, c, bvflow.PhaseOpening, 0)
		require.Equal(t, VerdictUpstream, d.Verdict)
		assert.Equal(t, same, d.Upstream == first, "%d flows more", open)
		f.sendTo(n, c, bvflow.PhaseReset, 0)
		n.limiter.open = map[bvconfig.UpstreamID]int{}
	}
	f.open(c)
	f.advanceTime(3 * time.Hour)
	for u, open := range n.limiter.open {
		assert.Zero(t, open, "%s", f.upstreamNames[u])
	}
}
