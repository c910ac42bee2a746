package bvroute

import (
	"maps"
	"net/netip"
	"slices"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvmember"
)

// Snapshot is all that the decision depends on besides the flow table and the
// limits. The router copies what it needs.
type Snapshot struct {
	// State is this node's own state.
	State bvmember.State
	// Bootstrapping tells that this node has started together with the whole group,
	// so that no request can have been sent before.
	Bootstrapping bool
	Config        bvconfig.Config
	// Bases are the base revisions in use. The first one gives the base
	// picks; a flow that differs from the pick at any of them is an exception.
	Bases []Base
	// RemovedUpstreams are upstreams whose VM or address is no longer theirs, in addition
	// to those that the router finds by their zone and address.
	RemovedUpstreams []bvconfig.UpstreamID
	// Retired are upstreams that the configuration no longer has but that
	// still serve their flows.
	Retired []bvconfig.Upstream
	// Peers are the other live balancers of the group.
	Peers []Peer
}

// Base is an upstream list that gives base picks. Upstreams holds the whole
// list of the revision, with those that have gone since: their weight stays
// in the sum of their zone, since a change of the sum would move the base
// picks of other upstreams' flows.
//
// ZonesOut and Gone are what has left the list so far. The router adds to them
// what it sees itself, and nothing comes back when a zone returns: flows that
// were placed meanwhile count as base picks of the reduced list. A joining
// node takes them from a peer's [Router.Bases].
type Base struct {
	Revision         uint64
	Upstreams        []bvconfig.Upstream
	RemovedZones     []string
	RemovedUpstreams []bvconfig.UpstreamID
}

// Bases returns the base revisions of the picture, with all that has left
// their lists.
func (r *Router) Bases() []Base {
	bases := slices.Clone(r.bases)
	for i := range bases {
		m := r.removed.of(bases[i].Revision)
		bases[i].RemovedZones = slices.Sorted(maps.Keys(m.zones))
		bases[i].RemovedUpstreams = slices.Sorted(maps.Keys(m.upstreams))
	}
	return bases
}

// Peer is a live balancer.
type Peer struct {
	ID     bvconfig.NodeID
	Zone   string
	State  bvmember.State
	Tunnel netip.AddrPort
	// InSync tells that this node has all exceptions that the peer had for it.
	InSync bool
	// Version is that of the configuration which the peer runs.
	Version bvconfig.Version
}
