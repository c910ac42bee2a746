package bvroute

import (
	"slices"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvmember"
	"balsamvane/core/bvpick"
)

// Handover is an exception or tombstone that other balancers have to store.
type Handover struct {
	Key      bvflow.Key
	Kind     RecordKind
	Upstream bvconfig.UpstreamID
	To       [maxMembers]bvconfig.NodeID
	Count    int
}

// Generation counts the changes after which a sweep is needed: those of
// balancers, zones and base lists.
func (r *Router) Generation() uint64 { return r.generation }

// Swept returns the generation whose sweep is complete.
func (r *Router) Swept() uint64 { return r.swept }

// Handovers looks at the next work slots of the table and appends what this
// node has to send to balancers that have newly entered a replica set since
// the last complete sweep. A sweep starts with cursor 0 and goes on with the
// returned one until done; the caller starts again when the generation has
// changed meanwhile, and calls [Router.SweepDone] once all handovers of the
// sweep are acknowledged. A leaving node hands over everything to the whole
// replica set.
func (r *Router) Handovers(now time.Time, cursor uint64, work int, into []Handover) (out []Handover, next uint64, done bool) {
	if r.view == nil || !r.enabled(handovers) {
		return into, 0, true
	}
	next, done = r.table.Range(cursor, work, func(e *bvflow.Entry) bool {
		if h, ok := r.handover(now, e); ok {
			into = append(into, h)
		}
		return true
	})
	return into, next, done
}

// SweepDone notes that the handovers of a sweep that started and ended in the
// given generation are stored by their receivers.
func (r *Router) SweepDone(generation uint64) {
	if generation != r.generation {
		return
	}
	r.swept = generation
	// While configurations differ, nodes do not agree on the members, so the
	// next sweep still has to compare with the last common view.
	if r.view.agreed {
		r.baseline, r.based = r.view, generation
	}
}

// handover returns what has to be sent of an entry. All members send, not only
// the first one: nodes complete their sweeps at different times and may differ
// in configuration, so they would not agree on who is first.
func (r *Router) handover(now time.Time, e *bvflow.Entry) (h Handover, ok bool) {
	t := r.view.upstreams[bvconfig.UpstreamID(e.Upstream)]
	if t == nil || t.obstacle != ReasonNone {
		r.uncount(now, e) // The flow has been given up.
	}
	if t == nil || t.obstacle != ReasonNone && e.State != bvflow.StateRefused || t.service == nil ||
		r.table.Expired(r.table.Seconds(now), e) || e.Has(bvflow.FlagInvalidated) {
		return h, false
	}
	// A new base revision turns flows into exceptions that have been
	// recomputable so far.
	if e.Has(bvflow.FlagOwner) && !e.Has(bvflow.FlagException) && t.service.exception(e.Key, t.id) {
		e.Flags |= bvflow.FlagException
		e.ReplicatedAt = 0
	}
	r.recount(now, e, t)
	if !e.Has(bvflow.FlagException) || r.ended(now, e) {
		return h, false
	}
	var old members
	if s := r.baseline.byName[t.service.name]; s != nil {
		old = r.baseline.members(s, e.Key)
	}
	m := r.view.members(t.service, e.Key)
	if !e.Has(bvflow.FlagOwner) && !old.contains(r.self) && !m.contains(r.self) && r.anyLeft(&old) {
		return h, false
	}
	all := r.placedBetween(e) || e.Has(bvflow.FlagOwner) && e.ReplicatedAt == 0 ||
		r.view.state == bvmember.StateLeaving || !r.baseline.agreed
	h = newHandover(e)
	for _, id := range m.ids[:m.count] {
		if id != r.self && (all || !old.contains(id)) {
			h.To[h.Count] = id
			h.Count++
		}
	}
	return h, h.Count > 0
}

// recount stops counting an entry that this node has ceased to own, since it
// does not see how the flow goes on. The flow's next packet at its present
// owner counts it there.
func (r *Router) recount(now time.Time, e *bvflow.Entry, t *target) {
	if !e.Has(bvflow.FlagCounted) {
		return
	}
	_, placing := r.view.placing(t.service, e.Key)
	if o := r.view.owner(e.Key, placing); o != nil && o.ID != r.self {
		r.uncount(now, e)
	}
}

const (
	// endedAfter is the silence after which a closed flow is taken for ended
	// while there are many flows.
	endedAfter = 5 * time.Second
	// manyFlows is the number of entries from which closed flows are not sent:
	// at 24 bytes each they would take the whole byte budget for minutes.
	manyFlows = 10_000
)

// ended reports whether the record of a closed flow is not sent to new
// members. With few flows closed ones are sent too, since a half-closed flow
// may be silent while it waits for its answer.
func (r *Router) ended(now time.Time, e *bvflow.Entry) bool {
	return r.table.Len() > manyFlows && e.State >= bvflow.StateClosing && e.State != bvflow.StateRefused &&
		age(r.table.Seconds(now), e.LastSeen) > endedAfter
}

// placedBetween reports whether the entry's replica set is that of a view
// after the baseline.
func (r *Router) placedBetween(e *bvflow.Entry) bool {
	return r.based != r.generation && e.ReplicatedAt >= max(r.table.Seconds(r.changed), 1)
}

// anyLeft reports whether a former member is still there. A joining node has
// lost its table.
func (r *Router) anyLeft(old *members) bool {
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

// HandoversTo looks at the next work slots of the table and appends at most
// limit exceptions and tombstones that peer needs once it is active, for the
// answer to its sync request. It returns the cursor to go on from.
func (r *Router) HandoversTo(now time.Time, peer bvconfig.NodeID, cursor uint64, work, limit int, into []Handover) (out []Handover, next uint64, done bool) {
	if r.view == nil || limit <= 0 || !r.enabled(handovers) {
		return into, cursor, limit > 0
	}
	v := r.view.with(peer)
	next, done = r.table.Range(cursor, work, func(e *bvflow.Entry) bool {
		if !e.Has(bvflow.FlagException) || e.Has(bvflow.FlagInvalidated) || r.ended(now, e) || r.table.Expired(r.table.Seconds(now), e) || !r.concernsPeer(v, e, peer) {
			return true
		}
		h := newHandover(e)
		h.To[0], h.Count = peer, 1
		into = append(into, h)
		limit--
		return limit > 0
	})
	return into, next, done
}

// concernsPeer reports whether peer needs the entry in the view v. All members
// answer, not only the first: that one may have joined so recently that it
// lacks the record. An entry of an upstream that only a newer configuration
// has may concern every peer, since its service is not known here.
func (r *Router) concernsPeer(v *view, e *bvflow.Entry, peer bvconfig.NodeID) bool {
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

// with returns the view as it will be when peer is active.
func (v *view) with(peer bvconfig.NodeID) *view {
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
