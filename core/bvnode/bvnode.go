// Package bvnode composes a balancer's decisions into one state machine.
//
// It does no I/O and reads no clock. Packets go in and a
// [bvroute.Decision] comes out; every other event goes in through
// [Node.Handle] and a list of actions comes out.
//
// A node starts without a configuration. It reads the platform and, where the
// settings name some, its seed peers, until one of them answers; from then on
// it knows its peers. It owns no flows until it has the exceptions of all
// active peers.
//
// # Usage
//
//	n := bvnode.New(options)
//	for _, a := range n.Handle(clock.Now(), bvnode.Tick{}) {
//		switch a := a.(type) {
//		case bvnode.SendHeartbeat:
//			// send it
//		}
//	}
package bvnode

import (
	"net/netip"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvlimit"
	"balsamvane/core/bvmember"
	"balsamvane/core/bvroute"
	"balsamvane/core/bvsync"
)

const (
	// TickInterval is the time between two [Tick] events.
	TickInterval = 100 * time.Millisecond
	// refreshLimit bounds how long a node that was paused waits for a newer
	// picture before it goes on with what it has.
	refreshLimit = 2 * time.Second
	// bootstrapInterval is the time between two reads while the node has no
	// configuration.
	bootstrapInterval = time.Second
	// shareDelay is how long a new node leaves its share of the limits unused
	// when some peer does not run a revision that lists it.
	shareDelay = 60 * time.Second
	// unheardLimit bounds how long a new node waits for published peers that it
	// has not heard. A peer with an earlier configuration does not know the new
	// node, and may hold exceptions that it needs; configurations are in force
	// everywhere within seconds.
	unheardLimit = 10 * time.Second
	// heartbeatBytes is what heartbeats take each second in a group of eight
	// balancers; records get the rest of the control budget.
	heartbeatBytes = 1000
	// expireTicks is the number of ticks in which the whole table is looked at
	// for expired entries.
	expireTicks = 100
)

// Options are what a node needs to know of itself.
type Options struct {
	Node        string
	Zone        string
	Group       string
	Incarnation uint64    // Larger than that of any earlier process of this node.
	Started     time.Time // Not after any time that is passed in later.
	// Seeds are control addresses of peers that are asked for the
	// configuration while the platform does not answer.
	Seeds                 []netip.AddrPort
	MaxFlows              int
	ControlBytesPerSecond int
	IdleTimeout           time.Duration
	OpeningWindow         time.Duration
	StopTimeout           time.Duration
	// Seed feeds the jitter of delays.
	Seed uint64

	// disabled switches safeguards off, so that tests can show that they
	// detect the failures.
	disabled safeguard
}

func (o Options) withDefaults() Options {
	if o.MaxFlows == 0 {
		o.MaxFlows = 500_000
	}
	if o.ControlBytesPerSecond == 0 {
		o.ControlBytesPerSecond = 3000
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = bvflow.DefaultLifetimes.Idle
	}
	if o.OpeningWindow == 0 {
		o.OpeningWindow = bvflow.DefaultLifetimes.Opening
	}
	if o.StopTimeout == 0 {
		o.StopTimeout = 120 * time.Second
	}
	return o
}

// Node is the state machine of one balancer. It is not safe for concurrent
// use.
type Node struct {
	options  Options
	self     bvconfig.NodeID
	store    *bvconfig.Store
	members  *bvmember.Members
	limiter  *bvlimit.Limiter
	table    *bvflow.Table
	router   *bvroute.Router
	sweeper  *bvsync.Sweeper
	vms      map[string]VMState // Nil until the list has been read.
	retired  map[bvconfig.UpstreamID]bvconfig.Upstream
	findings bvconfigFindings

	listedAt   uint64    // The first revision that lists this node.
	knownSince time.Time // When the first configuration was accepted.
	shareOn    bool
	founded    bool // The group has started together with this node.
	queueOver  bool
	watching   bool
	stale      bool // The picture has to be compiled again.
	candidate  uint64
	lostAt     time.Time // When a peer was last lost with its flow table.
	left       map[uint64]BaseRemovals
	bootstrap  time.Time // Of the next read without a configuration.
	token      uint64
	refresh    refresh
	stopBy     time.Time // Zero unless a planned stop is under way.
	stopped    bool
	pulls      map[bvconfig.NodeID]*pull
	bases      map[uint64]time.Time // When each missing base was last asked for.
}

// refresh is the wait for a newer picture after a pause. Only answers to
// questions that were asked after the pause count, since others may have been
// waiting in a socket's buffer.
type refresh struct {
	until time.Time // Zero if there is no wait.
	token uint64    // The first token asked after the pause.
}

// New returns a node that has no configuration yet and is joining.
func New(o Options) *Node {
	o = o.withDefaults()
	n := &Node{
		options: o, self: bvconfig.NodeIDOf(o.Node),
		store:   bvconfig.NewStore(bvconfig.StoreOptions{Group: o.Group}),
		limiter: bvlimit.New(bvlimit.Options{}),
		retired: map[bvconfig.UpstreamID]bvconfig.Upstream{},
		pulls:   map[bvconfig.NodeID]*pull{}, bases: map[uint64]time.Time{},
		left: map[uint64]BaseRemovals{},
	}
	n.members = bvmember.New(n.self, o.Zone, o.Incarnation, bvmember.Options{Seed: o.Seed})
	lifetimes := bvflow.DefaultLifetimes
	lifetimes.Idle, lifetimes.Opening = o.IdleTimeout, o.OpeningWindow
	n.table = bvflow.NewTable(o.MaxFlows, o.Started, lifetimes)
	n.router = bvroute.New(n.self, o.Zone,
		bvroute.Options{OpeningWindow: o.OpeningWindow, IdleTimeout: o.IdleTimeout}, n.table, n.limiter)
	n.sweeper = bvsync.New(n.router, bvsync.Options{BytesPerSecond: n.syncBytes()})
	return n
}

// syncBytes returns the bytes a second for records: what heartbeats leave of
// the control budget, and at least a third of it.
func (n *Node) syncBytes() int {
	return max(n.options.ControlBytesPerSecond-heartbeatBytes, n.options.ControlBytesPerSecond/3, 1)
}

// Packet decides on one packet. trail and record are zero for a packet that
// comes from the fabric.
func (n *Node) Packet(now time.Time, p bvflow.Packet, trail bvroute.Trail, record bvroute.Record) bvroute.Decision {
	if n.enabled(refreshAfterPause) && (n.members.Paused(now) || now.Before(n.refresh.until)) {
		return bvroute.Decision{Verdict: bvroute.VerdictDrop, Reason: bvroute.ReasonPaused}
	}
	if record.Kind == bvroute.RecordRefused && !n.enabled(refusalRecords) {
		return bvroute.Decision{Verdict: bvroute.VerdictRefuse, Reason: bvroute.ReasonNoCapacity}
	}
	return n.router.Route(now, p, trail, record)
}

// Handle takes an event and returns what is to be done.
func (n *Node) Handle(now time.Time, ev Event) []Action {
	var as []Action
	switch ev := ev.(type) {
	case Tick:
		as = n.tick(now)
	case HeartbeatReceived:
		as = n.apply(now, n.members.ReceiveHeartbeat(now, ev.Heartbeat))
	case ConfigOffered:
		n.refreshed(ev.Token)
		if ev.FromPlatform {
			n.members.PlatformContacted(now)
		}
		n.offer(now, ev.Config)
	case PlatformContacted:
		n.refreshed(ev.Token)
		n.members.PlatformContacted(now)
	case BaseReceived:
		n.stale = n.store.Retain(ev.Config, ev.Age, now) || n.stale
	case VMListRead:
		n.readVMs(ev.VMs)
	case ProbeSucceeded:
		n.limiter.Probed(now, ev.Upstream, reportOf(ev))
	case ProbeFailed:
		n.limiter.ProbeFailed(now, ev.Upstream)
	case SyncReceived:
		n.syncReceived(now, ev)
	case SyncFailed:
		n.syncFailed(now, ev.From)
	case RecordsPushed:
		n.storeRecords(now, ev.Records)
	case PushAcknowledged:
		n.sweeper.Acknowledge(ev.From, ev.Sequence)
	case QueueChanged:
		n.queueOver = ev.OverLimit
	case StopRequested:
		n.requestStop(now)
	}
	as = append(as, n.settle(now)...)
	return as
}

func reportOf(e ProbeSucceeded) bvlimit.Report {
	states := map[UpstreamState]bvlimit.State{
		UpstreamWarm: bvlimit.StateWarm, UpstreamCold: bvlimit.StateCold,
		UpstreamDraining: bvlimit.StateDraining, UpstreamShedding: bvlimit.StateShedding,
	}
	return bvlimit.Report{
		State: states[e.State], StartedAt: e.StartedAt,
		OpenConnections: e.OpenConnections, BusySlots: e.BusySlots,
	}
}

// Config returns the accepted configuration; ok is false if there is none yet.
func (n *Node) Config() (c bvconfig.Config, ok bool) { return n.store.Current() }

// Generation returns a configuration that is retained for base picks, and how
// long ago it came into force.
func (n *Node) Generation(now time.Time, revision uint64) (c bvconfig.Config, age time.Duration, ok bool) {
	g, ok := n.store.At(revision)
	if !ok {
		return bvconfig.Config{}, 0, false
	}
	return g.Config, now.Sub(g.Since), true
}
