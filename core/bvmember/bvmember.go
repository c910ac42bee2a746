// Package bvmember keeps a balancer's view of its peers: which are alive, what
// state they are in, and which of them this node is in sync with.
//
// Membership is the published list of balancers plus heartbeats. A peer that
// misses several heartbeats is marked dead until it sends a higher
// incarnation. A death declaration is the entry for such a peer in
// [Heartbeat.Dead]. A peer that receives its own raises its incarnation and
// resigns the keys that others have taken over. The package also derives from the
// heartbeats which nodes watch the platform and from which peer a newer
// configuration is fetched.
//
// The package does no I/O and reads no clock. The caller passes the time in,
// calls [Members.Tick] every 100 ms, and sends [Members.OwnHeartbeat] to the
// targets that [Members.HeartbeatsDue] returns.
//
// # Usage
//
//	m := bvmember.New(bvconfig.NodeIDOf("lb-1"), "zone-a", incarnation, bvmember.Options{})
//	m.SetBalancers(now, config.Balancers)
//	for _, c := range m.Tick(now) {
//		switch c := c.(type) {
//		case bvmember.PeerDead:
//			// its keys move to the next node in rank
//		}
//	}
//	for _, t := range m.HeartbeatsDue(now) {
//		send(t.Tunnel, m.OwnHeartbeat(now))
//	}
package bvmember

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"balsamvane/core/bvconfig"

	"github.com/zeebo/xxh3"
)

// Options are the settings of a [Members]. Zero values select the defaults, which
// the comments begin with.
type Options struct {
	HeartbeatInZone      time.Duration // 500 ms: interval of heartbeats to peers of this node's zone.
	HeartbeatAcrossZones time.Duration // 1 s: interval of heartbeats to peers of other zones.
	MissedHeartbeats     int           // 4: missed heartbeats after which a peer is marked dead.
	PauseLimit           time.Duration // 1 s: a longer gap between ticks or received heartbeats is a pause.
	ZoneEmptyAfter       time.Duration // 2 s: time without an active node in the zone until a joining one becomes active.
	PlatformReadAfter    time.Duration // 60 s: time without a platform contact of any node until this node reads the platform.
	ListPropagation      time.Duration // 5 s: time in which all nodes get a published list.
	ReadJitter           time.Duration // 30 s: largest random addition to PlatformReadAfter.
	FetchTimeout         time.Duration // 2 s: time until another peer is tried.
	Watchers             int           // 2: balancers of each zone that watch the platform.
	// Seed seeds the jitter.
	Seed uint64

	// Each of these switches off one mechanism in tests.
	ignorePause             bool
	ignoreDeathDeclarations bool
	ignoreZoneReports       bool
	ignoreVersions          bool
	alwaysRejoin            bool
	reviveSameIncarnation   bool
	noScheduledReads        bool
	noPromotion             bool
	noDeclarationDeferral   bool
	acceptReordered         bool
}

func (o Options) withDefaults() Options {
	o.HeartbeatInZone = cmp.Or(o.HeartbeatInZone, 500*time.Millisecond)
	o.HeartbeatAcrossZones = cmp.Or(o.HeartbeatAcrossZones, time.Second)
	o.MissedHeartbeats = cmp.Or(o.MissedHeartbeats, 4)
	o.PauseLimit = cmp.Or(o.PauseLimit, time.Second)
	o.ZoneEmptyAfter = cmp.Or(o.ZoneEmptyAfter, 2*time.Second)
	o.PlatformReadAfter = cmp.Or(o.PlatformReadAfter, time.Minute)
	o.ReadJitter = cmp.Or(o.ReadJitter, 30*time.Second)
	o.ListPropagation = cmp.Or(o.ListPropagation, 5*time.Second)
	o.FetchTimeout = cmp.Or(o.FetchTimeout, 2*time.Second)
	o.Watchers = cmp.Or(o.Watchers, 2)
	return o
}

const (
	// standstillGap is twice the interval of ticks. After a longer gap between ticks
	// or received heartbeats, some heartbeats may wait in the sockets.
	standstillGap = 200 * time.Millisecond
	// catchUpTime is the interval of ticks. Within it, heartbeats that waited are
	// received.
	catchUpTime = 100 * time.Millisecond
)

// Peer is this node's view of another balancer.
type Peer struct {
	Node    bvconfig.NodeID
	Name    string
	Zone    string
	Tunnel  netip.AddrPort
	Control netip.AddrPort
	// Alive is true from the first heartbeat of an incarnation until too many
	// are missed.
	Alive        bool
	State        State
	Incarnation  uint64 // The highest seen; 0 before the first heartbeat.
	Version      bvconfig.Version
	BaseRevision uint64
	// InSync is true if the peer holds no exception for this node that this
	// node does not have.
	InSync bool
}

type peer struct {
	Peer
	// heartbeatAt is when the last heartbeat was received. Pauses of this node move
	// it forward.
	heartbeatAt time.Time
	// suspectedAt is when an active node of the peer's own zone last declared it
	// dead.
	suspectedAt   time.Time
	nextHeartbeat time.Time // When the next heartbeat is sent to it.
	rank          uint64
	readyRevision uint64 // The ready revision of the last heartbeat.
	sequence      uint64 // The sequence number of the incarnation's last heartbeat.
	// declaredDead is true if another peer has declared this one dead.
	declaredDead bool
}

// Target is an address to send a heartbeat or a request to.
type Target struct {
	Node    bvconfig.NodeID
	Tunnel  netip.AddrPort
	Control netip.AddrPort
}

// Members is the membership view of one balancer. It is not safe for
// concurrent use.
type Members struct {
	options       Options
	self          bvconfig.NodeID
	zone          string
	incarnation   uint64
	state         State
	version       bvconfig.Version
	baseRevision  uint64
	readyRevision uint64
	rejected      bvconfig.Version
	peers         map[bvconfig.NodeID]*peer
	sortedPeers   []*peer   // Ordered by node ID.
	lastRunAt     time.Time // Last tick or received heartbeat, to detect pauses.
	// stoodStillFrom and resumedAt are the start and the end of the last gap between
	// ticks or received heartbeats that exceeds standstillGap.
	stoodStillFrom, resumedAt time.Time
	zoneActiveAt              time.Time // When the zone last had an active node.
	ownContactAt              time.Time // This node's last platform contact.
	// latestContactAt is the last platform contact of this node or any peer; it
	// starts at firstListAt.
	latestContactAt time.Time
	nextReadAt      time.Time // When this node reads the platform next.
	firstListAt     time.Time // When the first published list was set.
	// hadActivePeer is true if the first heartbeat of some peer had another state
	// than joining, or if this node has rejoined.
	hadActivePeer bool
	deferredSince time.Time // When the first unanswered death declaration of another zone arrived.
	jitterCount   uint64
	sequence      uint64 // Sequence number of the last heartbeat sent.
	nextFetchAt   time.Time
	fetchCount    uint64
}

// New returns the view of a joining balancer without peers. incarnation is
// larger than that of any earlier process of the node.
func New(self bvconfig.NodeID, zone string, incarnation uint64, o Options) *Members {
	return &Members{
		options: o.withDefaults(), self: self, zone: zone, incarnation: incarnation,
		peers: map[bvconfig.NodeID]*peer{},
	}
}

// rank returns the rendezvous weight of a node for the zone's name. It orders
// balancers where no flow key is involved.
func rank(zone string, n bvconfig.NodeID) uint64 {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(n))
	return xxh3.HashSeed(b[:], xxh3.HashString(zone))
}

func (m *Members) outranks(a, b bvconfig.NodeID) bool {
	return cmp.Or(cmp.Compare(rank(m.zone, a), rank(m.zone, b)), cmp.Compare(a, b)) > 0
}

// Incarnation returns this node's incarnation.
func (m *Members) Incarnation() uint64 { return m.incarnation }

// State returns this node's state.
func (m *Members) State() State { return m.state }

// SetState sets the state of this node: active when its sync is complete,
// leaving for a planned stop.
func (m *Members) SetState(now time.Time, s State) {
	m.state = s
	m.recordZoneActivity(now)
}

// SetVersion records the version in force and the base revision of this node. The
// next fetch is allowed at once.
func (m *Members) SetVersion(v bvconfig.Version, base uint64) {
	m.version, m.baseRevision = v, base
	m.nextFetchAt = time.Time{}
}

// SetBalancers replaces the published list. Peers that are no longer listed
// are removed; new ones are uncontacted until their first heartbeat.
func (m *Members) SetBalancers(now time.Time, bs []bvconfig.Balancer) {
	if m.zoneActiveAt.IsZero() {
		m.zoneActiveAt, m.latestContactAt, m.firstListAt = now, now, now
		m.nextReadAt = now.Add(m.jitteredReadDelay())
	}
	old := m.peers
	m.peers, m.sortedPeers = make(map[bvconfig.NodeID]*peer, len(bs)), m.sortedPeers[:0]
	for _, b := range bs {
		id := b.ID()
		if id == m.self || m.peers[id] != nil {
			continue
		}
		p := old[id]
		if p == nil {
			p = &peer{Peer: Peer{Node: id}, nextHeartbeat: now}
		}
		p.Name, p.Zone, p.Tunnel, p.Control = b.Name, b.Zone, b.Tunnel, b.Control
		p.rank = rank(m.zone, id)
		m.peers[id] = p
		m.sortedPeers = append(m.sortedPeers, p)
	}
	slices.SortFunc(m.sortedPeers, func(a, b *peer) int { return cmp.Compare(a.Node, b.Node) })
}

// Peers returns all published peers in the order of their IDs.
func (m *Members) Peers() []Peer {
	ps := make([]Peer, 0, len(m.sortedPeers))
	for _, p := range m.sortedPeers {
		ps = append(ps, p.Peer)
	}
	return ps
}

// Peer returns the view of one peer.
func (m *Members) Peer(n bvconfig.NodeID) (Peer, bool) {
	p, ok := m.peers[n]
	if !ok {
		return Peer{}, false
	}
	return p.Peer, true
}

// Active returns the active balancers of a zone, this node included, in the
// order of their IDs.
func (m *Members) Active(zone string) []bvconfig.NodeID {
	var ns []bvconfig.NodeID
	for _, p := range m.sortedPeers {
		if p.Zone == zone && p.Alive && p.State == StateActive {
			ns = append(ns, p.Node)
		}
	}
	if zone == m.zone && m.state == StateActive {
		ns = append(ns, m.self)
	}
	slices.Sort(ns)
	return ns
}

// MarkSynced records that this node has everything that the peer holds for it.
func (m *Members) MarkSynced(n bvconfig.NodeID) {
	if p := m.peers[n]; p != nil {
		p.InSync = true
	}
}

// Synced reports whether this node is in sync with every live active peer.
func (m *Members) Synced() bool {
	for _, p := range m.sortedPeers {
		if p.Alive && p.State == StateActive && !p.InSync {
			return false
		}
	}
	return true
}

// HasUncontactedPeer reports whether no heartbeat has been received yet from
// some published peer that no other peer has declared dead. Such a peer may run
// a configuration that does not list this node, and hold exceptions that this
// node needs.
func (m *Members) HasUncontactedPeer() bool {
	for _, p := range m.sortedPeers {
		if p.Incarnation == 0 && !p.declaredDead {
			return true
		}
	}
	return false
}

// LowestBase returns the lowest base revision of this node and its live peers.
// Older upstream lists can be dropped.
func (m *Members) LowestBase() uint64 {
	low := m.baseRevision
	for _, p := range m.sortedPeers {
		if p.Alive {
			low = min(low, p.BaseRevision)
		}
	}
	return low
}

// OwnHeartbeat returns the heartbeat that this node sends now.
func (m *Members) OwnHeartbeat(now time.Time) Heartbeat {
	h := Heartbeat{
		Node: m.self, Incarnation: m.incarnation, Sequence: m.sequence, State: m.state, Version: m.version,
		BaseRevision: m.baseRevision, ReadyRevision: m.readyRevision,
		PlatformAge: NoContact,
	}
	if !m.ownContactAt.IsZero() {
		h.PlatformAge = now.Sub(m.ownContactAt)
	}
	for _, p := range m.sortedPeers {
		if !p.Alive && p.Incarnation > 0 {
			h.Dead = append(h.Dead, DeadPeer{Node: p.Node, Incarnation: p.Incarnation})
		}
	}
	return h
}

// HeartbeatsDue returns the peers to which a heartbeat is due and counts it as
// sent. Dead peers get heartbeats as well: they carry the death declaration, and
// reconnect the sides of a partition once it ends.
func (m *Members) HeartbeatsDue(now time.Time) []Target {
	var ts []Target
	for _, p := range m.sortedPeers {
		if now.Before(p.nextHeartbeat) {
			continue
		}
		p.nextHeartbeat = p.nextHeartbeat.Add(m.heartbeatInterval(p))
		if !p.nextHeartbeat.After(now) {
			p.nextHeartbeat = now.Add(m.heartbeatInterval(p))
		}
		ts = append(ts, Target{Node: p.Node, Tunnel: p.Tunnel, Control: p.Control})
	}
	if len(ts) > 0 {
		m.sequence++
	}
	return ts
}

func (m *Members) heartbeatInterval(p *peer) time.Duration {
	if p.Zone == m.zone {
		return m.options.HeartbeatInZone
	}
	return m.options.HeartbeatAcrossZones
}

// SetReadyRevision records the revision to which this node could move its base,
// or 0.
func (m *Members) SetReadyRevision(revision uint64) { m.readyRevision = revision }

// AllReadyForBase reports whether every published peer is alive and has moved
// its base to the revision or is ready to.
func (m *Members) AllReadyForBase(revision uint64) bool {
	for _, p := range m.sortedPeers {
		if !p.Alive || p.readyRevision != revision && p.BaseRevision != revision {
			return false
		}
	}
	return true
}

// Bootstrapping reports whether the whole group has started together: every
// published peer has sent a heartbeat or was declared dead, and none had been
// active before.
func (m *Members) Bootstrapping() bool { return !m.hadActivePeer && !m.HasUncontactedPeer() }
