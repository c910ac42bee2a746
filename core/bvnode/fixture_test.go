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

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// group connects a few nodes and a fake platform by function calls.
type group struct {
	t        *testing.T
	now      time.Time
	names    []string // In the order in which they are ticked.
	nodes    map[string]*Node
	paused   map[string]bool
	cut      func(from, to string) bool // Nil if all reach each other.
	platform *bvconfig.Config           // Nil if it does not answer.
	stale    map[string]*bvconfig.Config
	watching map[string]bool
	stopped  map[string]Stop
	disabled safeguard
	packets  int // Of the chooser for the fabric.

	addresses map[netip.AddrPort]string
	frozen    map[string]bool          // Nodes that no configuration reaches.
	skew      map[string]time.Duration // Of a node's clock.
	everyTick func()                   // Nil, or called at the end of each tick.
	sent      func(at string, p bvflow.Packet, d bvroute.Decision) bool
	last      string // The node that sent the last packet to an upstream.
	noise     *noise // Nil if control messages arrive at once.
}

func (g *group) at(name string) time.Time { return g.now.Add(g.skew[name]) }

func address(kind, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(kind), byte(i >> 8), byte(i)}), 6081)
}

// sample returns a configuration with one service, two zones, and the given
// numbers of balancers and upstreams in each zone.
func sample(revision uint64, balancers, upstreams int) bvconfig.Config {
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

func newGroup(t *testing.T, c bvconfig.Config, disabled safeguard) *group {
	g := &group{
		t: t, now: start, nodes: map[string]*Node{}, paused: map[string]bool{}, platform: &c, disabled: disabled,
		stale: map[string]*bvconfig.Config{}, watching: map[string]bool{}, stopped: map[string]Stop{},
		addresses: map[netip.AddrPort]string{}, frozen: map[string]bool{}, skew: map[string]time.Duration{},
	}
	g.list(c)
	for _, b := range c.Balancers {
		g.start(b.Name, b.Zone)
	}
	return g
}

// list notes the addresses of a configuration's balancers.
func (g *group) list(c bvconfig.Config) {
	for _, b := range c.Balancers {
		g.addresses[b.Tunnel], g.addresses[b.Control] = b.Name, b.Name
	}
}

func (g *group) start(name, zone string) {
	if g.nodes[name] == nil {
		g.names = append(g.names, name)
		slices.Sort(g.names)
	}
	delete(g.stopped, name)
	g.watching[name] = false
	g.nodes[name] = New(Options{
		Node: name, Zone: zone, Group: "g", Started: g.at(name), Incarnation: uint64(g.now.UnixNano()),
		StopTimeout: 60 * time.Second, disabled: g.disabled,
	})
}

func (g *group) kill(name string) {
	delete(g.nodes, name)
	g.names = slices.DeleteFunc(g.names, func(n string) bool { return n == name })
}

func (g *group) reaches(from, to string) bool {
	return g.nodes[to] != nil && !g.paused[to] && (g.cut == nil || !g.cut(from, to))
}

// run lets time pass.
func (g *group) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(TickInterval) {
		for _, n := range slices.Clone(g.names) {
			if g.nodes[n] == nil || g.paused[n] {
				continue
			}
			g.handle(n, Tick{})
			if c := g.published(n); g.watching[n] && c != nil {
				g.handle(n, ConfigOffered{Config: *c, FromPlatform: true})
			}
		}
		g.deliver()
		if g.everyTick != nil {
			g.everyTick()
		}
	}
}

func (g *group) published(name string) *bvconfig.Config {
	if c := g.stale[name]; c != nil {
		return c
	}
	if g.platform != nil && g.cut != nil && g.cut(name, "platform") {
		return nil
	}
	return g.platform
}

func (g *group) handle(name string, ev Event) {
	n := g.nodes[name]
	if _, ok := ev.(ConfigOffered); n == nil || g.paused[name] || ok && g.frozen[name] {
		return
	}
	for _, a := range n.Handle(g.at(name), ev) {
		g.act(name, a)
	}
}

// named returns the running node with the address, or "".
func (g *group) named(a netip.AddrPort) string {
	if n := g.addresses[a]; g.nodes[n] != nil {
		return n
	}
	return ""
}

func (g *group) act(name string, a Action) {
	switch a := a.(type) {
	case SendHeartbeat:
		for _, to := range a.To {
			if peer := g.named(to); g.reaches(name, peer) {
				g.post(peer, HeartbeatReceived{Heartbeat: a.Heartbeat}, nil)
			}
		}
	case FetchConfig:
		if peer := g.named(a.Control); g.reaches(name, peer) {
			if c, ok := g.nodes[peer].Config(); ok {
				g.post(name, ConfigOffered{Config: c, Token: a.Token}, nil)
			}
		}
	case FetchBase:
		if peer := g.named(a.Control); g.reaches(name, peer) {
			if c, age, ok := g.nodes[peer].Generation(g.at(peer), a.Revision); ok {
				g.post(name, BaseReceived{Config: c, Age: age}, nil)
			}
		}
	case ReadPlatform:
		if c := g.published(name); c != nil {
			g.post(name, ConfigOffered{Config: *c, FromPlatform: true, Token: a.Token}, nil)
		}
	case WatchPlatform:
		g.watching[name] = a.Enabled
	case RequestSync:
		if peer := g.named(a.Control); g.reaches(name, peer) {
			answer := g.nodes[peer].SyncRequest(g.at(peer), bvconfig.NodeIDOf(name), a.Cursor, a.Limit)
			answer.Token = a.Token
			g.post(name, answer, nil)
		} else {
			g.post(name, SyncFailed{From: a.From}, nil)
		}
	case PushRecords:
		if peer := g.named(a.Control); g.reaches(name, peer) {
			g.post(peer, RecordsPushed{From: bvconfig.NodeIDOf(name), Records: a.Records}, func() {
				g.post(name, PushAcknowledged{From: a.To, Sequence: a.Sequence}, nil)
			})
		}
	case Stop:
		g.stopped[name] = a
		g.kill(name)
	case SetProbes:
	}
}

// refused stands for a refusal among the reasons that send returns.
const refused bvroute.Reason = 255

// send gives a packet to one balancer, as the fabric does, and follows it. It
// returns the upstream that got it, or the reason for which none did.
func (g *group) send(at string, p bvflow.Packet) (bvconfig.UpstreamID, bvroute.Reason) {
	var trail bvroute.Trail
	var record bvroute.Record
	for range 8 {
		n := g.nodes[at]
		if n == nil || g.paused[at] {
			return 0, bvroute.ReasonNoOwner
		}
		d := n.Packet(g.at(at), p, trail, record)
		switch d.Verdict {
		case bvroute.VerdictUpstream:
			g.last = at
			if g.sent != nil && !g.sent(at, p, d) {
				return 0, bvroute.ReasonUpstreamRemoved
			}
			return d.Upstream, bvroute.ReasonNone
		case bvroute.VerdictForward:
			next := g.named(d.Tunnel)
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

// spray sends a packet to one balancer after the other until one delivers it,
// as the retransmissions of a caller do, and returns the upstream. Between two
// copies half a second passes; the last one comes after 8 s.
func (g *group) spray(p bvflow.Packet) bvconfig.UpstreamID {
	for range 16 {
		g.packets++
		at := g.names[g.packets%len(g.names)]
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

func (g *group) states() map[string]bvmember.State {
	m := map[string]bvmember.State{}
	for name, n := range g.nodes {
		m[name] = n.members.State()
	}
	return m
}

func (g *group) requireActive() {
	for name, s := range g.states() {
		require.Equal(g.t, bvmember.StateActive, s, name)
	}
}
