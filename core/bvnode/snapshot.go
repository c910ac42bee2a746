package bvnode

import (
	"slices"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvfinding"
	"balsamvane/core/bvlimit"
	"balsamvane/core/bvmember"
	"balsamvane/core/bvroute"
)

// configFindings are the findings for the last configuration that was invalid
// or published twice with different contents.
type configFindings struct {
	version bvconfig.Version
	list    bvfinding.List
}

// offerConfig offers a configuration to the store. If it fails its checks, the
// accepted one stays in force.
func (n *Node) offerConfig(now time.Time, c bvconfig.Config) {
	before, configured := n.store.Current()
	if configured && !n.enabled(versionOrder) && c.Version != before.Version {
		n.store = bvconfig.NewStore(bvconfig.StoreOptions{Group: n.options.Group})
	}
	switch o := n.store.Offer(c, now).(type) {
	case bvconfig.Accepted:
		n.applyAccepted(now, before, c)
	case bvconfig.Conflict:
		n.findings = configFindings{version: o.Offered, list: conflictFinding(c)}
		if o.Adopted {
			n.applyAccepted(now, before, c)
		}
	case bvconfig.Invalid:
		n.findings = configFindings{version: o.Offered, list: o.Findings}
		n.members.RejectVersion(o.Offered)
	case bvconfig.Older, bvconfig.Same:
	}
}

func conflictFinding(c bvconfig.Config) bvfinding.List {
	var l bvfinding.List
	l.Add(bvfinding.Place{File: bvconfig.ManifestKey(c.Group)},
		"the revision has been published twice with different contents", "publish the intended configuration under a higher revision")
	return l
}

func (n *Node) applyAccepted(now time.Time, before, c bvconfig.Config) {
	if n.configuredAt.IsZero() {
		n.configuredAt, n.peerFailedAt = now, now
	}
	n.retire(before, c)
	n.members.SetBalancers(now, c.Balancers)
	listed := slices.ContainsFunc(c.Balancers, func(b bvconfig.Balancer) bool { return b.ID() == n.self })
	switch {
	case !listed:
		n.firstListedRevision = 0
	case n.firstListedRevision == 0:
		n.firstListedRevision = c.Version.Revision
	}
	n.snapshotOutdated = true
}

// retire keeps upstreams that the configuration no longer has. They continue to
// serve their flows until their VM is removed.
func (n *Node) retire(before, c bvconfig.Config) {
	for _, u := range before.Upstreams {
		n.retired[u.ID()] = u
	}
	for _, u := range c.Upstreams {
		delete(n.retired, u.ID())
	}
	n.dropRemovedVMs()
}

func (n *Node) updateVMs(l VMListRead) {
	n.vms, n.vmsComplete = make(map[string]VMState, len(l.VMs)), l.Unnamed == 0
	for _, v := range l.VMs {
		n.vms[v.Name] = v.State
	}
	before := len(n.retired)
	n.dropRemovedVMs()
	n.snapshotOutdated = n.snapshotOutdated || len(n.retired) != before
}

// dropRemovedVMs drops retired upstreams whose VM is removed. The list of VMs
// lags behind, so it only applies to upstreams that the configuration has also
// removed.
func (n *Node) dropRemovedVMs() {
	for id, u := range n.retired {
		if s, listed := n.vms[u.Name]; s == VMRemoved || !listed && n.vmsComplete {
			delete(n.retired, id)
		}
	}
}

// compileSnapshot builds the snapshot from which the router decides, and returns
// the resulting actions.
func (n *Node) compileSnapshot(now time.Time) []Action {
	c, ok := n.store.Current()
	if !ok {
		return nil
	}
	c = n.withoutDisabledSafeguards(c)
	n.adoptLowestBase()
	base, _ := n.store.Base()
	n.members.SetVersion(c.Version, base.Config.Version.Revision)
	n.store.Prune(n.members.LowestBase())
	n.pruneBaseRemovals()
	p := bvroute.Snapshot{State: n.members.State(), Bootstrapping: n.bootstrapping(), Config: c, Bases: n.basesInUse(base)}
	for _, u := range n.retired {
		p.Retired = append(p.Retired, u)
	}
	slices.SortFunc(p.Retired, func(a, b bvconfig.Upstream) int { return compareIDs(a.ID(), b.ID()) })
	for _, m := range n.members.Peers() {
		if m.Alive {
			p.Peers = append(p.Peers, bvroute.Peer{
				ID: m.Node, Zone: m.Zone, State: m.State, Tunnel: m.Tunnel, InSync: m.InSync,
				Version: m.Version,
			})
		}
	}
	n.router.SetSnapshot(now, p)
	n.limiter.SetUpstreams(now, n.options.Zone, bvlimit.UpstreamsOf(c, n.options.Zone), n.shareCount(now))
	return []Action{n.probes(c)}
}

// shareCount returns the number of balancers that share the limits of the zone's
// upstreams.
func (n *Node) shareCount(now time.Time) int {
	if !n.enabled(fixedShares) {
		return len(n.members.Active(n.options.Zone))
	}
	return n.store.CountBalancers(now, n.options.Zone)
}

func compareIDs(a, b bvconfig.UpstreamID) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// probes returns the upstreams that this node probes: those of its own zone,
// since only balancers of the zone place flows on them.
func (n *Node) probes(c bvconfig.Config) SetProbes {
	var s SetProbes
	for _, u := range c.Upstreams {
		if u.Zone == n.options.Zone && u.Health.IsValid() {
			s.Upstreams = append(s.Upstreams, u)
		}
	}
	return s
}

// bootstrapping reports whether the whole group has started together. The result
// is fixed when the node becomes active, since peers that appear later don't
// show what happened before.
func (n *Node) bootstrapping() bool {
	if n.members.State() == bvmember.StateJoining {
		n.bootstrapped = n.members.Bootstrapping()
	}
	return n.bootstrapped
}
