package bvnode

import (
	"time"

	"balsamvane/core/bvmember"
)

// Metrics are the values that a node exports as metrics.
type Metrics struct {
	Revision     uint64
	BaseRevision uint64
	Active       bool
	ConfigAge    time.Duration // Since the configuration came into force here.
	PlatformAge  time.Duration // Since the last contact with the platform; [bvmember.NoContact] if none.
	Flows        int
	PeersAlive   int
	// Imbalance is, for the service with the highest value, the largest number of
	// open flows of an upstream divided by the mean over the service's upstreams.
	// It covers the upstreams of the node's zone that are not draining, counts the
	// flows that this node owns, and is 0 without any.
	Imbalance float64
}

// Metrics returns the node's metrics.
func (n *Node) Metrics(now time.Time) Metrics {
	h := n.members.OwnHeartbeat(now)
	m := Metrics{
		Revision: h.Version.Revision, BaseRevision: h.BaseRevision, Active: h.State == bvmember.StateActive,
		PlatformAge: h.PlatformAge, Flows: n.table.Len(), Imbalance: n.imbalance(),
	}
	if g, ok := n.store.At(m.Revision); ok {
		m.ConfigAge = now.Sub(g.Since)
	}
	for _, p := range n.members.Peers() {
		if p.Alive {
			m.PeersAlive++
		}
	}
	return m
}

func (n *Node) imbalance() float64 {
	type serviceLoad struct{ upstreams, open, largest int }
	loads := map[string]serviceLoad{}
	c, _ := n.store.Current()
	for _, u := range c.Upstreams {
		if u.Zone != n.options.Zone || u.Leaving {
			continue
		}
		l, open := loads[u.Service], n.limiter.OpenFlows(u.ID())
		loads[u.Service] = serviceLoad{l.upstreams + 1, l.open + open, max(l.largest, open)}
	}
	highest := 0.0
	for _, l := range loads {
		if l.open > 0 {
			highest = max(highest, float64(l.largest*l.upstreams)/float64(l.open))
		}
	}
	return highest
}
