// Package bvnode composes a balancer's decisions into one state machine.
//
// It does no I/O and reads no clock. Packets go in and a
// [bvroute.Decision] comes out; every other event goes in through
// [Node.Handle] and a list of actions comes out.
//
// A node starts without a configuration. It reads the platform and, if the
// settings name any, its seed peers, until one of them returns a configuration
// with the list of its peers. It owns no flows until it has the exceptions of
// all active peers. Package bvroute describes owners, base picks and exceptions.
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
	// refreshLimit bounds how long a node waits for a current configuration after
	// a pause before it continues with the one it has.
	refreshLimit = 2 * time.Second
	// bootstrapInterval is the time between two reads while the node has no
	// configuration.
	bootstrapInterval = time.Second
	// shareTimeout bounds how long a new node leaves its share of the limits
	// unused while some active peer of its zone does not run a revision that lists
	// it.
	shareTimeout = 60 * time.Second
	// uncontactedLimit bounds how long a new node waits for the first heartbeat of
	// published peers. A peer with an earlier configuration sends none because it
	// does not list the new node, and may hold exceptions that the node needs.
	// Configurations are in force everywhere within seconds.
	uncontactedLimit = 10 * time.Second
	// heartbeatBytesPerSecond is the cost of heartbeats in a group of eight
	// balancers; records get the rest of the control budget.
	heartbeatBytesPerSecond = 1000
	// expireTicks is the number of ticks in which the whole table is scanned for
	// expired entries.
	expireTicks = 100
)

// Options configure a node. Limits and times that are zero get their defaults.
type Options struct {
	Node        string
	Zone        string
	Group       string
	Incarnation uint64    // Larger than that of any earlier process of this node.
	Started     time.Time // Not after any time that is passed in later.
	// Seeds are control addresses of peers. A node without a configuration requests
	// one from a seed at each read, in case the platform does not answer.
	Seeds                 []netip.AddrPort
	MaxFlows              int
	ControlBytesPerSecond int
	IdleTimeout           time.Duration
	OpeningWindow         time.Duration
	StopTimeout           time.Duration
	// Seed seeds the jitter of delays.
	Seed uint64

	// disabled holds the safeguards that are switched off, so that tests can show
	// that they detect the failures.
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
	options Options
	self    bvconfig.NodeID
	store   *bvconfig.Store
	members *bvmember.Members
	limiter *bvlimit.Limiter
	table   *bvflow.Table
	router  *bvroute.Router
	sweeper *bvsync.Sweeper
	vms     map[string]VMState // Nil until the list has been read.
	// vmsComplete is true if a VM that the list of VMs lacks is removed.
	vmsComplete bool
	// retired holds upstreams that the configuration no longer has and whose VM is
	// not known to be removed.
	retired  map[bvconfig.UpstreamID]bvconfig.Upstream
	findings configFindings

	firstListedRevision uint64    // The first revision that lists this node.
	configuredAt        time.Time // When the first configuration was accepted.
	shareEnabled        bool      // The node uses its share of the limits.
	bootstrapped        bool      // The whole group has started together.
	queueOverLimit      bool      // The packet queue is over its limit.
	watching            bool      // The watch on the platform is enabled.
	snapshotOutdated    bool      // The snapshot has to be compiled again.
	baseCandidate       uint64    // The revision to which the base is about to move; 0 if none.
	// peerFailedAt is when a peer last failed or returned in a new incarnation, and
	// so may have lost its flow table. It starts as the time of the first
	// configuration.
	peerFailedAt      time.Time
	baseRemovals      map[uint64]BaseRemovals // Received from peers, by base revision.
	nextBootstrapRead time.Time               // Next read while there is no configuration.
	lastToken         uint64
	refresh           refresh
	stopDeadline      time.Time // Zero unless a planned stop is in progress.
	stopped           bool
	pulls             map[bvconfig.NodeID]*pull // The state of the sync from each peer.
	baseRequestedAt   map[uint64]time.Time      // When each missing base was last requested.
}

// refresh is the wait for a current configuration after a pause. Only answers to
// requests that were sent after the pause count, since others may have been
// waiting in a socket's buffer.
type refresh struct {
	deadline   time.Time // Zero if the node is not waiting.
	firstToken uint64    // The token of the first request after the pause.
}

// New returns a node that has no configuration yet and is joining.
func New(o Options) *Node {
	o = o.withDefaults()
	n := &Node{
		options: o, self: bvconfig.NodeIDOf(o.Node),
		store:   bvconfig.NewStore(bvconfig.StoreOptions{Group: o.Group}),
		limiter: bvlimit.New(bvlimit.Options{}),
		retired: map[bvconfig.UpstreamID]bvconfig.Upstream{},
		pulls:   map[bvconfig.NodeID]*pull{}, baseRequestedAt: map[uint64]time.Time{},
		baseRemovals: map[uint64]BaseRemovals{},
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

// syncBytes returns the bytes a second for records: the control budget less
// heartbeats, and at least a third of it.
func (n *Node) syncBytes() int {
	return max(n.options.ControlBytesPerSecond-heartbeatBytesPerSecond, n.options.ControlBytesPerSecond/3, 1)
}

// Packet decides on one packet. trail and record are zero for a packet that
// comes from the fabric.
func (n *Node) Packet(now time.Time, p bvflow.Packet, trail bvroute.Trail, record bvroute.Record) bvroute.Decision {
	if n.enabled(refreshAfterPause) && (n.members.Paused(now) || now.Before(n.refresh.deadline)) {
		return bvroute.Decision{Verdict: bvroute.VerdictDrop, Reason: bvroute.ReasonPaused}
	}
	if record.Kind == bvroute.RecordRefused && !n.enabled(refusalRecords) {
		return bvroute.Decision{Verdict: bvroute.VerdictRefuse, Reason: bvroute.ReasonNoCapacity}
	}
	return n.router.Route(now, p, trail, record)
}

// Sent records that an opening was sent after from and by the time by, as
// [Node.Packet] had decided. Other packets are ignored.
func (n *Node) Sent(from, by time.Time, p bvflow.Packet) { n.router.Sent(from, by, p) }

// Handle processes an event and returns the actions to execute.
func (n *Node) Handle(now time.Time, ev Event) []Action {
	var as []Action
	switch ev := ev.(type) {
	case Tick:
		as = n.tick(now)
	case HeartbeatReceived:
		as = n.applyChanges(now, n.members.ReceiveHeartbeat(now, ev.Heartbeat))
	case ConfigOffered:
		n.finishRefresh(ev.Token)
		if ev.FromPlatform {
			n.members.PlatformContacted(now)
		}
		n.offerConfig(now, ev.Config)
	case PlatformContacted:
		n.finishRefresh(ev.Token)
		n.members.PlatformContacted(now)
	case BaseReceived:
		n.snapshotOutdated = n.store.Retain(ev.Config, ev.Age, now) || n.snapshotOutdated
	case VMListRead:
		n.updateVMs(ev)
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
		n.queueOverLimit = ev.OverLimit
	case StopRequested:
		n.requestStop(now)
	}
	as = append(as, n.updateSnapshot(now)...)
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
