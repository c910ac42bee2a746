package bvroute

import (
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvmember"
	"balsamvane/core/bvpick"
)

// The second candidate is preferred to the first only if the first has more
// open flows by both margins. Smaller differences would create exceptions
// without any gain.
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
	zone := c.placingZone
	if !owns {
		zone = c.view.selfZone
	}
	if zone < 0 || c.view.zones[zone].outOfService || c.view.state != bvmember.StateActive {
		return drop(ReasonNoOwner)
	}
	if c.unsafeToRepeat() && (!owns || c.placingZone != c.configuredZone) && c.enabled(openingWindow) {
		return drop(ReasonUncertainOpening)
	}
	if c.limiter.Shed(c.service.class) || e == nil && c.table.Full() {
		return drop(ReasonOverload)
	}
	certain := c.ownerCertain(c.now, c.service, c.key)
	var t *target
	if c.unsafeToRepeat() && !certain && c.enabled(openingWindow) {
		if d, ok := c.forwardToPreviousOwner(); ok {
			return d
		}
		if t = c.commonPick(zone); t == nil {
			return drop(ReasonUncertainOpening)
		}
	} else {
		t = c.choose(zone)
	}
	if t != nil {
		return c.startFlow(e, t)
	}
	if owns && certain || !c.enabled(certainRefusals) {
		return c.refuse(e)
	}
	return drop(ReasonNoCapacity)
}

// forwardToPreviousOwner forwards a request that is unsafe to repeat to a
// previous owner: a balancer that owned the flow within the opening window and
// had a different base pick, since the base list has changed. Only that balancer
// has a record of whether it sent the request there. A balancer in the trail has
// not sent it. If the previous owner has failed, the packet is dropped. It is
// also dropped if this node started recently and the flow's base pick may have
// been removed. ok is false if none of this applies.
func (c *packetContext) forwardToPreviousOwner() (d Decision, ok bool) {
	basePick, _ := c.service.basePick(c.key)
	c.everyRecentView(c.now, func(v *view) bool {
		t := v.byName[c.service.name]
		if t == nil {
			return true
		}
		u, _ := t.basePick(c.key)
		_, placing := v.placementZones(t, c.key)
		o := v.owner(c.key, placing)
		if u == nil || basePick != nil && u.id == basePick.id || o == nil || o.ID == c.self || c.trail.Contains(o.ID) {
			return true
		}
		ok, d = true, drop(ReasonUncertainOpening)
		if n, alive := c.view.peers[o.ID]; alive {
			if h, forwarded := c.forwardTo(&n); forwarded {
				d = h
			}
		}
		return false
	})
	if !ok && c.startedRecently() && c.basePickMayBeRemoved() {
		return drop(ReasonUncertainOpening), true
	}
	return d, ok
}

// startedRecently reports whether this node started within the opening window
// in a running group. It then can't tell whether a request was sent before.
func (c *packetContext) startedRecently() bool {
	return !c.view.bootstrapping && c.now.Sub(c.started) <= c.options.OpeningWindow
}

// basePickMayBeRemoved reports whether a zone or upstream removed from the base
// list may have been the flow's base pick. It ignores the time of the removal,
// which a node that has just started does not have.
func (c *packetContext) basePickMayBeRemoved() bool {
	if len(c.bases) == 0 {
		return false
	}
	base := c.service.bases[0].zone(c.key)
	if bvpick.Best(c.key, c.service.allBaseZones) != base {
		return true
	}
	for id := range c.removed.forRevision(c.bases[0].Revision).upstreams {
		if t := c.view.upstreams[id]; t != nil && t.service == c.service && t.zone == base {
			return true
		}
	}
	return false
}

// commonPick returns the upstream that every other owner would have picked as
// well, or nil if there is none or it can't take the flow.
func (c *packetContext) commonPick(zone int) *target {
	t, base := c.service.basePick(c.key)
	if t == nil || base != zone || t != c.service.current.upstreamIn(c.key, zone) {
		return nil
	}
	if c.service.isException(c.key, t.id) || !c.hasRecentExceptions(c.now, c.service, c.key) || !c.limiter.Admit(c.now, t.id) {
		return nil
	}
	return t
}

// choose returns the highest-ranked upstream of the zone that admits a new
// flow, or nil. The first two may change places; see lessLoaded.
func (c *packetContext) choose(zone int) *target {
	l := &c.service.current.lists[zone]
	var order [maxCandidates]int
	n := bvpick.Rank(c.key, l.candidates, order[:])
	if n > 0 && zone == c.configuredZone {
		c.currentPick = l.targets[order[0]]
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

// isException reports whether a flow placed at t is an exception. If the only
// base list equals the current list and the current pick has been computed, it
// only compares t with that pick.
func (c *packetContext) isException(t *target) bool {
	if c.service.baseIsCurrent && c.currentPick != nil {
		return t != c.currentPick
	}
	return c.service.isException(c.key, t.id)
}

// lessLoaded reports whether second has fewer open flows than first by both
// load margins.
func (c *packetContext) lessLoaded(second, first bvconfig.UpstreamID) bool {
	a, b := c.limiter.OpenFlows(first), c.limiter.OpenFlows(second)
	return a >= b+loadMarginFlows && a*100 > b*(100+loadMarginPercent)
}

// startFlow creates the entry of a new flow to t and sends its opening packet.
func (c *packetContext) startFlow(e *bvflow.Entry, t *target) Decision {
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
	c.table.SetOpeningSent(time.Time{}, e)
	if c.datagram() {
		e.Flags |= bvflow.FlagDatagram
	}
	// The replicas of a replaced exception must receive the new placement.
	if replaced || c.isException(t) {
		e.Flags |= bvflow.FlagException
	}
	c.count(c.now, e)
	return c.send(e, t)
}

// refuse records a tombstone and forwards it through the replicas, the last of
// which sends the refusal. Without replicas, this node sends it.
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
	// The upstream only identifies the tombstone's service in later lookups.
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
		rec := c.view.newRecord(c.service, c.key)
		rec.Kind, rec.Upstream = RecordRefused, bvconfig.UpstreamID(e.Upstream)
		if d, ok := c.forwardToReplica(rec); ok {
			d.Reason = reason
			return d
		}
	}
	return Decision{Verdict: VerdictRefuse, Reason: reason}
}

// refuseAgain decides on a packet whose entry is a tombstone. Retransmissions
// of the opening are refused again, since the first refusal may have been lost.
func (c *packetContext) refuseAgain(e *bvflow.Entry) Decision {
	if !c.opening() && !c.datagram() {
		return drop(ReasonRefusedBefore)
	}
	if !c.selfOwns() {
		return Decision{Verdict: VerdictRefuse, Reason: ReasonRefusedBefore}
	}
	e.Flags |= bvflow.FlagOwner
	return c.sendRefusal(e, ReasonRefusedBefore)
}
