// Package bvgroup connects the nodes of one group by function calls under a
// virtual clock and counts the bytes of their control messages.
//
// Messages arrive at once and are never lost, except at nodes that are not
// running. Heartbeats are counted in the encoding of bvtunnel. Calls between
// peers are made over a loopback connection with bvpeer and counted there. The
// package is meant for measurements; it is not a cluster simulator.
//
// # Usage
//
//	g, err := bvgroup.New(bvgroup.Shape{Zones: 4, Balancers: 8, Upstreams: []int{14, 4}})
//	defer g.Close()
//	g.Run(10 * time.Second)
//	r := g.Send(0, packet)
package bvgroup

import (
	"net/netip"
	"slices"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvnode"
	"balsamvane/core/bvroute"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
)

// Start is the virtual time at which a group starts.
var Start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// Member is one balancer of the group.
type Member struct {
	Name    string
	Zone    string
	Node    *bvnode.Node // nil while it is not running.
	Traffic Traffic
	// Busy is the real time that the node has spent on events other than
	// packets.
	Busy            time.Duration
	watchesPlatform bool
	probes          int
	address         [2]netip.AddrPort // Tunnel and control address.
	accepted        bundle            // The last configuration that it accepted.
}

// Group holds the nodes and takes the place of the platform.
type Group struct {
	now       time.Time
	config    bvconfig.Config
	published bundle
	bundles   map[bvconfig.Version]bundle
	members   []*Member
	byAddress map[netip.AddrPort]*Member
	meter     *meter
	clock     clockwork.Clock
	err       error
}

// New starts all balancers of a configuration of the given shape. Call Close to
// close the loopback connection.
func New(s Shape) (*Group, error) {
	g := &Group{
		now: Start, bundles: map[bvconfig.Version]bundle{}, byAddress: map[netip.AddrPort]*Member{},
		clock: clockwork.NewRealClock(),
	}
	var err error
	if g.meter, err = newMeter(); err != nil {
		return nil, err
	}
	if err := g.Publish(s.config()); err != nil {
		g.Close()
		return nil, err
	}
	for _, b := range g.config.Balancers {
		g.add(b)
	}
	for i := range g.members {
		g.StartNode(i)
	}
	return g, nil
}

// Close closes the loopback connection.
func (g *Group) Close() { g.meter.close() }

// Err returns the first failure of a loopback call, or nil.
func (g *Group) Err() error { return g.err }

// Now returns the virtual time.
func (g *Group) Now() time.Time { return g.now }

// Config returns the last published configuration.
func (g *Group) Config() bvconfig.Config { return g.config }

// Members returns all balancers, in the order of their indexes.
func (g *Group) Members() []*Member { return g.members }

func (g *Group) add(b bvconfig.Balancer) {
	m := &Member{Name: b.Name, Zone: b.Zone, address: [2]netip.AddrPort{b.Tunnel, b.Control}}
	g.members = append(g.members, m)
	g.byAddress[b.Tunnel], g.byAddress[b.Control] = m, m
}

// Publish publishes a configuration on the platform under the next revision.
func (g *Group) Publish(c bvconfig.Config) error {
	c.Version = bvconfig.Version{Revision: g.config.Version.Revision + 1}
	b, err := newBundle(c)
	if err != nil {
		return err
	}
	g.config, g.published, g.bundles[b.config.Version] = b.config, b, b
	return nil
}

// Change publishes a modified copy of the configuration. change may modify the
// elements of its lists.
func (g *Group) Change(change func(*bvconfig.Config)) error {
	c := g.config
	c.Zones, c.Upstreams = slices.Clone(c.Zones), slices.Clone(c.Upstreams)
	c.Services, c.Balancers = slices.Clone(c.Services), slices.Clone(c.Balancers)
	change(&c)
	return g.Publish(c)
}

// Kill ends a node without a planned stop.
func (g *Group) Kill(i int) { g.members[i].Node = nil }

// StartNode starts a node with an empty table.
func (g *Group) StartNode(i int) {
	m := g.members[i]
	m.watchesPlatform, m.accepted = false, bundle{}
	var seeds []netip.AddrPort
	for j, p := range g.members {
		if j != i {
			seeds = append(seeds, p.address[1])
		}
	}
	m.Node = bvnode.New(bvnode.Options{
		Node: m.Name, Zone: m.Zone, Group: g.config.Group, Started: g.now,
		Incarnation: uint64(g.now.UnixNano()), Seeds: seeds, Seed: uint64(i),
	})
}

// Run advances the virtual time by d.
func (g *Group) Run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.Tick()
	}
}

// Tick advances the virtual time by [bvnode.TickInterval].
func (g *Group) Tick() {
	for i := range g.members {
		// The order of the nodes varies, as it does between processes.
		m := g.members[(i+int(g.now.UnixMilli()/100))%len(g.members)]
		g.handle(m, bvnode.Tick{})
		if m.Node == nil {
			continue
		}
		if m.watchesPlatform && m.accepted.config.Version != g.published.config.Version {
			g.readPlatform(m, 0)
		}
		if m.watchesPlatform && g.now.UnixMilli()%watchWait.Milliseconds() == 0 {
			m.Traffic.Received.Platform += platformReadBytes
			g.handle(m, bvnode.PlatformContacted{})
		}
	}
	g.now = g.now.Add(bvnode.TickInterval)
}

func (g *Group) handle(m *Member, ev bvnode.Event) {
	if m.Node == nil {
		return
	}
	start := g.clock.Now()
	actions := m.Node.Handle(g.now, ev)
	m.Busy += g.clock.Since(start)
	if _, ok := ev.(bvnode.ConfigOffered); ok {
		if c, ok := m.Node.Config(); ok {
			m.accepted = g.bundles[c.Version]
		}
	}
	for _, a := range actions {
		g.perform(m, a)
	}
}

// runningMember returns the running balancer with the address, or nil.
func (g *Group) runningMember(a netip.AddrPort) *Member {
	if m := g.byAddress[a]; m != nil && m.Node != nil {
		return m
	}
	return nil
}

func (g *Group) perform(m *Member, a bvnode.Action) {
	switch a := a.(type) {
	case bvnode.SendHeartbeat:
		g.heartbeat(m, a)
	case bvnode.FetchConfig:
		if p := g.runningMember(a.Control); p != nil && p.accepted.manifest != nil {
			g.recordError(g.meter.fetch(m, p))
			g.offer(m, p.accepted, bvnode.ConfigOffered{Token: a.Token})
		}
	case bvnode.FetchBase:
		g.fetchBase(m, a)
	case bvnode.ReadPlatform:
		g.readPlatform(m, a.Token)
	case bvnode.WatchPlatform:
		m.watchesPlatform = a.Enabled
	case bvnode.RequestSync:
		g.sync(m, a)
	case bvnode.PushRecords:
		if p := g.runningMember(a.Control); p != nil {
			g.recordError(g.meter.push(m, p, a.Records))
			g.handle(p, bvnode.RecordsPushed{From: bvconfig.NodeIDOf(m.Name), Records: a.Records})
			g.handle(m, bvnode.PushAcknowledged{From: a.To, Sequence: a.Sequence})
		}
	case bvnode.SetProbes:
		m.probes = len(a.Upstreams)
	case bvnode.Stop:
		m.Node = nil
	}
}

func (g *Group) recordError(err error) {
	if g.err == nil && err != nil {
		g.err = eris.Wrap(err, "bvgroup: call over the loopback connection")
	}
}

func (g *Group) heartbeat(m *Member, a bvnode.SendHeartbeat) {
	size, err := g.meter.heartbeat(a.Heartbeat)
	g.recordError(err)
	for _, to := range a.To {
		m.Traffic.Sent.Heartbeat += size
		if p := g.runningMember(to); p != nil {
			p.Traffic.Received.Heartbeat += size
			g.handle(p, bvnode.HeartbeatReceived{Heartbeat: a.Heartbeat})
		}
	}
}

// offer decodes a configuration and passes it to the node, as a balancer does
// with a configuration that it fetched.
func (g *Group) offer(m *Member, b bundle, ev bvnode.ConfigOffered) {
	start := g.clock.Now()
	c, _ := bvconfig.Decode(b.manifest, b.parts)
	m.Busy += g.clock.Since(start)
	ev.Config = c
	g.handle(m, ev)
}

func (g *Group) fetchBase(m *Member, a bvnode.FetchBase) {
	p := g.runningMember(a.Control)
	if p == nil {
		return
	}
	c, age, ok := p.Node.Generation(g.now, a.Revision)
	if !ok {
		return
	}
	g.recordError(g.meter.fetchBase(m, p, g.bundles[c.Version]))
	g.handle(m, bvnode.BaseReceived{Config: c, Age: age})
}

func (g *Group) readPlatform(m *Member, token uint64) {
	m.Traffic.Received.Platform += platformReadBytes + g.published.sizeWithout(m.accepted)
	g.offer(m, g.published, bvnode.ConfigOffered{FromPlatform: true, Token: token})
}

func (g *Group) sync(m *Member, a bvnode.RequestSync) {
	p := g.runningMember(a.Control)
	if p == nil {
		g.handle(m, bvnode.SyncFailed{From: a.From})
		return
	}
	r := p.Node.SyncRequest(g.now, bvconfig.NodeIDOf(m.Name), a.Cursor, a.Limit)
	r.Token = a.Token
	g.recordError(g.meter.sync(m, p, a, r))
	g.handle(m, r)
}

// Result is the outcome of sending a packet.
type Result struct {
	Upstream      bvconfig.UpstreamID // 0 if no upstream received it.
	Verdict       bvroute.Verdict
	Reason        bvroute.Reason
	Hops          int  // Number of balancers that handled the packet.
	CarriedRecord bool // The packet carried a record of an exception or refusal.
}

// Send sends a packet to the balancer with index i, as the fabric does, and
// delivers it to the peers that it is forwarded to.
func (g *Group) Send(i int, p bvflow.Packet) Result {
	var trail bvroute.Trail
	var record bvroute.Record
	r := Result{Verdict: bvroute.VerdictDrop, Reason: bvroute.ReasonNoOwner}
	for m := g.members[i]; m != nil && m.Node != nil; {
		r.Hops++
		d := m.Node.Packet(g.now, p, trail, record)
		if d.Verdict != bvroute.VerdictForward {
			r.Verdict, r.Reason = d.Verdict, d.Reason
			if d.Verdict == bvroute.VerdictUpstream {
				r.Upstream = d.Upstream
			}
			return r
		}
		if d.Record.Kind != bvroute.RecordNone {
			r.CarriedRecord = true
			m.Traffic.Sent.Record += recordBytes(d.Record)
		}
		m.Traffic.Sent.ForwardedPackets++
		trail, record, m = d.Trail, d.Record, g.runningMember(d.Tunnel)
	}
	return r
}

// Probe delivers a probe result of an upstream to the balancers of its zone.
func (g *Group) Probe(u bvconfig.Upstream, r bvnode.ProbeSucceeded) {
	for _, m := range g.members {
		if m.Zone == u.Zone {
			g.handle(m, r)
		}
	}
}

// Probes returns the number of upstreams that the node probes.
func (m *Member) Probes() int { return m.probes }
