package bvnode

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvmember"
	"balsamvane/core/bvroute"

	"github.com/stretchr/testify/require"
)

var startTime = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// cluster is a few nodes and a fake platform, connected by function calls.
type cluster struct {
	t             *testing.T
	now           time.Time
	names         []string // In the order in which they are ticked.
	nodes         map[string]*Node
	paused        map[string]bool
	linkDown      func(from, to string) bool // Nil if all nodes reach each other.
	platform      *bvconfig.Config           // Nil if it does not answer.
	staleReplica  map[string]*bvconfig.Config
	watching      map[string]bool
	stopped       map[string]Stop
	disabled      safeguard
	fabricPackets int // Number of packets sent, to choose the next balancer.

	nodeByAddress map[netip.AddrPort]string
	configBlocked map[string]bool          // Nodes that receive no configuration.
	clockOffset   map[string]time.Duration // Offset of a node's clock from now.
	everyTick     func()                   // Nil, or called at the end of each tick.
	onDelivery    func(at string, p bvflow.Packet, d bvroute.Decision) bool
	lastSender    string         // The node that delivered the last packet to an upstream.
	delays        *messageDelays // Nil if control messages arrive at once.
}

func (g *cluster) clock(name string) time.Time { return g.now.Add(g.clockOffset[name]) }

func address(kind, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(kind), byte(i >> 8), byte(i)}), 6081)
}

// testConfig returns a configuration with one service, two zones, and the given
// numbers of balancers and upstreams in each zone.
func testConfig(revision uint64, balancers, upstreams int) bvconfig.Config {
	c := bvconfig.Config{
		Version: bvconfig.Version{Revision: revision, Hash: [32]byte{byte(revision)}}, Group: "g", HashSeed: 5,
		Zones: []bvconfig.Zone{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}},
		Services: []bvconfig.Service{{
			Name: "bench", VNI: 101, Addresses: []netip.AddrPort{netip.MustParseAddrPort("192.0.2.1:80")},
			Protocol: bvflow.ProtocolTCP, IdleTimeout: 2 * time.Hour,
		}},
	}
	for i, z := range []string{"a", "b"} {
		for j := range balancers {
			c.Balancers = append(c.Balancers, bvconfig.Balancer{
				Name: fmt.Sprintf("lb-%s%d", z, j), Zone: z, Tunnel: address(1, i*100+j), Control: address(2, i*100+j),
			})
		}
		for j := range upstreams {
			c.Upstreams = append(c.Upstreams, bvconfig.Upstream{
				Name: fmt.Sprintf("up-%s%d", z, j), Service: "bench", Zone: z, Tunnel: address(3, i*100+j),
				Weight: 1, Slots: 4, Connections: 2000,
			})
		}
	}
	return c
}

func newCluster(t *testing.T, c bvconfig.Config, disabled safeguard) *cluster {
	g := &cluster{
		t: t, now: startTime, nodes: map[string]*Node{}, paused: map[string]bool{}, platform: &c, disabled: disabled,
		staleReplica: map[string]*bvconfig.Config{}, watching: map[string]bool{}, stopped: map[string]Stop{},
		nodeByAddress: map[netip.AddrPort]string{}, configBlocked: map[string]bool{}, clockOffset: map[string]time.Duration{},
	}
	g.addAddresses(c)
	for _, b := range c.Balancers {
		g.start(b.Name, b.Zone)
	}
	return g
}

// addAddresses records the addresses of a configuration's balancers.
func (g *cluster) addAddresses(c bvconfig.Config) {
	for _, b := range c.Balancers {
		g.nodeByAddress[b.Tunnel], g.nodeByAddress[b.Control] = b.Name, b.Name
	}
}

func (g *cluster) start(name, zone string) {
	if g.nodes[name] == nil {
		g.names = append(g.names, name)
		slices.Sort(g.names)
	}
	delete(g.stopped, name)
	g.watching[name] = false
	g.nodes[name] = New(Options{
		Node: name, Zone: zone, Group: "g", Started: g.clock(name), Incarnation: uint64(g.now.UnixNano()),
		StopTimeout: 60 * time.Second, disabled: g.disabled,
	})
}

func (g *cluster) kill(name string) {
	delete(g.nodes, name)
	g.names = slices.DeleteFunc(g.names, func(n string) bool { return n == name })
}

func (g *cluster) reaches(from, to string) bool {
	return g.nodes[to] != nil && !g.paused[to] && (g.linkDown == nil || !g.linkDown(from, to))
}

// run advances the time in ticks.
func (g *cluster) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(TickInterval) {
		for _, n := range slices.Clone(g.names) {
			if g.nodes[n] == nil || g.paused[n] {
				continue
			}
			g.handle(n, Tick{})
			if c := g.platformConfig(n); g.watching[n] && c != nil {
				g.handle(n, ConfigOffered{Config: *c, FromPlatform: true})
			}
		}
		g.deliver()
		if g.everyTick != nil {
			g.everyTick()
		}
	}
}

func (g *cluster) platformConfig(name string) *bvconfig.Config {
	if c := g.staleReplica[name]; c != nil {
		return c
	}
	if g.platform != nil && g.linkDown != nil && g.linkDown(name, "platform") {
		return nil
	}
	return g.platform
}

func (g *cluster) handle(name string, ev Event) {
	n := g.nodes[name]
	if _, ok := ev.(ConfigOffered); n == nil || g.paused[name] || ok && g.configBlocked[name] {
		return
	}
	for _, a := range n.Handle(g.clock(name), ev) {
		g.execute(name, a)
	}
}

// runningNode returns the running node with the address, or "".
func (g *cluster) runningNode(a netip.AddrPort) string {
	if n := g.nodeByAddress[a]; g.nodes[n] != nil {
		return n
	}
	return ""
}

func (g *cluster) execute(name string, a Action) {
	switch a := a.(type) {
	case SendHeartbeat:
		for _, to := range a.To {
			if peer := g.runningNode(to); g.reaches(name, peer) {
				g.sendControl(peer, HeartbeatReceived{Heartbeat: a.Heartbeat}, nil)
			}
		}
	case FetchConfig:
		if peer := g.runningNode(a.Control); g.reaches(name, peer) {
			if c, ok := g.nodes[peer].Config(); ok {
				g.sendControl(name, ConfigOffered{Config: c, Token: a.Token}, nil)
			}
		}
	case FetchBase:
		if peer := g.runningNode(a.Control); g.reaches(name, peer) {
			if c, age, ok := g.nodes[peer].Generation(g.clock(peer), a.Revision); ok {
				g.sendControl(name, BaseReceived{Config: c, Age: age}, nil)
			}
		}
	case ReadPlatform:
		if c := g.platformConfig(name); c != nil {
			g.sendControl(name, ConfigOffered{Config: *c, FromPlatform: true, Token: a.Token}, nil)
		}
	case WatchPlatform:
		g.watching[name] = a.Enabled
	case RequestSync:
		if peer := g.runningNode(a.Control); g.reaches(name, peer) {
			answer := g.nodes[peer].SyncRequest(g.clock(peer), bvconfig.NodeIDOf(name), a.Cursor, a.Limit)
			answer.Token = a.Token
			g.sendControl(name, answer, nil)
		} else {
			g.sendControl(name, SyncFailed{From: a.From}, nil)
		}
	case PushRecords:
		if peer := g.runningNode(a.Control); g.reaches(name, peer) {
			g.sendControl(peer, RecordsPushed{From: bvconfig.NodeIDOf(name), Records: a.Records}, func() {
				g.sendControl(name, PushAcknowledged{From: a.To, Sequence: a.Sequence}, nil)
			})
		}
	case Stop:
		g.stopped[name] = a
		g.kill(name)
	case SetProbes:
	}
}

// refused is returned by send for a packet that was refused.
const refused bvroute.Reason = 255

// send sends a packet to one balancer, as the fabric does, and forwards it until
// it is decided. It returns the upstream that got it, or the reason why none did.
func (g *cluster) send(at string, p bvflow.Packet) (bvconfig.UpstreamID, bvroute.Reason) {
	var trail bvroute.Trail
	var record bvroute.Record
	for range 8 {
		n := g.nodes[at]
		if n == nil || g.paused[at] {
			return 0, bvroute.ReasonNoOwner
		}
		d := n.Packet(g.clock(at), p, trail, record)
		switch d.Verdict {
		case bvroute.VerdictUpstream:
			g.lastSender = at
			if g.onDelivery != nil && !g.onDelivery(at, p, d) {
				return 0, bvroute.ReasonUpstreamRemoved
			}
			return d.Upstream, bvroute.ReasonNone
		case bvroute.VerdictForward:
			next := g.runningNode(d.Tunnel)
			if !g.reaches(at, next) {
				return 0, bvroute.ReasonNoOwner
			}
			at, trail, record = next, d.Trail, d.Record
		case bvroute.VerdictRefuse:
			return 0, refused
		default:
			return 0, d.Reason
		}
	}
	require.FailNow(g.t, "the packet did not arrive after 8 hops")
	return 0, bvroute.ReasonNone
}

// sendRetrying sends a packet to one balancer after the other until one delivers
// it, like the retransmissions of a caller, and returns the upstream.
// Retransmissions are half a second apart; after 8 s the result is 0.
func (g *cluster) sendRetrying(p bvflow.Packet) bvconfig.UpstreamID {
	for range 16 {
		g.fabricPackets++
		at := g.names[g.fabricPackets%len(g.names)]
		if u, reason := g.send(at, p); reason == bvroute.ReasonNone {
			return u
		}
		g.run(500 * time.Millisecond)
	}
	return 0
}

func packet(flow int, phase bvflow.Phase) bvflow.Packet {
	return bvflow.Packet{
		Tuple: bvflow.Tuple{
			Source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(flow >> 8), byte(flow)}), 40000),
			Destination: netip.MustParseAddrPort("192.0.2.1:80"), Protocol: bvflow.ProtocolTCP,
		},
		Phase: phase,
	}
}

func (g *cluster) states() map[string]bvmember.State {
	m := map[string]bvmember.State{}
	for name, n := range g.nodes {
		m[name] = n.members.State()
	}
	return m
}

func (g *cluster) requireActive() {
	for name, s := range g.states() {
		require.Equal(g.t, bvmember.StateActive, s, name)
	}
}
