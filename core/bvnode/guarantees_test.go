package bvnode

import (
	"testing"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvroute"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// faultTest checks one guarantee of the balancer, a promise in the names of
// tests, under each set of faults.
type faultTest struct {
	config        func(c *bvconfig.Config) // Nil, or changes the test configuration.
	delayMessages bool
	warmUp        time.Duration
	before        func(t *simulation)        // Called before the faults.
	during        func(t *simulation)        // Called a second after the faults start.
	step          func(t *simulation, i int) // Called every half second.
	steps         int
	after         func(t *simulation) // Nil, or called when all nodes are active again.
	// skipReason returns why a fault set can't be tested, or "".
	skipReason func(r faultSet) string
	// detects maps names of fault sets to a safeguard. With the safeguard switched
	// off, the guarantee has to be violated under these faults; otherwise the test
	// would not detect the failure.
	detects map[string]safeguard
}

// violations runs one fault set and returns how the guarantee was violated.
func (p faultTest) violations(t *testing.T, r faultSet, disabled safeguard) []string {
	c := faultTestConfig()
	if p.config != nil {
		p.config(&c)
	}
	sim := newSimulation(t, c, disabled)
	if p.delayMessages {
		sim.delays = newMessageDelays(1)
	}
	sim.run(8*time.Second + p.warmUp)
	sim.requireActive()
	p.before(sim)
	sim.inject(r)
	for i := range p.steps {
		sim.run(500 * time.Millisecond)
		if i == 1 && p.during != nil {
			p.during(sim)
		}
		p.step(sim, i)
	}
	if p.after != nil {
		sim.waitUntilActive()
		p.after(sim)
	}
	return sim.violations
}

func (p faultTest) run(t *testing.T) {
	names := map[string]faultSet{}
	for _, r := range faultSets() {
		names[r.String()] = r
		if p.skipReason != nil && p.skipReason(r) != "" {
			continue
		}
		t.Run(r.String(), func(t *testing.T) {
			assert.Empty(t, firstFew(p.violations(t, r, 0)), "the guarantee is violated")
		})
	}
	for name, s := range p.detects {
		t.Run(name+", without the safeguard", func(t *testing.T) {
			require.Contains(t, names, name)
			assert.NotEmpty(t, p.violations(t, names[name], s), "the fault set does not detect the failure")
		})
	}
}

// noZoneInService returns a skipReason for fault sets that would take all zones
// out of service. zones are those that the test itself takes out of service.
func noZoneInService(zones ...string) func(r faultSet) string {
	return func(r faultSet) string {
		outOfService := map[string]bool{}
		for _, z := range zones {
			outOfService[z] = true
		}
		for i, f := range r {
			outOfService[[]string{"a", "b"}[i]] = outOfService[[]string{"a", "b"}[i]] || f.name == "zone out of service and back"
		}
		if outOfService["a"] && outOfService["b"] {
			return "a configuration without a zone in service is invalid"
		}
		return ""
	}
}

// firstFew returns at most 5 of the violations.
func firstFew(vs []string) []string {
	return vs[:min(len(vs), 5)]
}

// callerFlows are flows that are sent through any balancer.
type callerFlows struct {
	upstreamOf map[int]bvconfig.UpstreamID
	pending    []int
	opened     int
	// unrecoverable are flows whose packet has reached a balancer that could reach
	// no balancer with the exception: a documented limit.
	unrecoverable map[int]bool
	// openedWhilePartitioned are flows that were opened through both sides of a
	// partition, which may have placed them differently: a documented limit.
	openedWhilePartitioned map[int]bool
	packet                 func(flow int, phase bvflow.Phase) bvflow.Packet
}

func newCallerFlows() *callerFlows {
	return &callerFlows{upstreamOf: map[int]bvconfig.UpstreamID{}, unrecoverable: map[int]bool{}, openedWhilePartitioned: map[int]bool{}, packet: packet}
}

// add opens flows; those that are not placed at once are sent again later, as
// a caller does.
func (c *callerFlows) add(t *simulation, flows int) {
	for range flows {
		c.pending = append(c.pending, c.opened)
		c.opened++
	}
	var unplaced []int
	for _, f := range c.pending {
		c.openedWhilePartitioned[f] = c.openedWhilePartitioned[f] || t.partitioned()
		if u, reason := t.send(t.anyNode(), c.packet(f, bvflow.PhaseOpening)); reason == bvroute.ReasonNone {
			c.upstreamOf[f] = u
		} else {
			unplaced = append(unplaced, f)
		}
	}
	c.pending = unplaced
}

// abandonedByDesign reports whether packets intentionally don't reach the flow's
// upstream any more: its zone has been out of service, or its address belongs to
// another service.
func (t *simulation) abandonedByDesign(u bvconfig.UpstreamID) bool {
	x := t.upstreams[u]
	return t.pastOutOfService[x.Zone] || t.vnis[x.Tunnel] != serviceVNI(t.config, x.Service)
}

func serviceVNI(c bvconfig.Config, service string) uint32 {
	for _, s := range c.Services {
		if s.Name == service {
			return s.VNI
		}
	}
	return 0
}

// check sends a packet of each flow through some balancer: it may be dropped,
// but must not reach another upstream.
func (c *callerFlows) check(t *simulation) {
	for f := range c.opened {
		want, ok := c.upstreamOf[f]
		if !ok || t.abandonedByDesign(want) {
			continue
		}
		p := c.packet(f, bvflow.PhaseEstablished)
		u, reason := t.send(t.anyNode(), p)
		// A node whose clock was stopped during a pause detects the pause only with
		// the next heartbeat: a documented limit.
		if t.now.Sub(t.undetectedPauseAt) <= time.Second && !t.undetectedPauseAt.IsZero() {
			continue
		}
		if c.unrecoverable[f] || reason != bvroute.ReasonNone || u == want {
			continue
		}
		if c.openedWhilePartitioned[f] {
			c.unrecoverable[f] = true
			continue
		}
		if nodeName := t.nodeWithEntry(p, want); nodeName != "" {
			t.recordViolation("flow %d moves from %s to %s at %s; %s has an entry", f, t.upstreams[want].Name, t.upstreams[u].Name, t.lastSender, nodeName)
		} else if !t.isBasePick(p, want) {
			if c.unrecoverable[f] = true; !t.faults.partitions() {
				t.recordViolation("flow %d moves from %s to %s at %s; no reachable node has an entry", f, t.upstreams[want].Name, t.upstreams[u].Name, t.lastSender)
			}
		} else {
			t.recordViolation("flow %d moves from its base pick %s to %s at %s", f, t.upstreams[want].Name, t.upstreams[u].Name, t.lastSender)
		}
	}
}

// checkAll requires that each flow reaches its upstream from any balancer.
func (c *callerFlows) checkAll(t *simulation) {
	for f := range c.opened {
		want, ok := c.upstreamOf[f]
		if !ok || c.unrecoverable[f] || t.abandonedByDesign(want) {
			continue
		}
		for range 3 {
			if u := t.sendRetrying(c.packet(f, bvflow.PhaseEstablished)); u != want && !c.openedWhilePartitioned[f] {
				t.recordViolation("flow %d is at %q instead of %s", f, t.upstreams[u].Name, t.upstreams[want].Name)
				break
			}
		}
	}
}

// openAroundDrain opens flows, drains an upstream in each zone, and opens more.
// Some flows of both groups become exceptions.
func (c *callerFlows) openAroundDrain(t *simulation, flows int) {
	c.add(t, flows/2)
	t.publish(func(c *bvconfig.Config) {
		markDraining(c, "up-a2")
		markDraining(c, "up-b1")
	})
	t.run(2 * time.Second)
	c.add(t, flows/2)
	require.Empty(t.t, c.pending)
}

func flowsSurvive() faultTest {
	var c *callerFlows
	return faultTest{
		before: func(t *simulation) { c = newCallerFlows(); c.openAroundDrain(t, 160) },
		step: func(t *simulation, i int) {
			if i%4 == 0 {
				c.add(t, 4)
			}
			c.check(t)
		},
		steps: 40,
		after: func(t *simulation) { c.checkAll(t) },
	}
}

// TestPromise1Faults guards against established flows that move or break under
// faults, other than in a zone that was taken out of service.
func TestPromise1Faults(t *testing.T) {
	p := flowsSurvive()
	p.detects = map[string]safeguard{
		"balancer restarted": recordTransfer, "balancer replaced, configuration in half of the nodes": awaitUncontacted,
	}
	p.run(t)
}

// TestPromise5Faults guards against control messages that arrive late, twice
// or in another order and then move a flow, return a node to an earlier
// configuration, or let it own flows whose exceptions it does not have.
func TestPromise5Faults(t *testing.T) {
	p := flowsSurvive()
	p.delayMessages = true
	p.detects = map[string]safeguard{"balancer killed": versionOrder, "long pause, clock stopped, upstream drains": syncLivePeersOnly}
	p.run(t)
}

// TestPromise5LateSyncAnswer guards against a node that marks a peer in sync after
// the answer to a sync request from before a pause. The peer may have placed flows
// since then.
func TestPromise5LateSyncAnswer(t *testing.T) {
	run := func(disabled safeguard) (late, answer bool) {
		g := newSimulation(t, faultTestConfig(), disabled)
		g.run(8 * time.Second)
		n := g.nodes["lb-a0"]
		g.now = g.now.Add(longFault)
		for _, a := range n.Handle(g.now, Tick{}) {
			q, ok := a.(RequestSync)
			if !ok {
				continue
			}
			n.Handle(g.now, SyncReceived{From: q.From, Done: true, Token: q.Token - 3})
			p, _ := n.members.Peer(q.From)
			n.Handle(g.now, SyncReceived{From: q.From, Done: true, Token: q.Token})
			r, _ := n.members.Peer(q.From)
			return p.InSync, r.InSync
		}
		require.FailNow(t, "the node sends no sync request")
		return
	}
	late, answer := run(0)
	assert.False(t, late)
	assert.True(t, answer)
	late, _ = run(syncTokens)
	assert.True(t, late, "the case does not detect the failure")
}

// TestPromise9Faults guards against a planned stop that breaks flows while
// other faults happen.
func TestPromise9Faults(t *testing.T) {
	p := flowsSurvive()
	p.during = func(t *simulation) { t.handle("lb-a2", StopRequested{}) }
	p.detects = map[string]safeguard{"balancer killed": recordTransfer}
	p.run(t)
}

// TestPromise2Faults guards against packets that reach another service after
// an address has moved to it.
func TestPromise2Faults(t *testing.T) {
	var c *callerFlows
	faultTest{
		before: func(t *simulation) {
			c = newCallerFlows()
			c.openAroundDrain(t, 120)
			t.onDelivery = func(at string, p bvflow.Packet, d bvroute.Decision) bool {
				acceptedVNI := t.vnis[d.Tunnel]
				accepted := d.VNI == acceptedVNI || t.disabled&separateVNIs != 0
				if want := t.vniOf(p.Destination); accepted && acceptedVNI != want {
					t.recordViolation("%s sends a packet for VNI %d to a VM of VNI %d", at, want, acceptedVNI)
				}
				return accepted
			}
		},
		during: func(t *simulation) {
			t.publish(func(c *bvconfig.Config) { reuseAddress(c, "a"); reuseAddress(c, "b") })
		},
		step: func(t *simulation, _ int) {
			for f := range c.opened {
				t.send(t.anyNode(), packet(f, bvflow.PhaseEstablished))
			}
			c.add(t, 2)
		},
		steps:   30,
		detects: map[string]safeguard{"configuration in half of the nodes": separateVNIs},
	}.run(t)
}

// TestPromise4Faults guards against packets to a zone more than five seconds
// after it was taken out of service, from nodes that could have received the
// configuration.
func TestPromise4Faults(t *testing.T) {
	for _, zone := range []string{"a", "b"} {
		t.Run("zone "+zone, func(t *testing.T) {
			var c *callerFlows
			faultTest{
				before: func(t *simulation) {
					c = newCallerFlows()
					c.openAroundDrain(t, 120)
					t.onDelivery = func(at string, _ bvflow.Packet, d bvroute.Decision) bool {
						if z := t.upstreams[d.Upstream].Zone; t.zoneOutOfService(z) && t.connectedFor(at, 5*time.Second) {
							t.recordViolation("%s sends to zone %s", at, z)
						}
						return true
					}
				},
				during: func(t *simulation) { t.publish(func(c *bvconfig.Config) { setOutOfService(c, zone, true) }) },
				step: func(t *simulation, _ int) {
					for f := range c.opened {
						t.send(t.anyNode(), packet(f, bvflow.PhaseEstablished))
					}
					c.add(t, 2)
				},
				steps:      40,
				skipReason: noZoneInService(zone),
				detects: map[string]safeguard{
					"balancer killed": zonesOutOfService, "zone cut off from the platform": fetchFromPeers,
				},
			}.run(t)
		})
	}
}

// TestPromise8Faults guards against new flows to an upstream more than five
// seconds after it was marked as draining.
func TestPromise8Faults(t *testing.T) {
	var c *callerFlows
	faultTest{
		before: func(t *simulation) {
			c = newCallerFlows()
			c.openAroundDrain(t, 40)
			t.onDelivery = func(at string, p bvflow.Packet, d bvroute.Decision) bool {
				if t.draining(d.Upstream) && p.Phase == bvflow.PhaseOpening && t.connectedFor(at, 5*time.Second) {
					t.recordViolation("%s sends a new flow to %s", at, t.upstreams[d.Upstream].Name)
				}
				return true
			}
		},
		during: func(t *simulation) {
			t.publish(func(c *bvconfig.Config) { markDraining(c, "up-a0"); markDraining(c, "up-b0") })
		},
		step:       func(t *simulation, _ int) { c.add(t, 12) },
		steps:      40,
		skipReason: noZoneInService(),
		detects: map[string]safeguard{
			"balancer killed": leavingUpstreams, "zone cut off from the platform": fetchFromPeers,
		},
	}.run(t)
}

// TestPromise10Faults guards against a published configuration that is not in
// force within five seconds on a node that could have received it, and against
// nodes that return to an earlier one.
func TestPromise10Faults(t *testing.T) {
	faultTest{
		before: func(t *simulation) {
			t.publish(func(c *bvconfig.Config) { markDraining(c, "up-a3") })
			t.run(3 * time.Second)
		},
		during: func(t *simulation) { t.publish(func(c *bvconfig.Config) { markDraining(c, "up-b3") }) },
		step: func(t *simulation, _ int) {
			for _, name := range t.names {
				v := t.nodes[name].store.Version()
				if v != t.config.Version && t.connectedFor(name, 5*time.Second) && !t.paused[name] && !t.justStarted(name) {
					t.recordViolation("%s has revision %d instead of %d", name, v.Revision, t.config.Version.Revision)
				}
			}
		},
		steps: 40,
		after: func(t *simulation) {
			for _, name := range t.names {
				if v := t.nodes[name].store.Version(); v != t.config.Version {
					t.recordViolation("%s ends at revision %d instead of %d", name, v.Revision, t.config.Version.Revision)
				}
			}
		},
		skipReason: noZoneInService(),
		detects:    map[string]safeguard{"platform stale": versionOrder, "zone cut off from the platform": fetchFromPeers},
	}.run(t)
}
