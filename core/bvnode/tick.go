package bvnode

import (
	"net/netip"
	"time"

	"balsamvane/core/bvmember"
)

// tick runs everything that depends on time.
func (n *Node) tick(now time.Time) []Action {
	as := n.applyChanges(now, n.members.Tick(now))
	if now.After(n.refresh.deadline) {
		n.refresh.deadline = time.Time{}
	}
	as = append(as, n.heartbeats(now)...)
	as = append(as, n.configurationReads(now)...)
	as = append(as, n.pullRecords(now)...)
	as = append(as, n.fetchMissingBases(now)...)
	n.activate(now)
	n.enableShare(now)
	n.router.Expire(now, n.table.Len()/expireTicks+expireTicks)
	n.limiter.SetPressure(float64(n.table.Len())/float64(n.table.Max()), n.queueOverLimit)
	n.moveBase(now)
	as = append(as, n.pushRecords(now)...)
	return append(as, n.stop(now)...)
}

// updateSnapshot runs after every event. It compiles the snapshot again if
// something has changed.
func (n *Node) updateSnapshot(now time.Time) []Action {
	if !n.snapshotOutdated {
		return nil
	}
	n.snapshotOutdated = false
	return n.compileSnapshot(now)
}

// applyChanges responds to changes of the membership.
func (n *Node) applyChanges(now time.Time, cs []bvmember.Change) []Action {
	var as []Action
	for _, c := range cs {
		n.snapshotOutdated = true
		switch c := c.(type) {
		case bvmember.PeerDead:
			delete(n.pulls, c.Node)
			n.peerFailedAt = now
		case bvmember.PeerAlive:
			delete(n.pulls, c.Node)
			if c.Returned {
				n.peerFailedAt = now
			}
		case bvmember.SelfPaused:
			as = append(as, n.startRefresh(now)...)
		case bvmember.SelfDeclaredDead:
			clear(n.pulls)
		case bvmember.PeerState, bvmember.ZoneEmpty, bvmember.SelfPromoted:
		}
	}
	return as
}

// startRefresh requests the configuration from two peers and the platform after
// a pause. Packets are dropped until one of them has answered, or the refresh
// limit has passed.
func (n *Node) startRefresh(now time.Time) []Action {
	clear(n.pulls)
	n.lastToken++
	n.refresh = refresh{deadline: now.Add(refreshLimit), firstToken: n.lastToken}
	as := []Action{ReadPlatform{Token: n.lastToken}}
	requested := 0
	for _, p := range n.members.Peers() {
		if p.Alive && requested < 2 {
			as = append(as, FetchConfig{From: p.Node, Control: p.Control, Token: n.lastToken})
			requested++
		}
	}
	return as
}

func (n *Node) finishRefresh(token uint64) {
	if token != 0 && token >= n.refresh.firstToken {
		n.refresh.deadline = time.Time{}
	}
}

func (n *Node) heartbeats(now time.Time) []Action {
	due := n.members.HeartbeatsDue(now)
	if len(due) == 0 {
		return nil
	}
	to := make([]netip.AddrPort, 0, len(due))
	for _, t := range due {
		to = append(to, t.Tunnel)
	}
	return []Action{SendHeartbeat{To: to, Heartbeat: n.members.OwnHeartbeat(now)}}
}

// configurationReads requests newer configurations from the platform and peers.
func (n *Node) configurationReads(now time.Time) []Action {
	if n.configuredAt.IsZero() {
		return n.bootstrapReads(now)
	}
	var as []Action
	if watches := n.members.WatchesPlatform(); watches != n.watching {
		n.watching = watches
		as = append(as, WatchPlatform{Enabled: watches})
	}
	if n.members.PlatformReadDue(now) {
		as = append(as, ReadPlatform{Token: n.nextToken()})
	}
	if !n.enabled(fetchFromPeers) {
		return as
	}
	if t, _, ok := n.members.FetchTarget(now); ok {
		as = append(as, FetchConfig{From: t.Node, Control: t.Control, Token: n.nextToken()})
	}
	return as
}

func (n *Node) nextToken() uint64 {
	n.lastToken++
	return n.lastToken
}

func (n *Node) bootstrapReads(now time.Time) []Action {
	if now.Before(n.nextBootstrapRead) {
		return nil
	}
	n.nextBootstrapRead = now.Add(bootstrapInterval)
	as := []Action{ReadPlatform{Token: n.nextToken()}}
	if len(n.options.Seeds) > 0 {
		seed := n.options.Seeds[n.lastToken%uint64(len(n.options.Seeds))]
		as = append(as, FetchConfig{Control: seed, Token: n.lastToken})
	}
	return as
}

// activate makes a joining node active once it has received heartbeats of its
// peers, has the exceptions of all active ones and runs a configuration as new
// as theirs. A node without a heartbeat of another zone would treat the keys of
// that zone as its own. bvmember handles a zone without an active node.
func (n *Node) activate(now time.Time) {
	if n.members.State() != bvmember.StateJoining || n.configuredAt.IsZero() || !n.members.Synced() {
		return
	}
	if len(n.members.Active(n.options.Zone)) == 0 || !n.hasPeerBases() {
		return
	}
	if n.enabled(awaitUncontacted) && n.members.HasUncontactedPeer() && now.Sub(n.configuredAt) < uncontactedLimit {
		return
	}
	v := n.store.Version()
	for _, p := range n.members.Peers() {
		if p.Alive && p.State == bvmember.StateActive && p.Version.Compare(v) > 0 {
			return
		}
	}
	n.members.SetState(now, bvmember.StateActive)
	n.snapshotOutdated = true
}

// enableShare lets the node use its share of the limits once all active peers
// of the zone run a revision that lists it. Until then the shares in use could
// add up to more than the limit. It stops waiting after shareTimeout.
func (n *Node) enableShare(now time.Time) {
	if n.shareEnabled || n.configuredAt.IsZero() || n.firstListedRevision == 0 {
		return
	}
	if n.members.ZonePeersHaveRevision(n.firstListedRevision) || now.Sub(n.configuredAt) > shareTimeout {
		n.shareEnabled = true
		n.limiter.SetShareEnabled(true)
	}
}

func (n *Node) requestStop(now time.Time) {
	if !n.stopDeadline.IsZero() {
		return
	}
	n.stopDeadline = now.Add(n.options.StopTimeout)
	n.members.SetState(now, bvmember.StateLeaving)
	n.snapshotOutdated = true
}

// stop ends the node once everything is pushed and the peers have had time to
// receive its leaving state, or when the stop timeout has passed.
func (n *Node) stop(now time.Time) []Action {
	if n.stopDeadline.IsZero() || n.stopped {
		return nil
	}
	// 2 s is the time of two heartbeats to other zones. Until they have arrived,
	// peers forward packets to this node and accept its decisions as those of an
	// owner.
	announced := now.Sub(n.stopDeadline.Add(-n.options.StopTimeout)) >= 2*time.Second
	pushed := n.sweeper.Complete() || !n.hasActivePeer()
	if now.Before(n.stopDeadline) && (!announced || !pushed) {
		return nil
	}
	n.stopped = true
	return []Action{Stop{Unpushed: n.sweeper.Unacknowledged()}}
}

func (n *Node) hasActivePeer() bool {
	for _, p := range n.members.Peers() {
		if p.Alive && p.State == bvmember.StateActive {
			return true
		}
	}
	return false
}
