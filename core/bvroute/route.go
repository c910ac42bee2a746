package bvroute

import (
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvmember"
	"balsamvane/core/bvpick"
)

// datagramReplication is how long the datagrams of a new UDP exception are
// forwarded through the replica set. A single datagram is not enough: it may
// be lost while the next one goes to the upstream directly.
const datagramReplication = 2 * time.Second

// packetContext holds the state of the decision on one packet.
type packetContext struct {
	*Router
	now     time.Time
	seconds uint32 // Seconds from the table's epoch to now.
	packet  bvflow.Packet
	trail   Trail
	key     bvflow.Key
	service *service
	owner   *node // Owner in this node's view; set by findOwner.
	// configuredZone is the flow's zone according to the configuration.
	// placingZone is the zone whose owner decides on the flow.
	configuredZone, placingZone int
	ownerFound                  bool    // owner, configuredZone and placingZone are set.
	currentPick                 *target // Highest-ranked upstream of configuredZone; nil until choose sets it.
}

// Route decides on one packet. trail and record are those that a peer
// forwarded with the packet, and zero for a packet from the fabric.
func (r *Router) Route(now time.Time, p bvflow.Packet, trail Trail, record Record) Decision {
	if r.view == nil {
		return drop(ReasonNotConfigured)
	}
	s := r.view.services[addressOf(p.Destination, p.Protocol)]
	if s == nil {
		return drop(ReasonUnknownService)
	}
	key, seconds := r.view.hasher.Key(p.Tuple), r.table.Seconds(now)
	e := r.table.Lookup(key)
	if e != nil && record.Kind == RecordNone {
		if t := r.fastPath(p.Phase, e, seconds, s); t != nil {
			return t.decision()
		}
	}
	c := packetContext{Router: r, now: now, seconds: seconds, packet: p, trail: trail, key: key, service: s}
	e = c.validEntry(e)
	if record.Kind != RecordNone {
		return c.applyRecord(e, record)
	}
	if e == nil {
		return c.routeUnknown()
	}
	if !c.mayUse(e) {
		if d, ok := c.forwardTo(c.owner); ok {
			return d
		}
	}
	return c.routeKnown(e)
}

// fastPath returns the upstream for the most frequent kind of packet: one in
// the middle of an established flow that this node decides on and that needs
// no renewal. It returns nil for all others. It avoids the struct copies of
// the full decision.
func (r *Router) fastPath(p bvflow.Phase, e *bvflow.Entry, seconds uint32, s *service) *target {
	if e.State != bvflow.StateEstablished || !e.Has(bvflow.FlagOwner|bvflow.FlagCounted) || e.Has(bvflow.FlagAdopted) ||
		p != bvflow.PhaseEstablished && p != bvflow.PhaseDatagram || age(seconds, e.LastSeen) > r.options.OpeningWindow {
		return nil
	}
	if e.Has(bvflow.FlagException) && (e.ReplicatedAt == 0 || age(seconds, e.ReplicatedAt) >= r.options.IdleTimeout/4) {
		return nil
	}
	t := r.view.upstreams[bvconfig.UpstreamID(e.Upstream)]
	if t == nil || t.service != s || t.blockReason != ReasonNone {
		return nil
	}
	e.LastSeen = seconds
	return t
}

func drop(reason Reason) Decision { return Decision{Verdict: VerdictDrop, Reason: reason} }

// validEntry returns e, or deletes e and returns nil. It deletes an entry that
// has expired or is invalidated. For an opening packet, it also deletes the
// entry of another service that had the address before.
func (c *packetContext) validEntry(e *bvflow.Entry) *bvflow.Entry {
	if e == nil {
		return nil
	}
	if c.table.Expired(c.seconds, e) {
		c.uncount(c.now, e)
		c.table.Delete(c.key)
		return nil
	}
	// An invalidated entry still routes retransmissions of an opening that
	// carries a request, so that they reach the same upstream as the first one.
	if e.Has(bvflow.FlagInvalidated) && !(c.unsafeToRepeat() && (c.opening() || c.datagram()) && c.idle(e) <= c.options.OpeningWindow) {
		c.uncount(c.now, e)
		c.table.Delete(c.key)
		return nil
	}
	if c.opening() && c.enabled(serviceChecks) {
		if t := c.target(e); t != nil && t.service != c.service {
			c.uncount(c.now, e)
			c.table.Delete(c.key)
			return nil
		}
	}
	return e
}

func (c *packetContext) target(e *bvflow.Entry) *target {
	return c.view.upstreams[bvconfig.UpstreamID(e.Upstream)]
}

// closesFlow reports whether the packet closes its flow.
func (c *packetContext) closesFlow() bool {
	return c.packet.Phase == bvflow.PhaseClosing || c.packet.Phase == bvflow.PhaseReset
}

func (c *packetContext) opening() bool { return c.packet.Phase == bvflow.PhaseOpening }

func (c *packetContext) datagram() bool { return c.packet.Phase == bvflow.PhaseDatagram }

// unsafeToRepeat reports whether the packet carries a request that must not
// reach a second upstream, where it would run again.
func (c *packetContext) unsafeToRepeat() bool {
	return (c.packet.Payload > 0 || c.datagram()) && !c.service.idempotent
}

// idle returns the time since the entry's last packet.
func (c *packetContext) idle(e *bvflow.Entry) time.Duration { return age(c.seconds, e.LastSeen) }

func age(now, then uint32) time.Duration {
	return time.Duration(int64(now)-int64(then)) * time.Second
}

func (c *packetContext) findOwner() *node {
	if !c.ownerFound {
		c.configuredZone, c.placingZone = c.view.placementZones(c.service, c.key)
		c.owner, c.ownerFound = c.view.owner(c.key, c.placingZone), true
	}
	return c.owner
}

func (c *packetContext) selfOwns() bool {
	o := c.findOwner()
	return o != nil && o.ID == c.self
}

// mayUse reports whether this node may decide from the entry. Otherwise the
// packet is forwarded to the owner, if possible. The entry of a previous owner
// may be out of date once the flow is closed or has been idle for longer than
// the opening window. A replica's record is for use after the replica becomes
// the owner. The owner in the home zone uses its record at once, since the
// flow's owner would forward the packet back to it.
func (c *packetContext) mayUse(e *bvflow.Entry) bool {
	closed := e.State == bvflow.StateClosed || e.State == bvflow.StateClosing && c.opening()
	// The upstream of an adopted flow is a guess from the base pick, which the
	// owner may correct. A request that this node may have sent there must not
	// be sent elsewhere.
	request := c.unsafeToRepeat() && (c.opening() || c.datagram())
	ownerEntry := e.Has(bvflow.FlagOwner) && (!e.Has(bvflow.FlagAdopted) || request || !c.enabled(ownerPrecedence))
	if ownerEntry && !closed && c.idle(e) <= c.options.OpeningWindow {
		return true
	}
	if c.selfOwns() {
		return true
	}
	if closed {
		return false
	}
	if c.trail.Count > 0 || ownerEntry && c.sweptGeneration != c.generation {
		return true
	}
	o := c.view.owner(c.key, c.view.homeZone(c.service, c.key))
	return o != nil && o.ID == c.self
}

// forwardTo forwards the packet to n, unless n is this node or was visited.
func (c *packetContext) forwardTo(n *node) (d Decision, ok bool) {
	if n == nil || n.ID == c.self || c.trail.Contains(n.ID) {
		return d, false
	}
	// The trail needs room for this node and the next one.
	if int(c.trail.Count)+1 >= MaxVisited {
		return d, false
	}
	return Decision{Verdict: VerdictForward, Next: n.ID, Tunnel: n.Tunnel, Trail: c.trail.With(c.self)}, true
}

// routeUnknown decides on a packet without an entry.
func (c *packetContext) routeUnknown() Decision {
	if !c.selfOwns() {
		if d, ok := c.forwardTo(c.owner); ok {
			return d
		}
		if c.owner == nil && c.trail.Count == 0 {
			return drop(ReasonNoOwner)
		}
		if c.owner != nil && !c.trail.Contains(c.owner.ID) {
			return drop(ReasonTrailFull)
		}
	}
	// Peers forward a request to a previous owner because it may have sent the
	// request already. A node that started recently can't tell.
	request := c.unsafeToRepeat() && (c.opening() || c.datagram())
	if request && !c.selfOwns() && c.trail.Count > 0 && c.startedRecently() && c.enabled(openingWindow) {
		return drop(ReasonUncertainOpening)
	}
	// Openings without a request are placed here at once. If they were forwarded
	// to unsynced peers, a balancer that was replaced would place the new flows
	// of the whole group.
	if n := c.unsyncedPeer(); n != nil && !(c.opening() && !c.unsafeToRepeat() && c.selfOwns()) {
		if d, ok := c.forwardTo(n); ok {
			return d
		}
	}
	if c.opening() || c.datagram() && c.selfOwns() && c.ownedForWindow(c.now, c.service, c.key) {
		return c.place(nil)
	}
	// A balancer that has just restarted receives packets from peers that still
	// compute it as the owner, while it has no peer to forward them to.
	if c.view.state == bvmember.StateJoining && c.enabled(adoptionChecks) {
		return drop(ReasonNoOwner)
	}
	return c.adopt()
}

// unsyncedPeer returns the highest-ranked unvisited active peer that may have
// an exception for the flow that this node has not received yet, or nil. A
// joining node forwards an opening only within the flow's placing zone.
// Another zone would place the flow in itself, while a later retransmission
// would be placed in the placing zone.
func (c *packetContext) unsyncedPeer() *node {
	joining := c.view.state != bvmember.StateActive
	if c.view.synced && !joining {
		return nil
	}
	for zi := c.service.current.zone(c.key); zi >= 0; zi = bvpick.Next(c.key, c.service.current.zones, zi) {
		z := &c.view.zones[zi]
		if joining && c.opening() && zi != c.placingZone {
			continue
		}
		for i := bvpick.Best(c.key, z.active); i >= 0; i = bvpick.Next(c.key, z.active, i) {
			n := &z.nodes[i]
			if n.ID != c.self && (joining || !n.InSync) && !c.trail.Contains(n.ID) {
				return n
			}
		}
	}
	return nil
}

// adopt decides on a packet in the middle of a flow without an entry. It first
// forwards the packet to the owners in other zones that may have an entry, and
// otherwise sends it to the base pick. It never sends a reset to the caller,
// since another balancer may have an entry for the flow.
func (c *packetContext) adopt() Decision {
	t, base := c.service.basePick(c.key)
	if !c.enabled(basePicking) {
		t = c.service.current.upstream(c.key)
	}
	for _, z := range [3]int{c.configuredZone, base, c.view.homeZone(c.service, c.key)} {
		if z < 0 || z == c.view.selfZone {
			continue
		}
		if len(c.view.zones[z].active) == 0 && !c.view.zones[z].outOfService {
			return drop(ReasonNoOwner)
		}
		if d, ok := c.forwardTo(c.view.owner(c.key, z)); ok {
			return d
		}
	}
	if c.datagram() && c.unsafeToRepeat() && c.enabled(openingWindow) {
		if d, ok := c.forwardToPreviousOwner(); ok {
			return d
		}
	}
	if t == nil {
		return drop(ReasonUpstreamRemoved)
	}
	if t.blockReason != ReasonNone {
		return drop(t.blockReason)
	}
	// A quarter of the table is reserved for new flows, so that packets of
	// flows that do not exist can't fill it.
	if c.packet.Phase == bvflow.PhaseReset || c.table.Len() >= c.table.Max()/4*3 {
		return t.decision()
	}
	e, err := c.table.Insert(c.now, c.key)
	if err != nil {
		return t.decision()
	}
	e.Upstream, e.State = uint64(t.id), bvflow.StateEstablished
	e.Flags = bvflow.FlagOwner | bvflow.FlagAdopted
	if c.datagram() {
		e.Flags |= bvflow.FlagDatagram
	}
	if c.isException(t) {
		e.Flags |= bvflow.FlagException
	}
	c.count(c.now, e)
	c.updateEntry(e)
	return c.send(e, t)
}
