package bvroute

import (
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvmember"
	"balsamvane/core/bvpick"
)

// datagramGrace is how long the datagrams of a new UDP exception go through
// the replica set. One datagram would not do, since it may be lost while the
// next one goes to the upstream directly.
const datagramGrace = 2 * time.Second

// packetContext is one packet on its way through the decision.
type packetContext struct {
	*Router
	now     time.Time
	seconds uint32 // Of now, since the table's epoch.
	packet  bvflow.Packet
	trail   Trail
	key     bvflow.Key
	service *service
	owner   *node // In this node's view; set by findOwner.
	// configured is the zone by configuration, placing the one whose owner
	// decides.
	configured, placing int
	found               bool    // owner, configured and placing are set.
	first               *target // The current pick, if it has been computed.
}

// Route decides on one packet. trail and record are those that came with the
// packet, and zero for a packet from the fabric.
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
	e = c.valid(e)
	if record.Kind != RecordNone {
		return c.record(e, record)
	}
	if e == nil {
		return c.unknown()
	}
	if !c.mayUse(e) {
		if d, ok := c.handTo(c.owner); ok {
			return d
		}
	}
	return c.known(e)
}

// fastPath returns the upstream of the most frequent kind of packet, one in the
// middle of an established flow that this node decides and that needs no
// renewal, and nil for all others. It saves the copies of the full decision.
func (r *Router) fastPath(p bvflow.Phase, e *bvflow.Entry, seconds uint32, s *service) *target {
	if e.State != bvflow.StateEstablished || !e.Has(bvflow.FlagOwner|bvflow.FlagCounted) || e.Has(bvflow.FlagAdopted) ||
		p != bvflow.PhaseEstablished && p != bvflow.PhaseDatagram || age(seconds, e.LastSeen) > r.options.OpeningWindow {
		return nil
	}
	if e.Has(bvflow.FlagException) && (e.ReplicatedAt == 0 || age(seconds, e.ReplicatedAt) >= r.options.IdleTimeout/4) {
		return nil
	}
	t := r.view.upstreams[bvconfig.UpstreamID(e.Upstream)]
	if t == nil || t.service != s || t.obstacle != ReasonNone {
		return nil
	}
	e.LastSeen = seconds
	return t
}

func drop(reason Reason) Decision { return Decision{Verdict: VerdictDrop, Reason: reason} }

// valid returns the packet's entry unless it has expired or belongs to
// another service that had the address before.
func (c *packetContext) valid(e *bvflow.Entry) *bvflow.Entry {
	if e == nil {
		return nil
	}
	if c.table.Expired(c.seconds, e) {
		c.uncount(c.now, e)
		c.table.Delete(c.key)
		return nil
	}
	// A copy of an opening with a request goes where the first one went.
	if e.Has(bvflow.FlagInvalidated) && !(c.runsTwice() && (c.opening() || c.datagram()) && c.idle(e) <= c.options.OpeningWindow) {
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

// ends reports whether the packet closes its flow.
func (c *packetContext) ends() bool {
	return c.packet.Phase == bvflow.PhaseClosing || c.packet.Phase == bvflow.PhaseReset
}

func (c *packetContext) opening() bool { return c.packet.Phase == bvflow.PhaseOpening }

func (c *packetContext) datagram() bool { return c.packet.Phase == bvflow.PhaseDatagram }

// runsTwice reports whether the packet's request would run a second time at a
// second upstream.
func (c *packetContext) runsTwice() bool {
	return (c.packet.Payload > 0 || c.datagram()) && !c.service.idempotent
}

// idle returns the time since the entry's last packet.
func (c *packetContext) idle(e *bvflow.Entry) time.Duration { return age(c.seconds, e.LastSeen) }

func age(now, then uint32) time.Duration {
	return time.Duration(int64(now)-int64(then)) * time.Second
}

func (c *packetContext) findOwner() *node {
	if !c.found {
		c.configured, c.placing = c.view.placing(c.service, c.key)
		c.owner, c.found = c.view.owner(c.key, c.placing), true
	}
	return c.owner
}

func (c *packetContext) selfOwns() bool {
	o := c.findOwner()
	return o != nil && o.ID == c.self
}

// mayUse reports whether the entry decides here. Otherwise the owner is asked
// first: a former owner's entry may be out of date once the caller has closed
// the flow or has been silent for long, and a replica's record is for the time
// when it becomes the owner. The owner in the home zone uses its record at
// once, since the owner would come back to ask it.
func (c *packetContext) mayUse(e *bvflow.Entry) bool {
	closed := e.State == bvflow.StateClosed || e.State == bvflow.StateClosing && c.opening()
	// What was adopted from the base pick is a guess that the owner may correct.
	// A request that may have been sent by it must not be sent elsewhere.
	request := c.runsTwice() && (c.opening() || c.datagram())
	own := e.Has(bvflow.FlagOwner) && (!e.Has(bvflow.FlagAdopted) || request || !c.enabled(ownersFirst))
	if own && !closed && c.idle(e) <= c.options.OpeningWindow {
		return true
	}
	if c.selfOwns() {
		return true
	}
	if closed {
		return false
	}
	if c.trail.Count > 0 || own && c.swept != c.generation {
		return true
	}
	o := c.view.owner(c.key, c.view.home(c.service, c.key))
	return o != nil && o.ID == c.self
}

// handTo hands the packet on to n, unless n has had it or is this node.
func (c *packetContext) handTo(n *node) (d Decision, ok bool) {
	if n == nil || n.ID == c.self || c.trail.Contains(n.ID) {
		return d, false
	}
	// This node takes a place in the trail as well as the next one.
	if int(c.trail.Count)+1 >= MaxVisited {
		return d, false
	}
	return Decision{Verdict: VerdictForward, Next: n.ID, Tunnel: n.Tunnel, Trail: c.trail.With(c.self)}, true
}

// unknown decides on a packet without an entry.
func (c *packetContext) unknown() Decision {
	if !c.selfOwns() {
		if d, ok := c.handTo(c.owner); ok {
			return d
		}
		if c.owner == nil && c.trail.Count == 0 {
			return drop(ReasonNoOwner)
		}
		if c.owner != nil && !c.trail.Contains(c.owner.ID) {
			return drop(ReasonTrailFull)
		}
	}
	// Peers hand requests to a former owner to learn whether it has sent them.
	request := c.runsTwice() && (c.opening() || c.datagram())
	if request && !c.selfOwns() && c.trail.Count > 0 && c.fresh() && c.enabled(openingWindow) {
		return drop(ReasonUncertainOpening)
	}
	// Openings without a request are placed here at once. Handing them to each
	// peer that has not been synced with would let a balancer that was replaced
	// place the new flows of the whole group.
	if n := c.unsynced(); n != nil && !(c.opening() && !c.runsTwice() && c.selfOwns()) {
		if d, ok := c.handTo(n); ok {
			return d
		}
	}
	if c.opening() || c.datagram() && c.selfOwns() && c.owned(c.now, c.service, c.key) {
		return c.place(nil)
	}
	// A balancer that has just been restarted gets packets from peers that
	// still take it for the owner, while it does not know any peer to ask.
	if c.view.state == bvmember.StateJoining && c.enabled(joinerDrops) {
		return drop(ReasonNoOwner)
	}
	return c.adopt()
}

// unsynced returns the highest-ranked active peer that may know the flow and
// has not told this node yet, and that has not had the packet. A joining node
// asks only the zone that places the flow about an opening: another zone would
// place it there, while a later copy is placed where it belongs.
func (c *packetContext) unsynced() *node {
	joining := c.view.state != bvmember.StateActive
	if c.view.synced && !joining {
		return nil
	}
	for zi := c.service.current.zone(c.key); zi >= 0; zi = bvpick.Next(c.key, c.service.current.zones, zi) {
		z := &c.view.zones[zi]
		if joining && c.opening() && zi != c.placing {
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

// adopt decides on a packet in the middle of a flow that this node does not
// know. Zones other than this one are asked first. A reset is never sent,
// since another balancer may know the flow.
func (c *packetContext) adopt() Decision {
	t, base := c.service.basePick(c.key)
	if !c.enabled(basePicking) {
		t = c.service.current.upstream(c.key)
	}
	for _, z := range [3]int{c.configured, base, c.view.home(c.service, c.key)} {
		if z < 0 || z == c.view.selfZone {
			continue
		}
		if len(c.view.zones[z].active) == 0 && !c.view.zones[z].out {
			return drop(ReasonNoOwner)
		}
		if d, ok := c.handTo(c.view.owner(c.key, z)); ok {
			return d
		}
	}
	if c.datagram() && c.runsTwice() && c.enabled(openingWindow) {
		if d, ok := c.askFormerOwner(); ok {
			return d
		}
	}
	if t == nil {
		return drop(ReasonUpstreamRemoved)
	}
	if t.obstacle != ReasonNone {
		return drop(t.obstacle)
	}
	// A quarter of the table is kept for new flows, so that packets of flows
	// that do not exist can't fill it.
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
	if c.exception(t) {
		e.Flags |= bvflow.FlagException
	}
	c.count(c.now, e)
	c.advance(e)
	return c.send(e, t)
}
