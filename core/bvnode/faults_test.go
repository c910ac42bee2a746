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

	"github.com/stretchr/testify/require"
)

// simulation is a cluster under faults with the data to check it against: what
// is published, and what has happened.
type simulation struct {
	*cluster
	config            bvconfig.Config // The last one published.
	publishedAt       time.Time
	vnis              map[netip.AddrPort]uint32 // The VNI that the kernel of each upstream VM accepts.
	upstreams         map[bvconfig.UpstreamID]bvconfig.Upstream
	brokenLinks       map[string]func(from, to string) bool
	scheduled         []scheduledStep
	faults            faultSet
	disconnectedAt    map[string]time.Time // When a node last could not receive the published configuration.
	versions          map[*Node]bvconfig.Version
	processes         map[string]int  // Number of processes started in each zone.
	undetectedPauseAt time.Time       // When a node last resumed without having detected its pause.
	pastOutOfService  map[string]bool // Zones that have been out of service.
	violations        []string
}

// scheduledStep is a step of a fault.
type scheduledStep struct {
	at time.Time
	do func()
}

// fault happens in one zone. Steps are called at their offset from the start of
// the fault. A late fault starts after the configuration that the test is about
// has been published.
type fault struct {
	name  string
	late  bool
	steps func(t *simulation, zone string) []step
}

type step struct {
	after time.Duration
	do    func()
}

// longFault is how long partitions and long pauses last.
const longFault = 10 * time.Second

func (t *simulation) startAndEnd(d time.Duration, start, end func()) []step {
	return []step{{0, start}, {d, end}}
}

func (t *simulation) breakingLinks(name string, linkDown func(from, to string) bool) []step {
	return t.startAndEnd(longFault, func() { t.brokenLinks[name] = linkDown }, func() { delete(t.brokenLinks, name) })
}

func pausing(name string, d, clockChange time.Duration) fault {
	return fault{name, false, func(t *simulation, z string) []step {
		n := "lb-" + z + "0"
		return t.startAndEnd(d, func() { t.paused[n] = t.nodes[n] != nil }, func() {
			t.paused[n] = false
			if t.clockOffset[n] += clockChange; clockChange < 0 {
				t.undetectedPauseAt = t.now
			}
		})
	}}
}

func editing(name string, edit func(c *bvconfig.Config, zone string)) fault {
	return fault{name, false, func(t *simulation, z string) []step {
		return []step{{0, func() { t.publish(func(c *bvconfig.Config) { edit(c, z) }) }}}
	}}
}

func markDraining(c *bvconfig.Config, name string) {
	for i := range c.Upstreams {
		c.Upstreams[i].Leaving = c.Upstreams[i].Leaving || c.Upstreams[i].Name == name
	}
}

func setOutOfService(c *bvconfig.Config, zone string, out bool) {
	for i := range c.Zones {
		if c.Zones[i].Name == zone {
			c.Zones[i].OutOfService = out
		}
	}
}

// reuseAddress gives the address of one of the zone's bench upstreams to a new
// upstream of the media service.
func reuseAddress(c *bvconfig.Config, zone string) {
	i := slices.IndexFunc(c.Upstreams, func(u bvconfig.Upstream) bool { return u.Name == "up-"+zone+"3" })
	if i < 0 {
		return
	}
	u := c.Upstreams[i]
	c.Upstreams[i].Name, c.Upstreams[i].Service = "new-"+u.Name, "media"
}

// faults are tested alone and in pairs.
var faults = []fault{
	{"balancer killed", false, func(t *simulation, z string) []step {
		return []step{{0, func() { t.kill("lb-" + z + "1") }}}
	}},
	{"balancer restarted", false, func(t *simulation, z string) []step {
		n := "lb-" + z + "1"
		return []step{{0, func() { t.kill(n) }}, {300 * time.Millisecond, func() { t.startProcess(n, z) }}}
	}},
	{"balancer replaced", false, func(t *simulation, z string) []step {
		return []step{{0, func() { t.kill("lb-" + z + "1") }}, {time.Second, func() { t.replaceBalancer(z) }}}
	}},
	pausing("short pause", 500*time.Millisecond, 0),
	pausing("long pause", longFault, 0),
	pausing("long pause, clock jumps", longFault, 30*time.Second),
	pausing("long pause, clock stopped", longFault, -longFault),
	{"partition in the zone", false, func(t *simulation, z string) []step {
		return t.breakingLinks("in "+z, func(from, to string) bool {
			n := "lb-" + z + "0"
			return (from == n) != (to == n) && zoneOf(from) == z && zoneOf(to) == z
		})
	}},
	{"zone cut off from others", false, func(t *simulation, z string) []step {
		return t.breakingLinks("zone "+z, func(from, to string) bool {
			return to != "platform" && (zoneOf(from) == z) != (zoneOf(to) == z)
		})
	}},
	{"zone cut off from the platform", false, func(t *simulation, z string) []step {
		return t.breakingLinks("platform "+z, func(from, to string) bool { return to == "platform" && zoneOf(from) == z })
	}},
	{"platform unresponsive", true, func(t *simulation, _ string) []step {
		return t.breakingLinks("platform", func(_, to string) bool { return to == "platform" })
	}},
	{"platform stale", true, func(t *simulation, _ string) []step {
		old := faultTestConfig()
		set := func(c *bvconfig.Config) func() {
			return func() {
				for _, b := range t.config.Balancers {
					if t.staleReplica[b.Name] = c; c == nil {
						delete(t.staleReplica, b.Name)
					}
				}
			}
		}
		return t.startAndEnd(longFault, set(&old), set(nil))
	}},
	editing("upstream drains", func(c *bvconfig.Config, z string) { markDraining(c, "up-"+z+"0") }),
	{"upstream turns cold", false, func(t *simulation, z string) []step {
		return []step{{0, func() { t.reportRestart(z, "up-"+z+"1") }}}
	}},
	editing("address reused", reuseAddress),
	{"configuration in half of the nodes", false, func(t *simulation, z string) []step {
		half := []string{"lb-a0", "lb-b0", "lb-" + z + "1"}
		freeze := func(f bool) {
			for _, n := range half {
				t.configBlocked[n] = f
			}
		}
		return []step{
			{0, func() {
				freeze(true)
				t.publish(func(c *bvconfig.Config) { markDraining(c, "up-"+z+"2") })
			}},
			{3 * time.Second, func() { freeze(false) }},
		}
	}},
	{"revision published twice", false, func(t *simulation, z string) []step {
		return t.startAndEnd(3*time.Second, func() { t.publishTwice(z) }, func() { clear(t.staleReplica) })
	}},
	{"zone out of service and back", false, func(t *simulation, z string) []step {
		return t.startAndEnd(longFault, func() { t.publish(func(c *bvconfig.Config) { setOutOfService(c, z, true) }) },
			func() { t.publish(func(c *bvconfig.Config) { setOutOfService(c, z, false) }) })
	}},
	{"planned stop", false, func(t *simulation, z string) []step {
		return []step{{0, func() { t.handle("lb-"+z+"2", StopRequested{}) }}}
	}},
}

func zoneOf(node string) string {
	if len(node) < 4 {
		return ""
	}
	return node[3:4]
}

// faultTestConfig returns two zones with three balancers each, a TCP service, a
// UDP service, and a service to which addresses move.
func faultTestConfig() bvconfig.Config {
	c := testConfig(1, 3, 4)
	bench := c.Services[0]
	media, slots := bench, bench
	media.Name, media.VNI, media.Addresses = "media", 102, []netip.AddrPort{netip.MustParseAddrPort("192.0.2.2:80")}
	slots.Name, slots.VNI, slots.Protocol = "slots", 103, bvflow.ProtocolUDP
	slots.Addresses = []netip.AddrPort{netip.MustParseAddrPort("192.0.2.3:53")}
	c.Services = append(c.Services, media, slots)
	for i, s := range []string{"media", "slots"} {
		for j, z := range []string{"a", "b"} {
			for k := range 2 + i {
				c.Upstreams = append(c.Upstreams, bvconfig.Upstream{
					Name: fmt.Sprintf("%s-%s%d", s, z, k), Service: s, Zone: z, Tunnel: address(4+i, j*100+k),
					Weight: 1, Slots: 4, Connections: 2000,
				})
			}
		}
	}
	return c
}

func newSimulation(t *testing.T, c bvconfig.Config, disabled safeguard) *simulation {
	r := &simulation{
		vnis: map[netip.AddrPort]uint32{}, upstreams: map[bvconfig.UpstreamID]bvconfig.Upstream{},
		brokenLinks: map[string]func(from, to string) bool{}, disconnectedAt: map[string]time.Time{},
		versions: map[*Node]bvconfig.Version{}, processes: map[string]int{"a": 3, "b": 3}, pastOutOfService: map[string]bool{},
	}
	r.cluster = newCluster(t, c, disabled)
	r.cluster.linkDown = func(from, to string) bool {
		for _, linkDown := range r.brokenLinks {
			if linkDown(from, to) {
				return true
			}
		}
		return false
	}
	r.everyTick = r.tick
	r.setPublished(c)
	return r
}

func (t *simulation) recordViolation(format string, args ...any) {
	t.violations = append(t.violations, t.now.Sub(startTime).String()+": "+fmt.Sprintf(format, args...))
}

// setPublished records a published configuration.
func (t *simulation) setPublished(c bvconfig.Config) {
	t.config, t.publishedAt = c, t.now
	clear(t.vnis)
	vnis := map[string]uint32{}
	for _, s := range c.Services {
		vnis[s.Name] = s.VNI
	}
	for _, z := range c.Zones {
		t.pastOutOfService[z.Name] = t.pastOutOfService[z.Name] || z.OutOfService
	}
	for _, u := range c.Upstreams {
		t.upstreams[u.ID()] = u
		t.vnis[u.Tunnel] = vnis[u.Service]
	}
	t.addAddresses(c)
}

// nextConfig returns the published configuration with the next revision, changed
// by edit.
func (t *simulation) nextConfig(edit func(*bvconfig.Config)) bvconfig.Config {
	c := t.config
	c.Version.Revision++
	c.Version.Hash = [32]byte{byte(c.Version.Revision)}
	c.Zones, c.Upstreams, c.Balancers = slices.Clone(c.Zones), slices.Clone(c.Upstreams), slices.Clone(c.Balancers)
	c.Services = slices.Clone(c.Services)
	edit(&c)
	return c
}

func (t *simulation) publish(edit func(*bvconfig.Config)) {
	c := t.nextConfig(edit)
	t.platform = &c
	t.setPublished(c)
}

// publishTwice lets half of the nodes read another configuration of the same
// revision. The one with the higher hash has to come into force.
func (t *simulation) publishTwice(z string) {
	lower := t.nextConfig(func(c *bvconfig.Config) { markDraining(c, "up-"+z+"1") })
	lower.Version.Hash[1] = 1
	for _, n := range []string{"lb-a0", "lb-b1", "lb-b2"} {
		t.staleReplica[n] = &lower
	}
	t.publish(func(c *bvconfig.Config) {
		markDraining(c, "up-"+z+"2")
		c.Version.Hash[1] = 2
	})
}

func (t *simulation) startProcess(name, zone string) {
	t.start(name, zone)
	t.processes[zone]++
}

func (t *simulation) replaceBalancer(zone string) {
	name := "lb-" + zone + "9"
	t.publish(func(c *bvconfig.Config) {
		c.Balancers = slices.DeleteFunc(c.Balancers, func(b bvconfig.Balancer) bool { return b.Name == "lb-"+zone+"1" })
		i := int(zone[0])
		c.Balancers = append(c.Balancers, bvconfig.Balancer{Name: name, Zone: zone, Tunnel: address(1, i+900), Control: address(2, i+900)})
	})
	t.startProcess(name, zone)
}

// reportRestart reports a new start time of an upstream to the balancers of its zone.
func (t *simulation) reportRestart(zone, upstream string) {
	for _, u := range t.config.Upstreams {
		if u.Name != upstream {
			continue
		}
		for _, n := range slices.Clone(t.names) {
			if zoneOf(n) == zone {
				t.handle(n, ProbeSucceeded{Upstream: u.ID(), State: UpstreamCold, StartedAt: t.clock(n)})
			}
		}
	}
}

// faultSet is one or two faults. The first happens in zone a, the second in zone b.
type faultSet []fault

func (r faultSet) String() string {
	s := r[0].name
	for _, f := range r[1:] {
		s += ", " + f.name
	}
	return s
}

// faultSets returns each fault alone and each pair of faults, including the same
// fault in both zones.
func faultSets() (all []faultSet) {
	for i, f := range faults {
		all = append(all, faultSet{f})
		for _, g := range faults[i:] {
			all = append(all, faultSet{f, g})
		}
	}
	return all
}

// inject schedules the faults of a set.
func (t *simulation) inject(r faultSet) {
	t.faults = r
	for i, f := range r {
		at := t.now.Add(time.Duration(i) * 300 * time.Millisecond)
		if f.late {
			at = at.Add(3 * time.Second)
		}
		for _, s := range f.steps(t, []string{"a", "b"}[i]) {
			t.scheduled = append(t.scheduled, scheduledStep{at.Add(s.after), s.do})
		}
	}
}

// tick runs the scheduled steps that are due and checks the nodes.
func (t *simulation) tick() {
	var due []scheduledStep
	t.scheduled = slices.DeleteFunc(t.scheduled, func(x scheduledStep) bool {
		if x.at.After(t.now) {
			return false
		}
		due = append(due, x)
		return true
	})
	slices.SortStableFunc(due, func(a, b scheduledStep) int { return a.at.Compare(b.at) })
	for _, x := range due {
		x.do()
	}
	t.checkVersions()
	t.recordDisconnected()
}

// checkVersions records processes that return to an earlier configuration.
func (t *simulation) checkVersions() {
	for name, n := range t.nodes {
		v := n.store.Version()
		if v.Compare(t.versions[n]) < 0 {
			t.recordViolation("%s reverts from revision %d to %d", name, t.versions[n].Revision, v.Revision)
		}
		t.versions[n] = v
	}
}

// recordDisconnected records which nodes cannot receive a new configuration.
func (t *simulation) recordDisconnected() {
	connected := map[string]bool{}
	for _, n := range t.names {
		connected[n] = t.platform != nil && !t.linkDown(n, "platform") && t.staleReplica[n] == nil && !t.configBlocked[n]
	}
	for range len(t.names) {
		for _, n := range t.names {
			for _, m := range t.names {
				connected[n] = connected[n] || connected[m] && !t.linkDown(m, n) && !t.paused[m] && !t.configBlocked[n]
			}
		}
	}
	for _, n := range t.names {
		if !connected[n] {
			t.disconnectedAt[n] = t.now
		}
	}
}

// connectedFor reports whether a node has been able to receive the published
// configuration for longer than d.
func (t *simulation) connectedFor(name string, d time.Duration) bool {
	since := t.publishedAt
	if at := t.disconnectedAt[name]; at.After(since) {
		since = at
	}
	return t.now.Sub(since) > d
}

// waitUntilActive waits until all nodes are active.
func (t *simulation) waitUntilActive() {
	for range 900 {
		active := true
		for _, s := range t.states() {
			active = active && s == bvmember.StateActive
		}
		if active && len(t.scheduled) == 0 {
			return
		}
		t.run(TickInterval)
	}
	require.Fail(t.t, "not all nodes are active 90 s after the faults", "%v", t.states())
}

// anyNode returns the running nodes in turn.
func (t *simulation) anyNode() string {
	t.fabricPackets++
	return t.names[t.fabricPackets%len(t.names)]
}

func (t *simulation) vniOf(address netip.AddrPort) uint32 {
	for _, s := range t.config.Services {
		if slices.Contains(s.Addresses, address) {
			return s.VNI
		}
	}
	return 0
}

func (t *simulation) zoneOutOfService(zone string) bool {
	return slices.ContainsFunc(t.config.Zones, func(z bvconfig.Zone) bool { return z.Name == zone && z.OutOfService })
}

func (t *simulation) draining(u bvconfig.UpstreamID) bool {
	return slices.ContainsFunc(t.config.Upstreams, func(x bvconfig.Upstream) bool { return x.ID() == u && x.Leaving })
}

// justStarted reports whether a node's process has run for less than five seconds.
func (t *simulation) justStarted(name string) bool {
	return t.clock(name).Sub(t.nodes[name].options.Started) < 5*time.Second
}

// nodeWithEntry returns a node that has an entry of the flow with upstream u and
// that the sender of the last packet reaches, or "".
func (t *simulation) nodeWithEntry(p bvflow.Packet, u bvconfig.UpstreamID) string {
	k := bvflow.NewHasher(t.config.HashSeed).Key(p.Tuple)
	for _, name := range t.names {
		reached := name == t.lastSender || t.reaches(t.lastSender, name) && t.reaches(name, t.lastSender)
		e := t.nodes[name].table.Lookup(k)
		if reached && e != nil && e.Upstream == uint64(u) && !t.nodes[name].table.Expired(t.nodes[name].table.Seconds(t.clock(name)), e) {
			return name
		}
	}
	return ""
}

// isBasePick reports whether the sender of the last packet computes u as the base
// pick of the flow.
func (t *simulation) isBasePick(p bvflow.Packet, u bvconfig.UpstreamID) bool {
	return t.nodes[t.lastSender].Explain(t.clock(t.lastSender), p.Tuple).BasePick == t.upstreams[u].Name
}

// partitions reports whether a fault set disconnects running balancers from each
// other, so that packets reach balancers that can reach no balancer with the
// flow's exception.
func (r faultSet) partitions() bool {
	return slices.ContainsFunc(r, func(f fault) bool {
		return f.name == "partition in the zone" || f.name == "zone cut off from others"
	})
}
