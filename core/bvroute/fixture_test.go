package bvroute

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvmember"

	"github.com/stretchr/testify/require"
)

// A fixed seed gives the property tests the same result in every run.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "50"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// budgetLimiter is a [Limiter] with a number of remaining admissions for each
// upstream. Upstreams that are not listed have no limit.
type budgetLimiter struct {
	remaining map[bvconfig.UpstreamID]int
	open      map[bvconfig.UpstreamID]int
	rejectAll bool // Admit always returns false.
}

func (b *budgetLimiter) Admit(_ time.Time, u bvconfig.UpstreamID) bool {
	n, bounded := b.remaining[u]
	if b.rejectAll || bounded && n == 0 {
		return false
	}
	if bounded {
		b.remaining[u]--
	}
	return true
}
func (b *budgetLimiter) Opened(_ time.Time, u bvconfig.UpstreamID)        { b.open[u]++ }
func (b *budgetLimiter) Closed(_ time.Time, u bvconfig.UpstreamID)        { b.open[u]-- }
func (b *budgetLimiter) Retransmitted(_ time.Time, _ bvconfig.UpstreamID) {}
func (b *budgetLimiter) OpenFlows(u bvconfig.UpstreamID) int              { return b.open[u] }
func (b *budgetLimiter) Shed(bvconfig.Class) bool                         { return false }

// balancer is one node of a cluster.
type balancer struct {
	bvconfig.Balancer
	router  *Router
	limiter *budgetLimiter
	state   bvmember.State
	config  bvconfig.Config
	bases   []Base
	retired []bvconfig.Upstream
}

// cluster simulates a group of balancers whose routers are connected by
// function calls.
type cluster struct {
	require.TestingT
	now           time.Time
	random        *rand.Rand
	disabled      mechanism
	config        bvconfig.Config // Newest configuration; nodes may run older ones.
	nodes         []*balancer
	upstreamNames map[bvconfig.UpstreamID]string
	upstreamZones map[bvconfig.UpstreamID]string
	started       int
	trace         bool // Print explanations of flows that fail.
}

func address4(a, b, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(a), byte(b), 1}), uint16(port))
}

// newCluster returns a cluster with perZone balancers in each of the zones a
// and b, and two services with 14 upstreams each: "board" on TCP port 443 and
// "feed" on UDP port 53.
func newCluster(t require.TestingT, perZone int, disabled mechanism) *cluster {
	f := &cluster{
		TestingT: t, now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(1, 2)), disabled: disabled,
		upstreamNames: map[bvconfig.UpstreamID]string{}, upstreamZones: map[bvconfig.UpstreamID]string{},
	}
	f.config = bvconfig.Config{
		Version: bvconfig.Version{Revision: 1}, HashSeed: 7,
		Zones: []bvconfig.Zone{{Name: "a"}, {Name: "b"}},
		Services: []bvconfig.Service{
			{Name: "board", VNI: 1, Protocol: bvflow.ProtocolTCP, Addresses: []netip.AddrPort{address4(9, 1, 443)}},
			{Name: "feed", VNI: 2, Protocol: bvflow.ProtocolUDP, Addresses: []netip.AddrPort{address4(9, 2, 53)}},
		},
	}
	for i := range 14 {
		f.config.Upstreams = append(f.config.Upstreams, newUpstream("board", i), newUpstream("feed", i))
	}
	for i := range 2 * perZone {
		f.start(fmt.Sprintf("n%d", i), string(rune('a'+i%2)), bvmember.StateActive)
	}
	f.publish(func(*bvconfig.Config) {}, 1)
	for _, n := range f.nodes {
		n.bases = []Base{{Revision: 1, Upstreams: f.config.Upstreams}}
	}
	f.updateSnapshots()
	f.advanceTime(2 * time.Minute)
	return f
}

func newUpstream(service string, i int) bvconfig.Upstream {
	return bvconfig.Upstream{
		Name: fmt.Sprintf("%s%d", service, i), Service: service, Zone: string(rune('a' + i%2)),
		Tunnel: address4(len(service), i+1, 6081), Weight: uint32(1 + i%3),
	}
}

func (f *cluster) start(name, zone string, s bvmember.State) *balancer {
	f.started++
	n := &balancer{
		Balancer: bvconfig.Balancer{Name: name, Zone: zone, Tunnel: address4(200, f.started, 7000)},
		limiter:  &budgetLimiter{remaining: map[bvconfig.UpstreamID]int{}, open: map[bvconfig.UpstreamID]int{}},
		state:    s, config: f.config,
	}
	table := bvflow.NewTable(100_000, f.now, bvflow.DefaultLifetimes)
	n.router = New(n.ID(), zone, Options{disabled: f.disabled}, table, n.limiter)
	if len(f.nodes) > 0 {
		n.bases, n.retired = f.nodes[0].router.Bases(), f.nodes[0].retired
	}
	f.nodes = append(f.nodes, n)
	return n
}

// publish changes the configuration and distributes it to the given share of
// the nodes.
func (f *cluster) publish(change func(*bvconfig.Config), share float64) {
	old := f.config
	f.config.Zones = slices.Clone(old.Zones)
	f.config.Upstreams = slices.Clone(old.Upstreams)
	f.config.Services = slices.Clone(old.Services)
	change(&f.config)
	f.config.Version.Revision++
	for _, u := range f.config.Upstreams {
		f.upstreamNames[u.ID()], f.upstreamZones[u.ID()] = u.Name, u.Zone
	}
	f.rollOut(share)
}

func (f *cluster) rollOut(share float64) {
	for i, n := range f.nodes {
		if float64(i) < share*float64(len(f.nodes)) {
			n.config = f.config
		}
	}
	f.updateSnapshots()
}

// updateSnapshots sets each node's snapshot to the present state of the others.
func (f *cluster) updateSnapshots() {
	for _, n := range f.nodes {
		p := Snapshot{State: n.state, Config: n.config, Bases: n.bases, Retired: n.retired}
		for _, o := range f.nodes {
			if o != n {
				p.Peers = append(p.Peers, Peer{
					ID: o.ID(), Zone: o.Zone, State: o.state, Tunnel: o.Tunnel, InSync: true,
					Version: o.config.Version,
				})
			}
		}
		n.router.SetSnapshot(f.now, p)
	}
}

func (f *cluster) advanceTime(d time.Duration) {
	f.now = f.now.Add(d)
	for _, n := range f.nodes {
		n.router.Expire(f.now, 1<<20)
	}
}

func (f *cluster) node(id bvconfig.NodeID) *balancer {
	i := slices.IndexFunc(f.nodes, func(n *balancer) bool { return n.ID() == id })
	if i < 0 {
		return nil
	}
	return f.nodes[i]
}

// kill removes a node without a planned stop.
func (f *cluster) kill(n *balancer) {
	f.nodes = slices.DeleteFunc(f.nodes, func(o *balancer) bool { return o == n })
	f.updateSnapshots()
}

// sweep runs a complete sweep on every node.
func (f *cluster) sweep() {
	for _, n := range f.nodes {
		hs, _, _ := n.router.Handovers(f.now, 0, 1<<30, nil)
		for _, h := range hs {
			for _, id := range h.To[:h.Count] {
				if o := f.node(id); o != nil {
					require.NoError(f, o.router.Store(f.now, h.Key, h.Kind, h.Upstream))
				}
			}
		}
		n.router.SweepDone(n.router.Generation())
	}
}

// join starts a node, synchronizes it with the others and makes it active.
func (f *cluster) join(name, zone string) {
	n := f.start(name, zone, bvmember.StateJoining)
	f.updateSnapshots()
	for _, o := range f.nodes {
		if o == n {
			continue
		}
		for cursor, done := uint64(0), false; !done; {
			var hs []Handover
			hs, cursor, done = o.router.HandoversTo(f.now, n.ID(), cursor, 1000, 50, nil)
			for _, h := range hs {
				require.NoError(f, n.router.Store(f.now, h.Key, h.Kind, h.Upstream))
			}
		}
	}
	n.state = bvmember.StateActive
	f.updateSnapshots()
}

// leave performs a planned stop of a node.
func (f *cluster) leave(n *balancer) {
	n.state = bvmember.StateLeaving
	f.updateSnapshots()
	f.sweep()
	f.kill(n)
}

// flow is one flow of a caller.
type flow struct {
	bvflow.Tuple
	upstream bvconfig.UpstreamID // Upstream that received the opening; 0 if none.
}

func (f *cluster) newFlow(i int, destination netip.AddrPort, p bvflow.Protocol) *flow {
	source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 1000)
	return &flow{Tuple: bvflow.Tuple{Source: source, Destination: destination, Protocol: p}}
}

func (f *cluster) tcp(i int) *flow { return f.newFlow(i, address4(9, 1, 443), bvflow.ProtocolTCP) }

func (f *cluster) udp(i int) *flow { return f.newFlow(i, address4(9, 2, 53), bvflow.ProtocolUDP) }

// send passes a packet to a random node, as the fabric does, and follows it
// until it is no longer forwarded.
func (f *cluster) send(c *flow, phase bvflow.Phase, payload int) Decision {
	return f.sendTo(f.nodes[f.random.IntN(len(f.nodes))], c, phase, payload)
}

func (f *cluster) sendTo(n *balancer, c *flow, phase bvflow.Phase, payload int) Decision {
	p := bvflow.Packet{Tuple: c.Tuple, Phase: phase, Payload: payload}
	d := Decision{}
	for hops := 0; ; hops++ {
		require.LessOrEqual(f, hops, MaxVisited+2*MaxReplicas, "the packet is forwarded in a loop")
		d = n.router.Route(f.now, p, d.Trail, d.Record)
		if d.Verdict != VerdictForward {
			return d
		}
		if n = f.node(d.Next); n == nil {
			return drop(ReasonNoOwner)
		}
	}
}

// open opens a TCP flow and reports whether an upstream received the opening.
// It sends a dropped opening again, up to twice, as a caller does.
func (f *cluster) open(c *flow) bool {
	for range 3 {
		if d := f.send(c, bvflow.PhaseOpening, 0); d.Verdict == VerdictUpstream {
			c.upstream = d.Upstream
			return true
		} else if f.trace {
			fmt.Printf("%+v\n", d)
			f.explain(c)
		}
	}
	return false
}

// reachesUpstream sends a packet in mid-flow and reports whether it reaches the
// flow's upstream.
func (f *cluster) reachesUpstream(c *flow) bool {
	d := f.send(c, bvflow.PhaseEstablished, 100)
	return d.Verdict == VerdictUpstream && d.Upstream == c.upstream
}

// openMany opens n TCP flows, numbered from first.
func (f *cluster) openMany(first, n int) []*flow {
	var cs []*flow
	for i := range n {
		c := f.tcp(first + i)
		if f.open(c) {
			cs = append(cs, c)
		}
	}
	return cs
}

// broken returns the number of flows that no longer reach their upstream.
func (f *cluster) broken(cs []*flow) (n int) {
	for _, c := range cs {
		if !f.reachesUpstream(c) {
			n++
			if f.trace {
				f.explain(c)
			}
		}
	}
	return n
}

// explain prints every node's explanation of a flow.
func (f *cluster) explain(c *flow) {
	fmt.Printf("flow of %s in zone %s\n", f.upstreamNames[c.upstream], f.upstreamZones[c.upstream])
	for _, n := range f.nodes {
		x := n.router.Explain(f.now, c.Tuple)
		fmt.Printf("  %s zone %s revision %d: %+v", n.Name, n.Zone, n.config.Version.Revision, x)
		if x.Entry != nil {
			fmt.Printf(" entry %+v", *x.Entry)
		}
		fmt.Println()
	}
}

func drain(names ...string) func(*bvconfig.Config) {
	return func(c *bvconfig.Config) {
		for i := range c.Upstreams {
			if slices.Contains(names, c.Upstreams[i].Name) {
				c.Upstreams[i].Leaving = true
			}
		}
	}
}

func add(service string, numbers ...int) func(*bvconfig.Config) {
	return func(c *bvconfig.Config) {
		for _, i := range numbers {
			c.Upstreams = append(c.Upstreams, newUpstream(service, i))
		}
	}
}

func setOutOfService(name string, out bool) func(*bvconfig.Config) {
	return func(c *bvconfig.Config) {
		for i := range c.Zones {
			if c.Zones[i].Name == name {
				c.Zones[i].OutOfService = out
			}
		}
	}
}

func combine(a, b func(*bvconfig.Config)) func(*bvconfig.Config) {
	return func(c *bvconfig.Config) { a(c); b(c) }
}
