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

// trial is a group under faults with the truth about it: what is published,
// and which packets have reached which upstream.
type trial struct {
	*group
	config     bvconfig.Config // The last one published.
	since      time.Time
	vnis       map[netip.AddrPort]uint32 // What the kernel of each upstream VM accepts.
	upstreams  map[bvconfig.UpstreamID]bvconfig.Upstream
	cuts       map[string]func(from, to string) bool
	later      []task
	row        row
	deaf       map[string]time.Time // When a node was last cut off from news of the configuration.
	versions   map[*Node]bvconfig.Version
	processes  map[string]int  // Started in each zone.
	unaware    time.Time       // When a node last went on without having noticed its pause.
	out        map[string]bool // Zones that have been out of service.
	violations []string
}

// task is a step of a fault.
type task struct {
	at time.Time
	do func()
}

// fault strikes in one zone. Steps are called at their offset from the time at
// which the fault strikes. A later fault strikes once what the promise is about
// has been published.
type fault struct {
	name  string
	late  bool
	steps func(t *trial, zone string) []step
}

type step struct {
	after time.Duration
	do    func()
}

// longFault is how long partitions and long pauses last.
const longFault = 10 * time.Second

func (t *trial) during(d time.Duration, start, end func()) []step {
	return []step{{0, start}, {d, end}}
}

func (t *trial) cutting(name string, cut func(from, to string) bool) []step {
	return t.during(longFault, func() { t.cuts[name] = cut }, func() { delete(t.cuts, name) })
}

func pausing(name string, d, skew time.Duration) fault {
	return fault{name, false, func(t *trial, z string) []step {
		n := "lb-" + z + "0"
		return t.during(d, func() { t.paused[n] = t.nodes[n] != nil }, func() {
			t.paused[n] = false
			if t.skew[n] += skew; skew < 0 {
				t.unaware = t.now
			}
		})
	}}
}

func editing(name string, edit func(c *bvconfig.Config, zone string)) fault {
	return fault{name, false, func(t *trial, z string) []step {
		return []step{{0, func() { t.publish(func(c *bvconfig.Config) { edit(c, z) }) }}}
	}}
}

func leave(c *bvconfig.Config, name string) {
	for i := range c.Upstreams {
		c.Upstreams[i].Leaving = c.Upstreams[i].Leaving || c.Upstreams[i].Name == name
	}
}

func setZone(c *bvconfig.Config, zone string, out bool) {
	for i := range c.Zones {
		if c.Zones[i].Name == zone {
			c.Zones[i].OutOfService = out
		}
	}
}

// reuse gives the address of one of the zone's bench upstreams to a new
// upstream of the media service.
func reuse(c *bvconfig.Config, zone string) {
	i := slices.IndexFunc(c.Upstreams, func(u bvconfig.Upstream) bool { return u.Name == "up-"+zone+"3" })
	if i < 0 {
		return
	}
	u := c.Upstreams[i]
	c.Upstreams[i].Name, c.Upstreams[i].Service = "new-"+u.Name, "media"
}

// faults are the things that happen alone and in pairs.
var faults = []fault{
	{"balancer killed", false, func(t *trial, z string) []step {
		return []step{{0, func() { t.kill("lb-" + z + "1") }}}
	}},
	{"balancer restarted", false, func(t *trial, z string) []step {
		n := "lb-" + z + "1"
		return []step{{0, func() { t.kill(n) }}, {300 * time.Millisecond, func() { t.begin(n, z) }}}
	}},
	{"balancer replaced", false, func(t *trial, z string) []step {
		return []step{{0, func() { t.kill("lb-" + z + "1") }}, {time.Second, func() { t.replace(z) }}}
	}},
	pausing("short pause", 500*time.Millisecond, 0),
	pausing("long pause", longFault, 0),
	pausing("long pause, clock jumps", longFault, 30*time.Second),
	pausing("long pause, clock stands", longFault, -longFault),
	{"partition in the zone", false, func(t *trial, z string) []step {
		return t.cutting("in "+z, func(from, to string) bool {
			n := "lb-" + z + "0"
			return (from == n) != (to == n) && zoneOf(from) == z && zoneOf(to) == z
		})
	}},
	{"zone cut off from others", false, func(t *trial, z string) []step {
		return t.cutting("zone "+z, func(from, to string) bool {
			return to != "platform" && (zoneOf(from) == z) != (zoneOf(to) == z)
		})
	}},
	{"zone cut off from the platform", false, func(t *trial, z string) []step {
		return t.cutting("platform "+z, func(from, to string) bool { return to == "platform" && zoneOf(from) == z })
	}},
	{"platform silent", true, func(t *trial, _ string) []step {
		return t.cutting("platform", func(_, to string) bool { return to == "platform" })
	}},
	{"platform stale", true, func(t *trial, _ string) []step {
		old := sampleFaults()
		set := func(c *bvconfig.Config) func() {
			return func() {
				for _, b := range t.config.Balancers {
					if t.stale[b.Name] = c; c == nil {
						delete(t.stale, b.Name)
					}
				}
			}
		}
		return t.during(longFault, set(&old), set(nil))
	}},
	editing("upstream drains", func(c *bvconfig.Config, z string) { leave(c, "up-"+z+"0") }),
	{"upstream turns cold", false, func(t *trial, z string) []step {
		return []step{{0, func() { t.probe(z, "up-"+z+"1") }}}
	}},
	editing("address reused", reuse),
	{"configuration in half of the nodes", false, func(t *trial, z string) []step {
		half := []string{"lb-a0", "lb-b0", "lb-" + z + "1"}
		freeze := func(f bool) {
			for _, n := range half {
				t.frozen[n] = f
			}
		}
		return []step{
			{0, func() {
				freeze(true)
				t.publish(func(c *bvconfig.Config) { leave(c, "up-"+z+"2") })
			}},
			{3 * time.Second, func() { freeze(false) }},
		}
	}},
	{"two operators", false, func(t *trial, z string) []step {
		return t.during(3*time.Second, func() { t.publishTwice(z) }, func() { clear(t.stale) })
	}},
	{"zone out and back", false, func(t *trial, z string) []step {
		return t.during(longFault, func() { t.publish(func(c *bvconfig.Config) { setZone(c, z, true) }) },
			func() { t.publish(func(c *bvconfig.Config) { setZone(c, z, false) }) })
	}},
	{"planned stop", false, func(t *trial, z string) []step {
		return []step{{0, func() { t.handle("lb-"+z+"2", StopRequested{}) }}}
	}},
}

func zoneOf(node string) string {
	if len(node) < 4 {
		return ""
	}
	return node[3:4]
}

// sampleFaults returns two zones with three balancers each, a TCP service, a
// UDP service, and a service to which addresses move.
func sampleFaults() bvconfig.Config {
	c := sample(1, 3, 4)
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

func newTrial(t *testing.T, c bvconfig.Config, disabled safeguard) *trial {
	r := &trial{
		vnis: map[netip.AddrPort]uint32{}, upstreams: map[bvconfig.UpstreamID]bvconfig.Upstream{},
		cuts: map[string]func(from, to string) bool{}, deaf: map[string]time.Time{},
		versions: map[*Node]bvconfig.Version{}, processes: map[string]int{"a": 3, "b": 3}, out: map[string]bool{},
	}
	r.group = newGroup(t, c, disabled)
	r.group.cut = func(from, to string) bool {
		for _, cut := range r.cuts {
			if cut(from, to) {
				return true
			}
		}
		return false
	}
	r.everyTick = r.tick
	r.learn(c)
	return r
}

func (t *trial) violate(format string, args ...any) {
	t.violations = append(t.violations, t.now.Sub(start).String()+": "+fmt.Sprintf(format, args...))
}

// learn updates the truth for a published configuration.
func (t *trial) learn(c bvconfig.Config) {
	t.config, t.since = c, t.now
	clear(t.vnis)
	vnis := map[string]uint32{}
	for _, s := range c.Services {
		vnis[s.Name] = s.VNI
	}
	for _, z := range c.Zones {
		t.out[z.Name] = t.out[z.Name] || z.OutOfService
	}
	for _, u := range c.Upstreams {
		t.upstreams[u.ID()] = u
		t.vnis[u.Tunnel] = vnis[u.Service]
	}
	t.list(c)
}

// edited returns the published configuration under the next revision, changed
// by edit.
func (t *trial) edited(edit func(*bvconfig.Config)) bvconfig.Config {
	c := t.config
	c.Version.Revision++
	c.Version.Hash = [32]byte{byte(c.Version.Revision)}
	c.Zones, c.Upstreams, c.Balancers = slices.Clone(c.Zones), slices.Clone(c.Upstreams), slices.Clone(c.Balancers)
	c.Services = slices.Clone(c.Services)
	edit(&c)
	return c
}

func (t *trial) publish(edit func(*bvconfig.Config)) {
	c := t.edited(edit)
	t.platform = &c
	t.learn(c)
}

// publishTwice lets half of the nodes read another configuration of the same
// revision. The one with the higher hash counts.
func (t *trial) publishTwice(z string) {
	lower := t.edited(func(c *bvconfig.Config) { leave(c, "up-"+z+"1") })
	lower.Version.Hash[1] = 1
	for _, n := range []string{"lb-a0", "lb-b1", "lb-b2"} {
		t.stale[n] = &lower
	}
	t.publish(func(c *bvconfig.Config) {
		leave(c, "up-"+z+"2")
		c.Version.Hash[1] = 2
	})
}

func (t *trial) begin(name, zone string) {
	t.start(name, zone)
	t.processes[zone]++
}

func (t *trial) replace(zone string) {
	name := "lb-" + zone + "9"
	t.publish(func(c *bvconfig.Config) {
		c.Balancers = slices.DeleteFunc(c.Balancers, func(b bvconfig.Balancer) bool { return b.Name == "lb-"+zone+"1" })
		i := int(zone[0])
		c.Balancers = append(c.Balancers, bvconfig.Balancer{Name: name, Zone: zone, Tunnel: address(1, i+900), Control: address(2, i+900)})
	})
	t.begin(name, zone)
}

// probe reports a new start time of an upstream to the balancers of its zone.
func (t *trial) probe(zone, upstream string) {
	for _, u := range t.config.Upstreams {
		if u.Name != upstream {
			continue
		}
		for _, n := range slices.Clone(t.names) {
			if zoneOf(n) == zone {
				t.handle(n, ProbeSucceeded{Upstream: u.ID(), State: UpstreamCold, StartedAt: t.at(n)})
			}
		}
	}
}

// row is one or two faults. The first strikes in zone a, the second in zone b.
type row []fault

func (r row) String() string {
	s := r[0].name
	for _, f := range r[1:] {
		s += ", " + f.name
	}
	return s
}

// rows returns each fault alone and each pair of faults, also of a fault with
// itself in the other zone.
func rows() (all []row) {
	for i, f := range faults {
		all = append(all, row{f})
		for _, g := range faults[i:] {
			all = append(all, row{f, g})
		}
	}
	return all
}

// inject schedules the faults of a row.
func (t *trial) inject(r row) {
	t.row = r
	for i, f := range r {
		at := t.now.Add(time.Duration(i) * 300 * time.Millisecond)
		if f.late {
			at = at.Add(3 * time.Second)
		}
		for _, s := range f.steps(t, []string{"a", "b"}[i]) {
			t.later = append(t.later, task{at.Add(s.after), s.do})
		}
	}
}

// tick does what follows from the passing of time.
func (t *trial) tick() {
	var due []task
	t.later = slices.DeleteFunc(t.later, func(x task) bool {
		if x.at.After(t.now) {
			return false
		}
		due = append(due, x)
		return true
	})
	slices.SortStableFunc(due, func(a, b task) int { return a.at.Compare(b.at) })
	for _, x := range due {
		x.do()
	}
	t.watchVersions()
	t.watchConnections()
}

// watchVersions notes processes that return to an earlier configuration.
func (t *trial) watchVersions() {
	for name, n := range t.nodes {
		v := n.store.Version()
		if v.Compare(t.versions[n]) < 0 {
			t.violate("%s reverts from revision %d to %d", name, t.versions[n].Revision, v.Revision)
		}
		t.versions[n] = v
	}
}

// watchConnections notes which nodes cannot hear of a new configuration.
func (t *trial) watchConnections() {
	connected := map[string]bool{}
	for _, n := range t.names {
		connected[n] = t.platform != nil && !t.cut(n, "platform") && t.stale[n] == nil && !t.frozen[n]
	}
	for range len(t.names) {
		for _, n := range t.names {
			for _, m := range t.names {
				connected[n] = connected[n] || connected[m] && !t.cut(m, n) && !t.paused[m] && !t.frozen[n]
			}
		}
	}
	for _, n := range t.names {
		if !connected[n] {
			t.deaf[n] = t.now
		}
	}
}

// informed reports whether a node has been able to hear of the published
// configuration for a time.
func (t *trial) informed(name string, d time.Duration) bool {
	since := t.since
	if at := t.deaf[name]; at.After(since) {
		since = at
	}
	return t.now.Sub(since) > d
}

// settle waits until all nodes are active.
func (t *trial) settle() {
	for range 900 {
		active := true
		for _, s := range t.states() {
			active = active && s == bvmember.StateActive
		}
		if active && len(t.later) == 0 {
			return
		}
		t.run(TickInterval)
	}
	require.Fail(t.t, "not all nodes are active 90 s after the faults", "%v", t.states())
}

// anyNode returns one running node after the other.
func (t *trial) anyNode() string {
	t.packets++
	return t.names[t.packets%len(t.names)]
}

func (t *trial) vniOf(address netip.AddrPort) uint32 {
	for _, s := range t.config.Services {
		if slices.Contains(s.Addresses, address) {
			return s.VNI
		}
	}
	return 0
}

func (t *trial) zoneOut(zone string) bool {
	return slices.ContainsFunc(t.config.Zones, func(z bvconfig.Zone) bool { return z.Name == zone && z.OutOfService })
}

func (t *trial) leaving(u bvconfig.UpstreamID) bool {
	return slices.ContainsFunc(t.config.Upstreams, func(x bvconfig.Upstream) bool { return x.ID() == u && x.Leaving })
}

// justBegun reports whether a node's process runs for less than five seconds.
func (t *trial) justBegun(name string) bool {
	return t.at(name).Sub(t.nodes[name].options.Started) < 5*time.Second
}

// holder returns a node that has an entry of the flow at u and that the sender
// of the last packet reaches, or "".
func (t *trial) holder(p bvflow.Packet, u bvconfig.UpstreamID) string {
	k := bvflow.NewHasher(t.config.HashSeed).Key(p.Tuple)
	for _, name := range t.names {
		reached := name == t.last || t.reaches(t.last, name) && t.reaches(name, t.last)
		e := t.nodes[name].table.Lookup(k)
		if reached && e != nil && e.Upstream == uint64(u) && !t.nodes[name].table.Expired(t.nodes[name].table.Seconds(t.at(name)), e) {
			return name
		}
	}
	return ""
}

// recomputes reports whether the sender of the last packet finds u as the base
// pick of a flow that it does not know.
func (t *trial) recomputes(p bvflow.Packet, u bvconfig.UpstreamID) bool {
	return t.nodes[t.last].Explain(t.at(t.last), p.Tuple).BasePick == t.upstreams[u].Name
}

// splits reports whether a row parts balancers that go on running, so that
// packets reach balancers from which no holder of an exception can be asked.
func (r row) splits() bool {
	return slices.ContainsFunc(r, func(f fault) bool {
		return f.name == "partition in the zone" || f.name == "zone cut off from others"
	})
}
