package bvroute

import (
	"maps"
	"net/netip"
	"slices"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvmember"
)

// Snapshot is the configuration and membership that decisions are made from,
// besides the flow table and the limits. The router copies what it needs.
type Snapshot struct {
	// State is this node's own state.
	State bvmember.State
	// Bootstrapping reports whether the whole group started together with this
	// node, so that no request can have been sent before.
	Bootstrapping bool
	Config        bvconfig.Config
	// Bases are the base revisions in use. The first one determines the base
	// picks. A flow whose upstream differs from its pick at any of them is an
	// exception.
	Bases []Base
	// RemovedUpstreams are upstreams that have lost their VM or address, in
	// addition to those that the router detects by their zone and address.
	RemovedUpstreams []bvconfig.UpstreamID
	// Retired are upstreams that are no longer in the configuration but still
	// serve their flows.
	Retired []bvconfig.Upstream
	// Peers are the other live balancers of the group.
	Peers []Peer
}

// Base is an upstream list that determines base picks. Upstreams is the whole
// list of the revision, including upstreams removed since. Their weight still
// counts for their zone: a lower zone weight would move the base picks of
// other upstreams' flows.
//
// RemovedZones and RemovedUpstreams have been removed from the list so far. The
// router adds the removals that it detects. A zone that returns is not restored,
// because flows placed during its absence count as base picks of the reduced
// list. A joining node copies both fields from a peer's [Router.Bases].
type Base struct {
	Revision         uint64
	Upstreams        []bvconfig.Upstream
	RemovedZones     []string
	RemovedUpstreams []bvconfig.UpstreamID
}

// Bases returns the base revisions of the snapshot, with all zones and
// upstreams removed from their lists.
func (r *Router) Bases() []Base {
	bases := slices.Clone(r.bases)
	for i := range bases {
		m := r.removed.forRevision(bases[i].Revision)
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
	// InSync reports whether this node has received all exceptions that the
	// peer had for it.
	InSync bool
	// Version is the version of the peer's configuration.
	Version bvconfig.Version
}
