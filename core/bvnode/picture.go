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

// bvconfigFindings is what the last configuration that was refused, or
// published twice, had wrong.
type bvconfigFindings struct {
	version bvconfig.Version
	list    bvfinding.List
}

// offer takes a configuration. One that fails its checks leaves the accepted
// one in force.
func (n *Node) offer(now time.Time, c bvconfig.Config) {
	before, known := n.store.Current()
	if known && !n.enabled(versionOrder) && c.Version != before.Version {
		n.store = bvconfig.NewStore(bvconfig.StoreOptions{Group: n.options.Group})
	}
	switch o := n.store.Offer(c, now).(type) {
	case bvconfig.Accepted:
		n.accepted(now, before, c)
	case bvconfig.Conflict:
		n.findings = bvconfigFindings{version: o.Offered, list: conflictFinding(c)}
		if o.Adopted {
			n.accepted(now, before, c)
		}
	case bvconfig.Invalid:
		n.findings = bvconfigFindings{version: o.Offered, list: o.Findings}
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

func (n *Node) accepted(now time.Time, before, c bvconfig.Config) {
	if n.knownSince.IsZero() {
		n.knownSince, n.lostAt = now, now
	}
	n.retire(before, c)
	n.members.SetBalancers(now, c.Balancers)
	listed := slices.ContainsFunc(c.Balancers, func(b bvconfig.Balancer) bool { return b.ID() == n.self })
	switch {
	case !listed:
		n.listedAt = 0
	case n.listedAt == 0:
		n.listedAt = c.Version.Revision
	}
	n.stale = true
}

// retire remembers upstreams that the configuration no longer has. They go on
// serving their flows until their VM is gone.
func (n *Node) retire(before, c bvconfig.Config) {
	for _, u := range before.Upstreams {
		n.retired[u.ID()] = u
	}
	for _, u := range c.Upstreams {
		delete(n.retired, u.ID())
	}
	n.forgetGone()
}

func (n *Node) readVMs(vms []VM) {
	n.vms = make(map[string]VMState, len(vms))
	for _, v := range vms {
		n.vms[v.Name] = v.State
	}
	before := len(n.retired)
	n.forgetGone()
	n.stale = n.stale || len(n.retired) != before
}

// forgetGone drops retired upstreams whose VM is gone. The list of VMs lags,
// so it is believed only where the register agrees.
func (n *Node) forgetGone() {
	for id, u := range n.retired {
		if s, ok := n.vms[u.Name]; n.vms != nil && (!ok || s == VMRemoved) {
			delete(n.retired, id)
		}
	}
}

// compile builds the picture on which the router decides, and returns the
// actions that follow from it.
func (n *Node) compile(now time.Time) []Action {
	c, ok := n.store.Current()
	if !ok {
		return nil
	}
	c = n.unguarded(c)
	n.adoptLowestBase()
	base, _ := n.store.Base()
	n.members.SetVersion(c.Version, base.Config.Version.Revision)
	n.store.Prune(n.members.LowestBase())
	n.forgetLeft()
	p := bvroute.Picture{State: n.members.State(), Founding: n.founding(), Config: c, Bases: n.basesInUse(base)}
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
	n.router.SetPicture(now, p)
	n.limiter.SetUpstreams(now, n.options.Zone, bvlimit.UpstreamsOf(c, n.options.Zone), n.sharers(now))
	return []Action{n.probes(c)}
}

// sharers returns the number of balancers that share the limits of the zone's
// upstreams.
func (n *Node) sharers(now time.Time) int {
	if !n.enabled(fixedShares) {
		return len(n.members.Active(n.options.Zone))
	}
	return n.store.Balancers(now, n.options.Zone)
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

// founding reports whether the group has started together with this node. It
// is decided when the node becomes active, since later peers say nothing of
// the time before.
func (n *Node) founding() bool {
	if n.members.State() == bvmember.StateJoining {
		n.founded = n.members.Bootstrapping()
	}
	return n.founded
}
