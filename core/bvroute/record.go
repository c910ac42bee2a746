package bvroute

import (
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
)

// record stores what a packet brings about its flow and passes the packet on
// to the next replica; the last replica sends it to the upstream or sends the
// refusal.
func (c *packetContext) record(e *bvflow.Entry, rec Record) Decision {
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
		if t.obstacle != ReasonNone {
			return drop(t.obstacle)
		}
	}
	if c.concerns(e, rec) && !c.store(e, rec) {
		return drop(ReasonOverload)
	}
	if d, ok := c.toReplica(rec); ok {
		return d
	}
	switch {
	case rec.Kind == RecordRefused:
		return Decision{Verdict: VerdictRefuse, Reason: ReasonNoCapacity}
	case t == nil:
		return c.handBack(rec)
	default:
		return t.decision()
	}
}

// concerns reports whether this node has to keep the record. It need not when
// it only sends a packet in mid-flow for a balancer that lacks the newest
// configuration.
func (c *packetContext) concerns(e *bvflow.Entry, rec Record) bool {
	if e != nil || rec.Count > 0 || rec.Kind == RecordRefused || c.opening() || c.datagram() {
		return true
	}
	m := c.view.members(c.service, c.key)
	return m.contains(c.self)
}

// handBack returns a recorded packet to the owner that has placed it, or to
// the last node that had it. The last replica does so while it does not have
// the configuration with the upstream yet.
func (c *packetContext) handBack(rec Record) Decision {
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
	return c.handRecord(&n, rec)
}

// handRecord hands the packet on with a record whose upstream this node does
// not know. Each step extends the trail, which bounds them.
func (c *packetContext) handRecord(n *node, rec Record) Decision {
	if c.trail.Count == MaxVisited {
		return drop(ReasonUnknownUpstream)
	}
	return Decision{
		Verdict: VerdictForward, Reason: ReasonUnknownUpstream, Next: n.ID, Tunnel: n.Tunnel,
		Upstream: rec.Upstream, Trail: c.trail.With(c.self), Record: rec,
	}
}

// conflict returns the reason for which a record contradicts what this node
// knows: a refusal of a flow that has run, or the placement of a flow that
// was refused or that has been sent to another upstream.
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
	case e.Upstream != uint64(rec.Upstream) && recent && c.runsTwice() && (c.opening() || c.datagram()):
		return ReasonUncertainOpening
	}
	return ReasonNone
}

// store keeps a record unless this node has a flow of its own under the key
// that a packet in mid-flow does not replace. It returns false if the table
// is full.
func (c *packetContext) store(e *bvflow.Entry, rec Record) bool {
	if e == nil {
		var err error
		if e, err = c.table.Insert(c.now, c.key); err != nil {
			return false
		}
	} else if e.Has(bvflow.FlagOwner) && e.State <= bvflow.StateEstablished && rec.Kind == RecordPlaced {
		mine := !e.Has(bvflow.FlagAdopted) && !c.opening()
		if e.Upstream == uint64(rec.Upstream) || mine {
			return true
		}
	}
	if e.Upstream != uint64(rec.Upstream) || rec.Kind != RecordPlaced {
		c.uncount(c.now, e)
	}
	owner := e.Flags & bvflow.FlagOwner
	set(e, rec.Kind, rec.Upstream)
	if rec.Kind == RecordClosing {
		e.Flags |= owner
	}
	e.LastSeen = c.seconds
	e.ReplicatedAt = max(e.LastSeen, 1)
	return true
}

// set turns e into a replica's record. Records are kept as established until
// the flow closes, since replicas do not see how it goes on.
func set(e *bvflow.Entry, kind RecordKind, u bvconfig.UpstreamID) {
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

// Store keeps an exception or tombstone that a peer pushes. A flow that this
// node has placed itself, and a record that came with a packet of the flow
// within the opening window, are newer than what peers push. It returns
// [bvflow.ErrTableFull] if there is no room.
func (r *Router) Store(now time.Time, k bvflow.Key, kind RecordKind, u bvconfig.UpstreamID) error {
	e := r.table.Lookup(k)
	if e != nil && !r.table.Expired(r.table.Seconds(now), e) {
		own := e.Has(bvflow.FlagOwner) && !e.Has(bvflow.FlagAdopted)
		fresh := e.ReplicatedAt != 0 &&
			age(r.table.Seconds(now), e.ReplicatedAt) <= r.options.OpeningWindow
		if own || fresh || e.Upstream == uint64(u) && e.Has(bvflow.FlagOwner) {
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
	set(e, kind, u)
	e.LastSeen, e.ReplicatedAt = r.table.Seconds(now), 0
	return nil
}
