package bvmember

import (
	"slices"
	"time"

	"balsamvane/core/bvconfig"
)

// Change is a change of the membership view. The set of changes is closed.
type Change interface{ change() }

// PeerAlive is the event that a peer has become alive or has a new incarnation.
type PeerAlive struct {
	Node  bvconfig.NodeID
	State State
	// Returned is true if heartbeats of an earlier incarnation had been received.
	Returned bool
}

// PeerDead is the event that too many heartbeats of a peer are missing.
type PeerDead struct {
	Node        bvconfig.NodeID
	Incarnation uint64
}

// PeerState is the event that a live peer has changed its state.
type PeerState struct {
	Node bvconfig.NodeID
	From State
	To   State
}

// SelfDeclaredDead is the event that a peer has declared this node dead. The
// incarnation has been raised. If Rejoin is true, the node is joining again
// because others have taken over its keys; otherwise no node of its zone takes
// them over.
type SelfDeclaredDead struct {
	By          bvconfig.NodeID
	Incarnation uint64
	Rejoin      bool
}

// SelfPaused is the event that this node was paused for longer than the pause
// limit. It has a higher incarnation and is joining again, unless it is leaving.
type SelfPaused struct {
	For         time.Duration
	Incarnation uint64
}

// ZoneEmpty is the event that the node's zone has had no active node since Since.
type ZoneEmpty struct {
	Zone  string
	Since time.Time
}

// SelfPromoted is the event that this node has become active because of
// [ZoneEmpty].
type SelfPromoted struct{}

func (PeerAlive) change()        {}
func (PeerDead) change()         {}
func (PeerState) change()        {}
func (SelfDeclaredDead) change() {}
func (SelfPaused) change()       {}
func (ZoneEmpty) change()        {}
func (SelfPromoted) change()     {}

// Tick detects a pause of this node, peers that have missed heartbeats, and a
// zone without an active node.
func (m *Members) Tick(now time.Time) []Change {
	cs := m.checkPause(now)
	readUntil := m.heartbeatsReadUntil(now)
	for _, p := range m.sortedPeers {
		limit := m.deathTimeout(now, p)
		if p.Alive && readUntil.Sub(p.heartbeatAt) >= limit {
			p.Alive, p.InSync = false, false
			cs = append(cs, PeerDead{Node: p.Node, Incarnation: p.Incarnation})
		}
	}
	return append(cs, m.promoteIfZoneEmpty(now)...)
}

// deathTimeout returns the time without a heartbeat after which a peer is dead.
// It is halved for a peer of another zone that an active node of its own zone
// has recently declared dead, since those nodes get its heartbeats twice as
// often. This shortens the time in which this zone forwards packets to a dead
// node.
func (m *Members) deathTimeout(now time.Time, p *peer) time.Duration {
	limit := time.Duration(m.options.MissedHeartbeats) * m.heartbeatInterval(p)
	if p.Zone != m.zone && !p.suspectedAt.IsZero() && now.Sub(p.suspectedAt) < limit && !m.options.ignoreZoneReports {
		return limit / 2
	}
	return limit
}

// heartbeatsReadUntil returns a time by which all heartbeats that had arrived were
// received. While this process stood still, they waited in its sockets.
func (m *Members) heartbeatsReadUntil(now time.Time) time.Time {
	if m.options.ignorePause || m.resumedAt.IsZero() || now.Sub(m.resumedAt) >= catchUpTime {
		return now
	}
	return m.stoodStillFrom
}

// Paused reports whether this node was paused and has not processed the pause
// yet. The caller checks it so that a packet that is handled before the next
// tick is not decided with an old view. It changes nothing and does not
// allocate.
func (m *Members) Paused(now time.Time) bool {
	return !m.options.ignorePause && !m.lastRunAt.IsZero() && now.Sub(m.lastRunAt) > m.options.PauseLimit
}

// checkPause detects a standstill or a pause since the last tick or received heartbeat.
func (m *Members) checkPause(now time.Time) []Change {
	paused, gap := m.Paused(now), now.Sub(m.lastRunAt)
	if !m.lastRunAt.IsZero() && gap > standstillGap {
		m.stoodStillFrom, m.resumedAt = m.lastRunAt, now
	}
	if gap > 0 || m.lastRunAt.IsZero() {
		m.lastRunAt = now
	}
	if !paused {
		return nil
	}
	// No heartbeats were processed during the pause, so the gap doesn't count as
	// missed heartbeats of the peers.
	for _, p := range m.sortedPeers {
		p.heartbeatAt = p.heartbeatAt.Add(gap)
	}
	m.incarnation++
	m.rejoin(now)
	return []Change{SelfPaused{For: gap, Incarnation: m.incarnation}}
}

// rejoin returns this node to joining, out of sync with all peers.
func (m *Members) rejoin(now time.Time) {
	m.hadActivePeer = true // Others may have been active meanwhile.
	if m.state != StateLeaving {
		m.state = StateJoining
	}
	m.zoneActiveAt = now
	for _, p := range m.sortedPeers {
		p.InSync = false
	}
}

func (m *Members) recordZoneActivity(now time.Time) {
	if m.state == StateActive || m.activePeerInZone() {
		m.zoneActiveAt = now
	}
}

func (m *Members) activePeerInZone() bool {
	for _, p := range m.sortedPeers {
		if p.Zone == m.zone && p.Alive && p.State == StateActive {
			return true
		}
	}
	return false
}

// promoteIfZoneEmpty makes this node active if its zone has been without an
// active node for too long and no joining peer of the zone ranks above it. While
// some peer is uncontacted, it waits for ListPropagation after the first list.
func (m *Members) promoteIfZoneEmpty(now time.Time) []Change {
	m.recordZoneActivity(now)
	empty := !m.zoneActiveAt.IsZero() && now.Sub(m.zoneActiveAt) >= m.options.ZoneEmptyAfter
	if !empty || m.state != StateJoining || m.options.noPromotion || m.HasUncontactedPeer() && now.Sub(m.firstListAt) < m.options.ListPropagation {
		return nil
	}
	for _, p := range m.sortedPeers {
		if p.Zone == m.zone && p.Alive && p.State == StateJoining && m.outranks(p.Node, m.self) {
			return nil
		}
	}
	since := m.zoneActiveAt
	m.SetState(now, StateActive)
	return []Change{ZoneEmpty{Zone: m.zone, Since: since}, SelfPromoted{}}
}

// ReceiveHeartbeat processes an authenticated heartbeat. Heartbeats of nodes that
// are not published, of this node itself and of earlier incarnations are ignored,
// and so are those that arrive twice or after a later one.
func (m *Members) ReceiveHeartbeat(now time.Time, h Heartbeat) []Change {
	cs := m.checkPause(now)
	p := m.peers[h.Node]
	if p == nil || h.Incarnation < p.Incarnation || h.Incarnation == 0 || m.outOfOrder(p, h) {
		return cs
	}
	p.sequence = h.Sequence
	wasDead, outnumbered := p.dead(), m.outnumberedBy(h)
	m.recordReports(now, p, h)
	// A dead peer stays dead until it raises its incarnation. Before that it has
	// not received its death declaration, and may still decide for keys that
	// others have taken over.
	if !wasDead || h.Incarnation > p.Incarnation || m.options.reviveSameIncarnation {
		cs = append(cs, m.markAlive(now, p, h, wasDead)...)
	}
	cs = append(cs, m.handleDeathDeclaration(now, p, h, partition{mutual: wasDead, outnumbered: outnumbered})...)
	m.recordZoneActivity(now)
	return cs
}

// outOfOrder reports whether a later heartbeat of the same incarnation has been
// received, or this one already.
func (m *Members) outOfOrder(p *peer, h Heartbeat) bool {
	return h.Incarnation == p.Incarnation && h.Sequence > 0 && h.Sequence <= p.sequence && !m.options.acceptReordered
}

// recordReports records the parts of a heartbeat that are valid even if its
// sender is dead in this node's view: its revisions, its death declarations, and
// its platform contact.
func (m *Members) recordReports(now time.Time, p *peer, h Heartbeat) {
	p.Version, p.BaseRevision, p.readyRevision = h.Version, h.BaseRevision, h.ReadyRevision
	for _, d := range h.Dead {
		q := m.peers[d.Node]
		if q == nil {
			continue
		}
		q.declaredDead = true
		if q.Zone == p.Zone && h.State == StateActive && d.Incarnation >= q.Incarnation {
			q.suspectedAt = now
		}
	}
	if h.PlatformAge < 0 || h.PlatformAge >= NoContact {
		return
	}
	m.recordPlatformContact(now.Add(-h.PlatformAge))
}

// markAlive marks the sender of a heartbeat alive and updates its state.
func (m *Members) markAlive(now time.Time, p *peer, h Heartbeat, wasDead bool) []Change {
	first, newIncarnation := p.Incarnation == 0, h.Incarnation > p.Incarnation
	from := p.State
	p.heartbeatAt, p.Alive, p.State, p.Incarnation = now, true, h.State, h.Incarnation
	if newIncarnation {
		p.suspectedAt = time.Time{}
	}
	switch {
	case wasDead:
		p.InSync = m.options.reviveSameIncarnation
	case first:
		m.hadActivePeer = m.hadActivePeer || h.State != StateJoining
		// A node that has just started has placed no flows that this one lacks.
		p.InSync = m.state != StateJoining && h.State == StateJoining
	}
	switch {
	case newIncarnation:
		return []Change{PeerAlive{Node: p.Node, State: h.State, Returned: !first}}
	case wasDead:
		return []Change{PeerAlive{Node: p.Node, State: h.State, Returned: true}}
	case from != h.State:
		return []Change{PeerState{Node: p.Node, From: from, To: h.State}}
	}
	return nil
}

func (p *peer) dead() bool { return !p.Alive && p.Incarnation > 0 }

// partition describes a partition that had this node and a peer on different
// sides.
type partition struct {
	mutual      bool // Each marked the other dead.
	outnumbered bool // The nodes of the peer's side stay active.
}

// outnumberedBy reports whether the sender of h was on the side of the zone that
// stays active after a partition: the larger side, or with equal sides the one
// with the highest-ranked balancer. The sender's side consists of the nodes that
// are dead in this node's view but not in the sender's. Both sides get the same
// result, because a node receives the first death declaration before it marks
// any node of the other side alive.
func (m *Members) outnumberedBy(h Heartbeat) bool {
	if len(h.Dead) == 0 {
		return false
	}
	ownSide, peerSide := 1, 0
	top, topOnPeerSide := m.self, false
	for _, p := range m.sortedPeers {
		if p.Zone != m.zone || p.Incarnation == 0 {
			continue
		}
		isDead := slices.ContainsFunc(h.Dead, func(d DeadPeer) bool { return d.Node == p.Node })
		switch {
		case p.Alive:
			ownSide++
		case isDead:
			continue
		default:
			peerSide++
		}
		if m.outranks(p.Node, top) {
			top, topOnPeerSide = p.Node, !p.Alive
		}
	}
	return peerSide > ownSide || peerSide == ownSide && topOnPeerSide
}

// handleDeathDeclaration responds to a peer's declaration that this node is dead.
func (m *Members) handleDeathDeclaration(now time.Time, p *peer, h Heartbeat, s partition) []Change {
	if m.options.ignoreDeathDeclarations {
		return nil
	}
	for _, d := range h.Dead {
		if d.Node != m.self || d.Incarnation < m.incarnation || d.Incarnation+1 == 0 {
			continue
		}
		if m.defersDeathDeclaration(now, p) {
			return nil
		}
		m.incarnation = d.Incarnation + 1
		rejoin := m.state == StateActive && m.mustRejoin(p, h, s)
		if rejoin {
			m.rejoin(now)
		}
		return []Change{SelfDeclaredDead{By: p.Node, Incarnation: m.incarnation, Rejoin: rejoin}}
	}
	return nil
}

// defersDeathDeclaration reports whether a death declaration of another zone is
// left unanswered for now. The node waits three in-zone heartbeat intervals for
// the declarations of its own zone. A node that did not detect its own pause may
// receive one of another zone first. If it raised its incarnation for that one,
// its own zone would mark it active again, although it lacks the flows that were
// placed during the pause.
func (m *Members) defersDeathDeclaration(now time.Time, p *peer) bool {
	wait := 3 * m.options.HeartbeatInZone
	if p.Zone == m.zone || !m.activePeerInZone() || m.options.noDeclarationDeferral {
		return false
	}
	if m.deferredSince.IsZero() || now.Sub(m.deferredSince) > 10*wait {
		m.deferredSince = now
	}
	return now.Sub(m.deferredSince) < wait
}

// mustRejoin reports whether this node resigns its keys after a peer declared it
// dead. Only active nodes of its own zone can have taken them over. If each
// marked the other dead, one side stays active, so that the zone has an active
// node when the partition heals.
func (m *Members) mustRejoin(p *peer, h Heartbeat, s partition) bool {
	if m.options.alwaysRejoin {
		return true
	}
	if p.Zone != m.zone || h.State != StateActive {
		return false
	}
	return !s.mutual || s.outnumbered
}
