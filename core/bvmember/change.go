package bvmember

import (
	"slices"
	"time"

	"balsamvane/core/bvconfig"
)

// Change is something that has changed in the view. The set of changes is
// closed.
type Change interface{ change() }

// PeerAlive tells that a peer is heard again or for the first time, or that it
// has a new incarnation.
type PeerAlive struct {
	Node  bvconfig.NodeID
	State State
	// Returned is true if the peer had been heard before, in an earlier
	// incarnation.
	Returned bool
}

// PeerDead tells that too many heartbeats of a peer are missing.
type PeerDead struct {
	Node        bvconfig.NodeID
	Incarnation uint64
}

// PeerState tells that a live peer has moved to another state.
type PeerState struct {
	Node bvconfig.NodeID
	From State
	To   State
}

// SelfDeclaredDead tells that a peer took this node for dead. The incarnation
// has been raised. If Rejoin is true the node is joining again, since its keys
// went to others; otherwise nobody in its zone takes over from it.
type SelfDeclaredDead struct {
	By          bvconfig.NodeID
	Incarnation uint64
	Rejoin      bool
}

// SelfPaused tells that this node did not run for a while. It is joining again
// with a higher incarnation, unless it is leaving.
type SelfPaused struct {
	For         time.Duration
	Incarnation uint64
}

// ZoneEmpty tells that the node's zone has had no active node since Since.
type ZoneEmpty struct {
	Zone  string
	Since time.Time
}

// SelfPromoted tells that this node has become active to end a [ZoneEmpty].
type SelfPromoted struct{}

func (PeerAlive) change()        {}
func (PeerDead) change()         {}
func (PeerState) change()        {}
func (SelfDeclaredDead) change() {}
func (SelfPaused) change()       {}
func (ZoneEmpty) change()        {}
func (SelfPromoted) change()     {}

// Tick lets time pass: it notices a pause of this node, peers that have missed
// heartbeats, and an empty zone.
func (m *Members) Tick(now time.Time) []Change {
	cs := m.checkPause(now)
	for _, p := range m.order {
		limit := m.silenceLimit(now, p)
		if p.Alive && now.Sub(p.heard) >= limit {
			p.Alive, p.InSync = false, false
			cs = append(cs, PeerDead{Node: p.Node, Incarnation: p.Incarnation})
		}
	}
	return append(cs, m.promote(now)...)
}

// silenceLimit returns how long a peer may be silent before it is dead. A peer
// of another zone that its own zone has given up is given up here after half
// of the missed heartbeats, since its neighbours hear it twice as often. That
// ends the time in which this zone hands packets on to a dead node earlier.
func (m *Members) silenceLimit(now time.Time, p *peer) time.Duration {
	limit := time.Duration(m.options.MissedHeartbeats) * m.interval(p)
	if p.Zone != m.zone && !p.suspected.IsZero() && now.Sub(p.suspected) < limit && !m.options.ignoreReports {
		return limit / 2
	}
	return limit
}

// Paused reports whether this node was paused and has not noticed yet, so
// that a packet that is handled before the next tick is not decided with an
// old view. It changes nothing and does not allocate.
func (m *Members) Paused(now time.Time) bool {
	return !m.options.ignorePause && !m.seen.IsZero() && now.Sub(m.seen) > m.options.PauseLimit
}

// checkPause handles the gap since the last tick or heartbeat.
func (m *Members) checkPause(now time.Time) []Change {
	paused, gap := m.Paused(now), now.Sub(m.seen)
	if gap > 0 || m.seen.IsZero() {
		m.seen = now
	}
	if !paused {
		return nil
	}
	// Peers could not be heard during the pause, which says nothing of them.
	for _, p := range m.order {
		p.heard = p.heard.Add(gap)
	}
	m.incarnation++
	m.rejoin(now)
	return []Change{SelfPaused{For: gap, Incarnation: m.incarnation}}
}

// rejoin returns this node to joining, out of sync with all peers.
func (m *Members) rejoin(now time.Time) {
	m.metActive = true // Others have been active meanwhile.
	if m.state != StateLeaving {
		m.state = StateJoining
	}
	m.zoneActive = now
	for _, p := range m.order {
		p.InSync = false
	}
}

func (m *Members) noteActive(now time.Time) {
	if m.state == StateActive || m.activePeerInZone() {
		m.zoneActive = now
	}
}

func (m *Members) activePeerInZone() bool {
	for _, p := range m.order {
		if p.Zone == m.zone && p.Alive && p.State == StateActive {
			return true
		}
	}
	return false
}

// promote makes this node active if its zone has been without an active node
// for too long and no joining peer ranks above it.
func (m *Members) promote(now time.Time) []Change {
	m.noteActive(now)
	empty := !m.zoneActive.IsZero() && now.Sub(m.zoneActive) >= m.options.ZoneEmptyAfter
	if !empty || m.state != StateJoining || m.options.noPromotion || m.HasUncontactedPeer() && now.Sub(m.listed) < m.options.ListPropagation {
		return nil
	}
	for _, p := range m.order {
		if p.Zone == m.zone && p.Alive && p.State == StateJoining && m.outranks(p.Node, m.self) {
			return nil
		}
	}
	since := m.zoneActive
	m.SetState(now, StateActive)
	return []Change{ZoneEmpty{Zone: m.zone, Since: since}, SelfPromoted{}}
}

// ReceiveHeartbeat takes an authenticated heartbeat. Heartbeats of nodes that are not
// published, of this node itself and of earlier incarnations are ignored.
func (m *Members) ReceiveHeartbeat(now time.Time, h Heartbeat) []Change {
	cs := m.checkPause(now)
	p := m.peers[h.Node]
	if p == nil || h.Incarnation < p.Incarnation || h.Incarnation == 0 || m.overtaken(p, h) {
		return cs
	}
	p.sequence = h.Sequence
	wasDead, outnumbered := p.dead(), m.outnumbered(h)
	m.learn(now, p, h)
	// A dead peer stays dead until it shows by a higher incarnation that it
	// knows: before that it may still decide for keys that others took over.
	if !wasDead || h.Incarnation > p.Incarnation || m.options.reviveUnchanged {
		cs = append(cs, m.markHeard(now, p, h, wasDead)...)
	}
	cs = append(cs, m.verdict(now, p, h, split{mutual: wasDead, outnumbered: outnumbered})...)
	m.noteActive(now)
	return cs
}

// overtaken reports whether a later heartbeat of the incarnation has arrived.
func (m *Members) overtaken(p *peer, h Heartbeat) bool {
	return h.Incarnation == p.Incarnation && h.Sequence > 0 && h.Sequence <= p.sequence && !m.options.anyOrder
}

// learn takes from a heartbeat what holds whether or not its sender counts as
// alive.
func (m *Members) learn(now time.Time, p *peer, h Heartbeat) {
	p.Version, p.BaseRevision, p.ready = h.Version, h.BaseRevision, h.ReadyRevision
	for _, d := range h.Dead {
		q := m.peers[d.Node]
		if q == nil {
			continue
		}
		q.declared = true
		if q.Zone == p.Zone && h.State == StateActive && d.Incarnation >= q.Incarnation {
			q.suspected = now
		}
	}
	if h.PlatformAge < 0 || h.PlatformAge >= NoContact {
		return
	}
	m.notePlatform(now.Add(-h.PlatformAge))
}

// markHeard counts a heartbeat as a sign of life.
func (m *Members) markHeard(now time.Time, p *peer, h Heartbeat, wasDead bool) []Change {
	first, fresh := p.Incarnation == 0, h.Incarnation > p.Incarnation
	from := p.State
	p.heard, p.Alive, p.State, p.Incarnation = now, true, h.State, h.Incarnation
	if fresh {
		p.suspected = time.Time{}
	}
	switch {
	case wasDead:
		p.InSync = m.options.reviveUnchanged
	case first:
		m.metActive = m.metActive || h.State != StateJoining
		// A node that starts has placed no flows that this one could lack.
		p.InSync = m.state != StateJoining && h.State == StateJoining
	}
	switch {
	case fresh:
		return []Change{PeerAlive{Node: p.Node, State: h.State, Returned: !first}}
	case wasDead:
		return []Change{PeerAlive{Node: p.Node, State: h.State, Returned: true}}
	case from != h.State:
		return []Change{PeerState{Node: p.Node, From: from, To: h.State}}
	}
	return nil
}

func (p *peer) dead() bool { return !p.Alive && p.Incarnation > 0 }

// split describes the sides on which this node and a peer have been.
type split struct {
	mutual      bool // Each took the other for dead.
	outnumbered bool // The peer's side goes on.
}

// outnumbered reports whether the sender of h has been on the side of the zone
// that goes on after a partition: the larger one, or of equal sides the one
// with the highest-ranked balancer. Its side are the nodes that are dead in
// this node's view but not in the sender's. Both sides come to the same
// result, because a node hears the first verdict before it counts any node of
// the other side as alive.
func (m *Members) outnumbered(h Heartbeat) bool {
	if len(h.Dead) == 0 {
		return false
	}
	ours, theirs := 1, 0
	top, topTheirs := m.self, false
	for _, p := range m.order {
		if p.Zone != m.zone || p.Incarnation == 0 {
			continue
		}
		isDead := slices.ContainsFunc(h.Dead, func(d DeadPeer) bool { return d.Node == p.Node })
		switch {
		case p.Alive:
			ours++
		case isDead:
			continue
		default:
			theirs++
		}
		if m.outranks(p.Node, top) {
			top, topTheirs = p.Node, !p.Alive
		}
	}
	return theirs > ours || theirs == ours && topTheirs
}

// verdict acts on a peer's claim that this node is dead.
func (m *Members) verdict(now time.Time, p *peer, h Heartbeat, s split) []Change {
	if m.options.ignoreVerdicts {
		return nil
	}
	for _, d := range h.Dead {
		if d.Node != m.self || d.Incarnation < m.incarnation || d.Incarnation+1 == 0 {
			continue
		}
		if m.defersVerdict(now, p) {
			return nil
		}
		m.incarnation = d.Incarnation + 1
		rejoin := m.state == StateActive && m.givesUpKeys(p, h, s)
		if rejoin {
			m.rejoin(now)
		}
		return []Change{SelfDeclaredDead{By: p.Node, Incarnation: m.incarnation, Rejoin: rejoin}}
	}
	return nil
}

// defersVerdict reports whether a verdict waits for those of this node's own zone. A
// node that was paused without noticing may hear a verdict of another zone
// first; if it answered that one, its own zone would take it for active again,
// although it lacks what was placed meanwhile.
func (m *Members) defersVerdict(now time.Time, p *peer) bool {
	wait := 3 * m.options.HeartbeatInZone
	if p.Zone == m.zone || !m.activePeerInZone() || m.options.noDeferral {
		return false
	}
	if m.deferredSince.IsZero() || now.Sub(m.deferredSince) > 10*wait {
		m.deferredSince = now
	}
	return now.Sub(m.deferredSince) < wait
}

// givesUpKeys reports whether this node gives up its keys after a peer took it for
// dead. Only active nodes of its own zone can have taken them over. If each
// took the other for dead, one side stays active, so that the zone is not
// without an active node when the partition heals.
func (m *Members) givesUpKeys(p *peer, h Heartbeat, s split) bool {
	if m.options.yieldAlways {
		return true
	}
	if p.Zone != m.zone || h.State != StateActive {
		return false
	}
	return !s.mutual || s.outnumbered
}
