package bvnode

import (
	"slices"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvmember"
	"balsamvane/core/bvroute"
)

// BaseRemovals is what has left the upstream lists of a base revision. A joining
// node has to know it, since what has left does not come back when a zone
// returns.
type BaseRemovals struct {
	Revision          uint64
	ZonesOutOfService []string
	RemovedUpstreams  []bvconfig.UpstreamID
}

// leftBases returns what has left the bases in use.
func (n *Node) leftBases() []BaseRemovals {
	var l []BaseRemovals
	for _, b := range n.router.Bases() {
		if len(b.ZonesOut)+len(b.Gone) > 0 {
			l = append(l, BaseRemovals{Revision: b.Revision, ZonesOutOfService: b.ZonesOut, RemovedUpstreams: b.Gone})
		}
	}
	return l
}

// learnLeft takes from a peer what has left its bases.
func (n *Node) learnLeft(ls []BaseRemovals) {
	for _, l := range ls {
		known := n.left[l.Revision]
		known.Revision = l.Revision
		known.ZonesOutOfService = union(known.ZonesOutOfService, l.ZonesOutOfService)
		known.RemovedUpstreams = union(known.RemovedUpstreams, l.RemovedUpstreams)
		n.left[l.Revision] = known
	}
}

// forgetLeft drops what is known of revisions that are no base any more.
func (n *Node) forgetLeft() {
	for r := range n.left {
		if _, ok := n.store.At(r); !ok {
			delete(n.left, r)
		}
	}
}

func union[T bvconfig.UpstreamID | string](a, b []T) []T {
	u := slices.Concat(a, b)
	slices.Sort(u)
	return slices.Compact(u)
}

// adoptLowestBase moves a joining node's base down to that of its peers.
func (n *Node) adoptLowestBase() {
	low := uint64(0)
	for _, p := range n.members.Peers() {
		if p.Alive && p.State == bvmember.StateActive && p.BaseRevision > 0 && (low == 0 || p.BaseRevision < low) {
			low = p.BaseRevision
		}
	}
	n.adoptBase(low)
}

// adoptBase takes over a peer's base revision, since all nodes of a group have
// to compute the same base picks. A revision that is still missing is fetched
// later and adopted when the picture is compiled.
func (n *Node) adoptBase(revision uint64) {
	b, ok := n.store.Base()
	if !ok || revision == 0 || n.members.State() != bvmember.StateJoining || revision >= b.Config.Version.Revision {
		return
	}
	if err := n.store.AdoptBase(revision); err == nil {
		n.stale = true
	}
}

// basesInUse returns the node's own base, those of its live peers, and the
// revision that the base is to move to. A flow that differs from the pick at
// any of them is an exception.
func (n *Node) basesInUse(base bvconfig.Generation) []bvroute.Base {
	revisions := []uint64{base.Config.Version.Revision}
	add := func(r uint64) {
		if r != 0 && !slices.Contains(revisions, r) {
			revisions = append(revisions, r)
		}
	}
	for _, p := range n.members.Peers() {
		if p.Alive {
			add(p.BaseRevision)
		}
	}
	slices.Sort(revisions[1:])
	add(n.candidate)
	var bs []bvroute.Base
	for _, r := range revisions {
		if g, ok := n.store.At(r); ok {
			left := n.left[r]
			bs = append(bs, bvroute.Base{
				Revision: r, Upstreams: g.Config.Upstreams, ZonesOut: left.ZonesOutOfService, Gone: left.RemovedUpstreams,
			})
		}
	}
	return bs
}

// moveBase moves the base revision up. The candidate first counts as a second
// base, so that the sweep turns all flows that differ from it into exceptions,
// which is then announced. It becomes the base when all published peers have
// announced the same, and when no balancer has been lost within the idle
// timeout: flows that a lost balancer had at their base pick are known to
// nobody, and would be sent to the pick of the new base.
func (n *Node) moveBase(now time.Time) {
	g, ok := n.store.BaseCandidate(now)
	if !ok || n.members.State() != bvmember.StateActive || now.Sub(n.lostAt) <= n.options.IdleTimeout {
		n.members.SetReadyRevision(0)
		return
	}
	r := g.Config.Version.Revision
	if n.candidate != r {
		n.members.SetReadyRevision(0)
		n.candidate, n.stale = r, true
		return
	}
	if !n.sweeper.Complete() {
		return
	}
	n.members.SetReadyRevision(r)
	if !n.members.AllReadyForBase(r) {
		return
	}
	if err := n.store.SetBase(now, r); err == nil {
		n.candidate, n.stale = 0, true
	}
}

// baseKnown reports whether the node has the upstream lists of all base
// revisions that live peers use.
func (n *Node) baseKnown() bool {
	for _, p := range n.members.Peers() {
		if !p.Alive || p.BaseRevision == 0 {
			continue
		}
		if _, ok := n.store.At(p.BaseRevision); !ok {
			return false
		}
	}
	return true
}

// missingBases asks peers for base revisions that this node does not have.
func (n *Node) missingBases(now time.Time) []Action {
	if n.knownSince.IsZero() {
		return nil
	}
	var as []Action
	for _, p := range n.members.Peers() {
		if !p.Alive || p.BaseRevision == 0 || now.Sub(n.bases[p.BaseRevision]) < bootstrapInterval {
			continue
		}
		if _, ok := n.store.At(p.BaseRevision); ok {
			delete(n.bases, p.BaseRevision)
			continue
		}
		n.bases[p.BaseRevision] = now
		as = append(as, FetchBase{From: p.Node, Control: p.Control, Revision: p.BaseRevision})
	}
	return as
}
