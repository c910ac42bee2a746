package bvroute

import (
	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvmember"
	"balsamvane/core/bvpick"
)

// The first candidate gives way to the second only when it is clearly more
// loaded: small differences would make exceptions without any gain.
const (
	loadMarginFlows   = 8
	loadMarginPercent = 5
)

// maxCandidates is the number of upstreams that are ranked in one pass. More
// are rarely needed.
const maxCandidates = 4

// place chooses an upstream for a new flow. e is the entry that the flow
// replaces, if any.
func (c *packetContext) place(e *bvflow.Entry) Decision {
	owns := c.selfOwns()
	zone := c.placing
	if !owns {
		zone = c.view.selfZone
	}
	if zone < 0 || c.view.zones[zone].out || c.view.state != bvmember.StateActive {
		return drop(ReasonNoOwner)
	}
	if c.runsTwice() && (!owns || c.placing != c.configured) && c.enabled(openingWindow) {
		return drop(ReasonUncertainOpening)
	}
	if c.limiter.Shed(c.service.class) || e == nil && c.table.Full() {
		return drop(ReasonOverload)
	}
	settled := c.settled(c.now, c.service, c.key)
	var t *target
	if c.runsTwice() && !settled && c.enabled(openingWindow) {
		if d, ok := c.askFormerOwner(); ok {
			return d
		}
		if t = c.onlyPick(zone); t == nil {
			return drop(ReasonUncertainOpening)
		}
	} else {
		t = c.choose(zone)
	}
	if t != nil {
		return c.enter(e, t)
	}
	if owns && settled || !c.enabled(certainRefusals) {
		return c.refuse(e)
	}
	return drop(ReasonNoCapacity)
}

// askFormerOwner hands a packet that must not run twice to a balancer that
// owned the flow within the opening window and would have sent it elsewhere,
// since the base list has changed: only that one knows whether it has. One in
// the trail has not. If it is gone, the packet is dropped. ok is false if no
// other owner had another pick.
func (c *packetContext) askFormerOwner() (d Decision, ok bool) {
	now, _ := c.service.basePick(c.key)
	c.recent(c.now, func(v *view) bool {
		t := v.byName[c.service.name]
		if t == nil {
			return true
		}
		u, _ := t.basePick(c.key)
		_, placing := v.placing(t, c.key)
		o := v.owner(c.key, placing)
		if u == nil || now != nil && u.id == now.id || o == nil || o.ID == c.self || c.trail.Contains(o.ID) {
			return true
		}
		ok, d = true, drop(ReasonUncertainOpening)
		if n, alive := c.view.peers[o.ID]; alive {
			if h, handed := c.handTo(&n); handed {
				d = h
			}
		}
		return false
	})
	if !ok && c.fresh() && c.baseReduced() {
		return drop(ReasonUncertainOpening), true
	}
	return d, ok
}

// fresh reports whether this node has started within the opening window in a
// group that was running, so that it can't say whether a request has been sent
// before.
func (c *packetContext) fresh() bool {
	return !c.view.founding && c.now.Sub(c.started) <= c.options.OpeningWindow
}

// baseReduced reports whether something has left the base list that may have
// been the flow's base pick. A node that has just started does not know when
// that was.
func (c *packetContext) baseReduced() bool {
	if len(c.bases) == 0 {
		return false
	}
	base := c.service.bases[0].zone(c.key)
	if bvpick.Best(c.key, c.service.homes) != base {
		return true
	}
	for id := range c.removed.of(c.bases[0].Revision).upstreams {
		if t := c.view.upstreams[id]; t != nil && t.service == c.service && t.zone == base {
			return true
		}
	}
	return false
}

// onlyPick returns the one upstream to which any other owner would have sent
// the packet as well, or nil if there is none or it can't take the flow.
func (c *packetContext) onlyPick(zone int) *target {
	t, base := c.service.basePick(c.key)
	if t == nil || base != zone || t != c.service.current.upstreamIn(c.key, zone) {
		return nil
	}
	if c.service.exception(c.key, t.id) || !c.informed(c.now, c.service, c.key) || !c.limiter.Admit(c.now, t.id) {
		return nil
	}
	return t
}

// choose goes down the ranking of the zone's upstreams that take new flows,
// and returns the first that has room, or nil.
func (c *packetContext) choose(zone int) *target {
	l := &c.service.current.lists[zone]
	var order [maxCandidates]int
	n := bvpick.Rank(c.key, l.candidates, order[:])
	if n > 0 && zone == c.configured {
		c.first = l.targets[order[0]]
	}
	last := order[max(n-1, 0)]
	if n > 1 && c.lessLoaded(l.targets[order[1]].id, l.targets[order[0]].id) {
		order[0], order[1] = order[1], order[0]
	}
	for _, i := range order[:n] {
		if c.limiter.Admit(c.now, l.targets[i].id) {
			return l.targets[i]
		}
	}
	if n < maxCandidates {
		return nil
	}
	for i := bvpick.Next(c.key, l.candidates, last); i >= 0; i = bvpick.Next(c.key, l.candidates, i) {
		if c.limiter.Admit(c.now, l.targets[i].id) {
			return l.targets[i]
		}
	}
	return nil
}

// exception reports whether t differs from the pick at any base in use. While
// the only base list equals the current one, the current pick tells.
func (c *packetContext) exception(t *target) bool {
	if c.service.quiet && c.first != nil {
		return t != c.first
	}
	return c.service.exception(c.key, t.id)
}

// lessLoaded reports whether second has clearly fewer open flows than first.
func (c *packetContext) lessLoaded(second, first bvconfig.UpstreamID) bool {
	a, b := c.limiter.OpenFlows(first), c.limiter.OpenFlows(second)
	return a >= b+loadMarginFlows && a*100 > b*(100+loadMarginPercent)
}

// enter makes the entry of a new flow to t and sends its opening packet.
func (c *packetContext) enter(e *bvflow.Entry, t *target) Decision {
	replaced := e != nil && e.Has(bvflow.FlagException)
	if e == nil {
		var err error
		if e, err = c.table.Insert(c.now, c.key); err != nil {
			return drop(ReasonOverload)
		}
	}
	c.uncount(c.now, e)
	e.Upstream, e.State, e.Flags = uint64(t.id), bvflow.StateOpening, bvflow.FlagOwner
	e.LastSeen, e.ReplicatedAt = c.seconds, max(c.seconds, 1)
	if c.datagram() {
		e.Flags |= bvflow.FlagDatagram
	}
	// The replicas of a replaced exception must learn of the new one.
	if replaced || c.exception(t) {
		e.Flags |= bvflow.FlagException
	}
	c.count(c.now, e)
	return c.send(e, t)
}

// refuse records a tombstone and refuses the flow once the replicas have
// recorded it too.
func (c *packetContext) refuse(e *bvflow.Entry) Decision {
	if !c.enabled(tombstones) {
		return Decision{Verdict: VerdictRefuse, Reason: ReasonNoCapacity}
	}
	if e == nil {
		var err error
		if e, err = c.table.Insert(c.now, c.key); err != nil {
			return drop(ReasonOverload)
		}
	}
	c.uncount(c.now, e)
	// The upstream only tells later which service the tombstone belongs to.
	e.Upstream = 0
	if t := c.anyTarget(); t != nil {
		e.Upstream = uint64(t.id)
	}
	e.State, e.Flags, e.LastSeen = bvflow.StateRefused, bvflow.FlagOwner|bvflow.FlagException, c.seconds
	return c.sendRefusal(e, ReasonNoCapacity)
}

func (c *packetContext) anyTarget() *target {
	if t := c.service.current.upstream(c.key); t != nil {
		return t
	}
	t, _ := c.service.basePick(c.key)
	return t
}

func (c *packetContext) sendRefusal(e *bvflow.Entry, reason Reason) Decision {
	if c.enabled(replication) {
		rec := c.view.replicas(c.service, c.key)
		rec.Kind, rec.Upstream = RecordRefused, bvconfig.UpstreamID(e.Upstream)
		if d, ok := c.toReplica(rec); ok {
			d.Reason = reason
			return d
		}
	}
	return Decision{Verdict: VerdictRefuse, Reason: reason}
}

// refusedBefore answers a packet that has a tombstone. Copies of the opening
// are refused again, since the first refusal may have been lost.
func (c *packetContext) refusedBefore(e *bvflow.Entry) Decision {
	if !c.opening() && !c.datagram() {
		return drop(ReasonRefusedBefore)
	}
	if !c.selfOwns() {
		return Decision{Verdict: VerdictRefuse, Reason: ReasonRefusedBefore}
	}
	e.Flags |= bvflow.FlagOwner
	return c.sendRefusal(e, ReasonRefusedBefore)
}
