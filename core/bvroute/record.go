package bvroute

import (
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
)

// applyRecord stores the record that came with a packet and forwards the
// packet to the next replica. The last replica delivers it to the upstream or
// sends the refusal.
func (c *packetContext) applyRecord(e *bvflow.Entry, rec Record) Decision {
	if e != nil {
		if reason := c.conflict(e, rec); reason != ReasonNone {
			return drop(reason)
		}
	}
	t := c.view.upstreams[rec.Upstream]
	if rec.Kind != RecordRefused && t != nil {
		if t.service != c.service && c.enabled(serviceChecks) {
			return drop(ReasonUpstreamRemoved)
		}
		if t.blockReason != ReasonNone {
			return drop(t.blockReason)
		}
	}
	if c.mustStore(e, rec) && !c.storeRecord(e, rec) {
		return drop(ReasonOverload)
	}
	if d, ok := c.forwardToReplica(rec); ok {
		return d
	}
	switch {
	case rec.Kind == RecordRefused:
		return Decision{Verdict: VerdictRefuse, Reason: ReasonNoCapacity}
	case t == nil:
		return c.returnToOwner(rec)
	default:
		return t.decision()
	}
}

// mustStore reports whether this node must store the record. It need not if it
// only delivers a packet in mid-flow for a balancer that lacks the newest
// configuration.
func (c *packetContext) mustStore(e *bvflow.Entry, rec Record) bool {
	if e != nil || rec.Count > 0 || rec.Kind == RecordRefused || c.opening() || c.datagram() {
		return true
	}
	m := c.view.members(c.service, c.key)
	return m.contains(c.self)
}

// returnToOwner forwards a packet with a record back to the owner that placed
// its flow, or else to the last node of the trail. The last replica does so
// while its configuration does not contain the upstream yet.
func (c *packetContext) returnToOwner(rec Record) Decision {
	if c.trail.Count == 0 {
		return drop(ReasonUnknownUpstream)
	}
	to := c.trail.Visited[c.trail.Count-1]
	if o := c.findOwner(); o != nil && c.trail.Contains(o.ID) {
		to = o.ID
	}
	n, ok := c.view.peers[to]
	if !ok {
		return drop(ReasonUnknownUpstream)
	}
	return c.forwardRecord(&n, rec)
}

// forwardRecord forwards a packet with a record whose upstream is unknown to
// this node. Each hop extends the trail, which bounds the number of hops.
func (c *packetContext) forwardRecord(n *node, rec Record) Decision {
	if c.trail.Count == MaxVisited {
		return drop(ReasonUnknownUpstream)
	}
	return Decision{
		Verdict: VerdictForward, Reason: ReasonUnknownUpstream, Next: n.ID, Tunnel: n.Tunnel,
		Upstream: rec.Upstream, Trail: c.trail.With(c.self), Record: rec,
	}
}

// conflict returns the reason if a record contradicts this node's entry, or
// [ReasonNone]. Conflicts are the refusal of a flow that was placed, and the
// placement of a flow that was refused or placed at another upstream.
func (c *packetContext) conflict(e *bvflow.Entry, rec Record) Reason {
	if !c.enabled(tombstones) || !c.enabled(openingWindow) {
		return ReasonNone
	}
	recent := c.idle(e) <= c.options.OpeningWindow
	switch {
	case rec.Kind == RecordRefused:
		if e.State != bvflow.StateRefused && recent {
			return ReasonUncertainOpening
		}
	case e.State == bvflow.StateRefused:
		return ReasonRefusedBefore
	case e.Upstream != uint64(rec.Upstream) && recent && c.unsafeToRepeat() && (c.opening() || c.datagram()):
		return ReasonUncertainOpening
	}
	return ReasonNone
}

// storeRecord stores a record. A packet in mid-flow does not replace the entry
// of a flow that this node placed. The result is false if the table is full.
func (c *packetContext) storeRecord(e *bvflow.Entry, rec Record) bool {
	if e == nil {
		var err error
		if e, err = c.table.Insert(c.now, c.key); err != nil {
			return false
		}
	} else if e.Has(bvflow.FlagOwner) && e.State <= bvflow.StateEstablished && rec.Kind == RecordPlaced {
		keepEntry := !e.Has(bvflow.FlagAdopted) && !c.opening()
		if e.Upstream == uint64(rec.Upstream) || keepEntry {
			return true
		}
	}
	if e.Upstream != uint64(rec.Upstream) || rec.Kind != RecordPlaced {
		c.uncount(c.now, e)
	}
	owner := e.Flags & bvflow.FlagOwner
	setRecord(e, rec.Kind, rec.Upstream)
	if rec.Kind == RecordClosing {
		e.Flags |= owner
	}
	e.LastSeen = c.seconds
	e.ReplicatedAt = max(e.LastSeen, 1)
	return true
}

// setRecord turns e into a replica's record. A record's state is established
// until the flow closes, since replicas do not see the flow's other packets.
func setRecord(e *bvflow.Entry, kind RecordKind, u bvconfig.UpstreamID) {
	e.Upstream = uint64(u)
	e.Flags = e.Flags&(bvflow.FlagCounted|bvflow.FlagDatagram) | bvflow.FlagException
	e.State = bvflow.StateEstablished
	switch kind {
	case RecordRefused:
		e.State = bvflow.StateRefused
	case RecordClosing:
		e.State = bvflow.StateClosing
	}
}

// Store stores an exception or tombstone that a peer pushed. It keeps an entry
// that is newer than the pushed one: that of a flow placed by this node, or a
// record that came with a packet of the flow within the opening window. It
// returns [bvflow.ErrTableFull] if there is no room.
func (r *Router) Store(now time.Time, k bvflow.Key, kind RecordKind, u bvconfig.UpstreamID) error {
	e := r.table.Lookup(k)
	if e != nil && !r.table.Expired(r.table.Seconds(now), e) {
		placedHere := e.Has(bvflow.FlagOwner) && !e.Has(bvflow.FlagAdopted)
		recordedRecently := e.ReplicatedAt != 0 &&
			age(r.table.Seconds(now), e.ReplicatedAt) <= r.options.OpeningWindow
		if placedHere || recordedRecently || e.Upstream == uint64(u) && e.Has(bvflow.FlagOwner) {
			return nil
		}
	}
	if e == nil {
		var err error
		if e, err = r.table.Insert(now, k); err != nil {
			return err
		}
	}
	r.uncount(now, e)
	setRecord(e, kind, u)
	e.LastSeen, e.ReplicatedAt = r.table.Seconds(now), 0
	return nil
}
