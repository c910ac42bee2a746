package bvnode

import (
	"net/netip"
	"time"

	"balsamvane/core/bvmember"
)

// tick lets time pass.
func (n *Node) tick(now time.Time) []Action {
	as := n.apply(now, n.members.Tick(now))
	if now.After(n.refresh.until) {
		n.refresh.until = time.Time{}
	}
	as = append(as, n.heartbeats(now)...)
	as = append(as, n.configurationReads(now)...)
	as = append(as, n.pullRecords(now)...)
	as = append(as, n.missingBases(now)...)
	n.activate(now)
	n.enableShare(now)
	n.router.Expire(now, n.table.Len()/expireTicks+expireTicks)
	n.limiter.SetPressure(float64(n.table.Len())/float64(n.table.Max()), n.queueOver)
	n.moveBase(now)
	as = append(as, n.pushes(now)...)
	return append(as, n.stop(now)...)
}

// settle does what follows from any event: it compiles the picture if
// something has changed.
func (n *Node) settle(now time.Time) []Action {
	if !n.stale {
		return nil
	}
	n.stale = false
	return n.compile(now)
}

// apply acts on changes of the membership.
func (n *Node) apply(now time.Time, cs []bvmember.Change) []Action {
	var as []Action
	for _, c := range cs {
		n.stale = true
		switch c := c.(type) {
		case bvmember.PeerDead:
			delete(n.pulls, c.Node)
			n.lostAt = now
		case bvmember.PeerAlive:
			delete(n.pulls, c.Node)
			if c.Returned {
				n.lostAt = now
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

// startRefresh asks two peers and the platform for their configuration after a
// pause. Packets are dropped until one of them has answered.
func (n *Node) startRefresh(now time.Time) []Action {
	clear(n.pulls)
	n.token++
	n.refresh = refresh{until: now.Add(refreshLimit), token: n.token}
	as := []Action{ReadPlatform{Token: n.token}}
	asked := 0
	for _, p := range n.members.Peers() {
		if p.Alive && asked < 2 {
			as = append(as, FetchConfig{From: p.Node, Control: p.Control, Token: n.token})
			asked++
		}
	}
	return as
}

func (n *Node) refreshed(token uint64) {
	if token != 0 && token >= n.refresh.token {
		n.refresh.until = time.Time{}
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

// configurationReads asks the platform and peers for newer configurations.
func (n *Node) configurationReads(now time.Time) []Action {
	if n.knownSince.IsZero() {
		return n.bootstrapReads(now)
	}
	var as []Action
	if w := n.members.WatchesPlatform(); w != n.watching {
		n.watching = w
		as = append(as, WatchPlatform{Enabled: w})
	}
	if n.members.PlatformReadDue(now) {
		as = append(as, ReadPlatform{Token: n.nextToken()})
	}
	if !n.enabled(learnFromPeers) {
		return as
	}
	if t, _, ok := n.members.FetchTarget(now); ok {
		as = append(as, FetchConfig{From: t.Node, Control: t.Control, Token: n.nextToken()})
	}
	return as
}

func (n *Node) nextToken() uint64 {
	n.token++
	return n.token
}

func (n *Node) bootstrapReads(now time.Time) []Action {
	if now.Before(n.bootstrap) {
		return nil
	}
	n.bootstrap = now.Add(bootstrapInterval)
	as := []Action{ReadPlatform{Token: n.nextToken()}}
	if len(n.options.Seeds) > 0 {
		seed := n.options.Seeds[n.token%uint64(len(n.options.Seeds))]
		as = append(as, FetchConfig{Control: seed, Token: n.token})
	}
	return as
}

// activate makes a joining node active once it has heard its peers, has the
// exceptions of all active ones and runs a configuration as new as theirs. A
// node that has not heard another zone yet would take the keys of that zone for
// its own. A zone without an active node is handled by the membership.
func (n *Node) activate(now time.Time) {
	if n.members.State() != bvmember.StateJoining || n.knownSince.IsZero() || !n.members.Synced() {
		return
	}
	if len(n.members.Active(n.options.Zone)) == 0 || !n.baseKnown() {
		return
	}
	if n.enabled(unheardPeers) && n.members.HasUncontactedPeer() && now.Sub(n.knownSince) < unheardLimit {
		return
	}
	v := n.store.Version()
	for _, p := range n.members.Peers() {
		if p.Alive && p.State == bvmember.StateActive && p.Version.Compare(v) > 0 {
			return
		}
	}
	n.members.SetState(now, bvmember.StateActive)
	n.stale = true
}

// enableShare lets the node use its share of the limits once all active peers
// of the zone run a revision that lists it, so that the shares in use never
// add up to more than the limit.
func (n *Node) enableShare(now time.Time) {
	if n.shareOn || n.knownSince.IsZero() || n.listedAt == 0 {
		return
	}
	if n.members.ZonePeersHaveRevision(n.listedAt) || now.Sub(n.knownSince) > shareDelay {
		n.shareOn = true
		n.limiter.SetShareEnabled(true)
	}
}

func (n *Node) requestStop(now time.Time) {
	if !n.stopBy.IsZero() {
		return
	}
	n.stopBy = now.Add(n.options.StopTimeout)
	n.members.SetState(now, bvmember.StateLeaving)
	n.stale = true
}

// stop ends the node once everything is pushed and the peers have had time to
// see that it is leaving.
func (n *Node) stop(now time.Time) []Action {
	if n.stopBy.IsZero() || n.stopped {
		return nil
	}
	// Two heartbeats across zones: until then peers hand packets on to this
	// node and take its decisions for those of an owner.
	announced := now.Sub(n.stopBy.Add(-n.options.StopTimeout)) >= 2*time.Second
	pushed := n.sweeper.Complete() || !n.hasActivePeer()
	if now.Before(n.stopBy) && (!announced || !pushed) {
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
