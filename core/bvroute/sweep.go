package bvroute

import (
	"slices"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvmember"
	"balsamvane/core/bvpick"
)

// Handover is an exception or tombstone to be stored by other balancers.
type Handover struct {
	Key      bvflow.Key
	Kind     RecordKind
	Upstream bvconfig.UpstreamID
	To       [maxMembers]bvconfig.NodeID
	Count    int
}

// Generation returns the number of changes that require a sweep: changes of
// balancers, zones and base lists.
func (r *Router) Generation() uint64 { return r.generation }

// Swept returns the generation of the last complete sweep.
func (r *Router) Swept() uint64 { return r.sweptGeneration }

// Handovers scans the next maxSlots slots of the table and returns into
// extended by the handovers for balancers that joined a replica set since the
// last complete sweep. A sweep starts with cursor 0 and continues with the
// returned cursor until done. The caller restarts the sweep if the generation
// changes during it, and calls [Router.SweepDone] once all handovers of the
// sweep are acknowledged. A leaving node hands over everything to the whole
// replica set.
func (r *Router) Handovers(now time.Time, cursor uint64, maxSlots int, into []Handover) (out []Handover, next uint64, done bool) {
	if r.view == nil || !r.enabled(handovers) {
		return into, 0, true
	}
	next, done = r.table.Range(cursor, maxSlots, func(e *bvflow.Entry) bool {
		if h, ok := r.handover(now, e); ok {
			into = append(into, h)
		}
		return true
	})
	return into, next, done
}

// SweepDone records that the receivers have stored all handovers of a sweep
// that started and ended in the given generation.
func (r *Router) SweepDone(generation uint64) {
	if generation != r.generation {
		return
	}
	r.sweptGeneration = generation
	// While configurations differ, nodes do not agree on the members. The next
	// sweep must still compare with the last view that all nodes shared.
	if r.view.agreed {
		r.baseline, r.baselineGeneration = r.view, generation
	}
}

// handover returns the handover of an entry, and whether there is one to send.
// All members send, not only the first one: nodes complete their sweeps at
// different times and may differ in configuration, so they would not agree on
// which is first.
func (r *Router) handover(now time.Time, e *bvflow.Entry) (h Handover, ok bool) {
	t := r.view.upstreams[bvconfig.UpstreamID(e.Upstream)]
	if t == nil || t.blockReason != ReasonNone {
		r.uncount(now, e) // The flow has been abandoned.
	}
	if t == nil || t.blockReason != ReasonNone && e.State != bvflow.StateRefused || t.service == nil ||
		r.table.Expired(r.table.Seconds(now), e) || e.Has(bvflow.FlagInvalidated) {
		return h, false
	}
	// A new base revision turns flows that were at their base pick into
	// exceptions.
	if e.Has(bvflow.FlagOwner) && !e.Has(bvflow.FlagException) && t.service.isException(e.Key, t.id) {
		e.Flags |= bvflow.FlagException
		e.ReplicatedAt = 0
	}
	r.uncountUnowned(now, e, t)
	if !e.Has(bvflow.FlagException) || r.ended(now, e) {
		return h, false
	}
	var old members
	if s := r.baseline.byName[t.service.name]; s != nil {
		old = r.baseline.members(s, e.Key)
	}
	m := r.view.members(t.service, e.Key)
	if !e.Has(bvflow.FlagOwner) && !old.contains(r.self) && !m.contains(r.self) && r.anyMemberAlive(&old) {
		return h, false
	}
	sendToAll := r.placedSinceBaseline(e) || e.Has(bvflow.FlagOwner) && e.ReplicatedAt == 0 ||
		r.view.state == bvmember.StateLeaving || !r.baseline.agreed
	h = newHandover(e)
	for _, id := range m.ids[:m.count] {
		if id != r.self && (sendToAll || !old.contains(id)) {
			h.To[h.Count] = id
			h.Count++
		}
	}
	return h, h.Count > 0
}

// uncountUnowned stops counting an entry that this node no longer owns, since
// it does not see the rest of the flow. The current owner counts the flow from
// its next packet.
func (r *Router) uncountUnowned(now time.Time, e *bvflow.Entry, t *target) {
	if !e.Has(bvflow.FlagCounted) {
		return
	}
	_, placing := r.view.placementZones(t.service, e.Key)
	if o := r.view.owner(e.Key, placing); o != nil && o.ID != r.self {
		r.uncount(now, e)
	}
}

const (
	// endedAfter is the idle time after which a closed flow counts as ended
	// if the table holds many flows.
	endedAfter = 5 * time.Second
	// manyFlows is the number of entries above which ended flows are not sent.
	// At 24 bytes each they would take the whole byte budget for minutes.
	manyFlows = 10_000
)

// ended reports whether the entry of a closed flow counts as ended, so that it
// is not sent to new members. With few flows none does, since a half-closed
// flow may be idle while the caller waits for the response.
func (r *Router) ended(now time.Time, e *bvflow.Entry) bool {
	return r.table.Len() > manyFlows && e.State >= bvflow.StateClosing && e.State != bvflow.StateRefused &&
		age(r.table.Seconds(now), e.LastSeen) > endedAfter
}

// placedSinceBaseline reports whether the entry was last replicated to the
// replica set of a view after the baseline.
func (r *Router) placedSinceBaseline(e *bvflow.Entry) bool {
	return r.baselineGeneration != r.generation && e.ReplicatedAt >= max(r.table.Seconds(r.firstChange), 1)
}

// anyMemberAlive reports whether a previous member is still alive with its
// table. A joining node has lost its table.
func (r *Router) anyMemberAlive(old *members) bool {
	for _, id := range old.ids[:old.count] {
		if n, ok := r.view.peers[id]; ok && n.State != bvmember.StateJoining {
			return true
		}
	}
	return false
}

func newHandover(e *bvflow.Entry) Handover {
	h := Handover{Key: e.Key, Kind: RecordPlaced, Upstream: bvconfig.UpstreamID(e.Upstream)}
	switch {
	case e.State == bvflow.StateRefused:
		h.Kind = RecordRefused
	case e.State >= bvflow.StateClosing:
		h.Kind = RecordClosing
	}
	return h
}

// HandoversTo scans the next maxSlots slots of the table and returns into
// extended by at most maxHandovers exceptions and tombstones that peer needs
// once it is active, for the answer to its sync request. next is the cursor to
// continue from.
func (r *Router) HandoversTo(now time.Time, peer bvconfig.NodeID, cursor uint64, maxSlots, maxHandovers int, into []Handover) (out []Handover, next uint64, done bool) {
	if r.view == nil || maxHandovers <= 0 || !r.enabled(handovers) {
		return into, cursor, maxHandovers > 0
	}
	v := r.view.withActive(peer)
	next, done = r.table.Range(cursor, maxSlots, func(e *bvflow.Entry) bool {
		if !e.Has(bvflow.FlagException) || e.Has(bvflow.FlagInvalidated) || r.ended(now, e) || r.table.Expired(r.table.Seconds(now), e) || !r.neededByPeer(v, e, peer) {
			return true
		}
		h := newHandover(e)
		h.To[0], h.Count = peer, 1
		into = append(into, h)
		maxHandovers--
		return maxHandovers > 0
	})
	return into, next, done
}

// neededByPeer reports whether peer needs the entry according to the view v.
// All members send it, not only the first one, which may have joined so
// recently that it lacks the record. If only a newer configuration contains
// the entry's upstream, its service is unknown here and any peer may need it.
func (r *Router) neededByPeer(v *view, e *bvflow.Entry, peer bvconfig.NodeID) bool {
	t := v.upstreams[bvconfig.UpstreamID(e.Upstream)]
	if t == nil {
		return true
	}
	if t.service == nil {
		return false
	}
	m := v.members(t.service, e.Key)
	return m.contains(peer) && (e.Has(bvflow.FlagOwner) || m.contains(r.self))
}

// withActive returns the view with peer as an active balancer.
func (v *view) withActive(peer bvconfig.NodeID) *view {
	n, ok := v.peers[peer]
	if !ok || n.zone < 0 || n.State == bvmember.StateActive {
		return v
	}
	w := *v
	w.zones = slices.Clone(v.zones)
	z := &w.zones[n.zone]
	z.active = append(slices.Clone(z.active), bvpick.Balancer(peer))
	z.nodes = append(slices.Clone(z.nodes), n)
	return &w
}
