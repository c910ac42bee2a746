package bvnode

import (
	"slices"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvmember"
	"balsamvane/core/bvroute"
)

// BaseRemovals holds the removed entries of a base revision's upstream lists. A
// joining node needs them, since removed entries are not restored when a zone
// returns.
type BaseRemovals struct {
	Revision         uint64
	RemovedZones     []string
	RemovedUpstreams []bvconfig.UpstreamID
}

// ownBaseRemovals returns the removed entries of the bases in use.
func (n *Node) ownBaseRemovals() []BaseRemovals {
	var l []BaseRemovals
	for _, b := range n.router.Bases() {
		if len(b.RemovedZones)+len(b.RemovedUpstreams) > 0 {
			l = append(l, BaseRemovals{Revision: b.Revision, RemovedZones: b.RemovedZones, RemovedUpstreams: b.RemovedUpstreams})
		}
	}
	return l
}

// recordBaseRemovals adds the removed entries of a peer's bases to this node's.
func (n *Node) recordBaseRemovals(ls []BaseRemovals) {
	for _, l := range ls {
		merged := n.baseRemovals[l.Revision]
		merged.Revision = l.Revision
		merged.RemovedZones = union(merged.RemovedZones, l.RemovedZones)
		merged.RemovedUpstreams = union(merged.RemovedUpstreams, l.RemovedUpstreams)
		n.baseRemovals[l.Revision] = merged
	}
}

// pruneBaseRemovals drops the removed entries of revisions that the store no
// longer has.
func (n *Node) pruneBaseRemovals() {
	for r := range n.baseRemovals {
		if _, ok := n.store.At(r); !ok {
			delete(n.baseRemovals, r)
		}
	}
}

func union[T bvconfig.UpstreamID | string](a, b []T) []T {
	u := slices.Concat(a, b)
	slices.Sort(u)
	return slices.Compact(u)
}

// adoptLowestBase moves a joining node's base down to the lowest one of its
// active peers.
func (n *Node) adoptLowestBase() {
	lowest := uint64(0)
	for _, p := range n.members.Peers() {
		if p.Alive && p.State == bvmember.StateActive && p.BaseRevision > 0 && (lowest == 0 || p.BaseRevision < lowest) {
			lowest = p.BaseRevision
		}
	}
	n.adoptBase(lowest)
}

// adoptBase adopts a peer's lower base revision while this node is joining,
// since all nodes of a group have to compute the same base picks. A revision
// that is still missing is fetched later and adopted when the snapshot is
// compiled.
func (n *Node) adoptBase(revision uint64) {
	b, ok := n.store.Base()
	if !ok || revision == 0 || n.members.State() != bvmember.StateJoining || revision >= b.Config.Version.Revision {
		return
	}
	if err := n.store.AdoptBase(revision); err == nil {
		n.snapshotOutdated = true
	}
}

// basesInUse returns the node's own base, those of its live peers, and the base
// candidate. A flow that differs from the pick at any of them is an exception.
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
	add(n.baseCandidate)
	var bs []bvroute.Base
	for _, r := range revisions {
		if g, ok := n.store.At(r); ok {
			removals := n.baseRemovals[r]
			bs = append(bs, bvroute.Base{
				Revision: r, Upstreams: g.Config.Upstreams, RemovedZones: removals.RemovedZones, RemovedUpstreams: removals.RemovedUpstreams,
			})
		}
	}
	return bs
}

// moveBase moves the base revision up. The candidate first counts as a second
// base, so that the sweep turns all flows that differ from it into exceptions.
// The node then announces that it is ready. The candidate becomes the base when
// all published peers have announced the same, and when no balancer has failed
// within the idle timeout: flows that a failed balancer had at their base pick
// have no entry on any other balancer, and would be sent to the pick of the new
// base.
func (n *Node) moveBase(now time.Time) {
	g, ok := n.store.BaseCandidate(now)
	if !ok || n.members.State() != bvmember.StateActive || now.Sub(n.peerFailedAt) <= n.options.IdleTimeout {
		n.members.SetReadyRevision(0)
		return
	}
	r := g.Config.Version.Revision
	if n.baseCandidate != r {
		n.members.SetReadyRevision(0)
		n.baseCandidate, n.snapshotOutdated = r, true
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
		n.baseCandidate, n.snapshotOutdated = 0, true
	}
}

// hasPeerBases reports whether the node has the upstream lists of all base
// revisions of live peers.
func (n *Node) hasPeerBases() bool {
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

// fetchMissingBases requests base revisions that this node does not have from
// the peers that use them.
func (n *Node) fetchMissingBases(now time.Time) []Action {
	if n.configuredAt.IsZero() {
		return nil
	}
	var as []Action
	for _, p := range n.members.Peers() {
		if !p.Alive || p.BaseRevision == 0 || now.Sub(n.baseRequestedAt[p.BaseRevision]) < bootstrapInterval {
			continue
		}
		if _, ok := n.store.At(p.BaseRevision); ok {
			delete(n.baseRequestedAt, p.BaseRevision)
			continue
		}
		n.baseRequestedAt[p.BaseRevision] = now
		as = append(as, FetchBase{From: p.Node, Control: p.Control, Revision: p.BaseRevision})
	}
	return as
}
