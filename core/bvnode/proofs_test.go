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

// proof is how a promise is tried under each row of faults.
type proof struct {
	config func(c *bvconfig.Config) // Nil, or changes the sample.
	noise  bool
	warmUp time.Duration
	before func(t *trial)        // What happens before the faults.
	during func(t *trial)        // A second after them.
	step   func(t *trial, i int) // Every half second.
	steps  int
	after  func(t *trial) // Nil, or called when all nodes are active again.
	// skipped returns why a row is a documented limit, or "".
	skipped func(r row) string
	// off switches safeguards off; the promise has to be broken then under the
	// faults of the same name, or the table would not detect the failure.
	off map[string]safeguard
}

// try runs one row and returns how the promise was broken.
func (p proof) try(t *testing.T, r row, disabled safeguard) []string {
	c := sampleFaults()
	if p.config != nil {
		p.config(&c)
	}
	tr := newTrial(t, c, disabled)
	if p.noise {
		tr.noise = newNoise(1)
	}
	tr.run(8*time.Second + p.warmUp)
	tr.requireActive()
	p.before(tr)
	tr.inject(r)
	for i := range p.steps {
		tr.run(500 * time.Millisecond)
		if i == 1 && p.during != nil {
			p.during(tr)
		}
		p.step(tr, i)
	}
	if p.after != nil {
		tr.settle()
		p.after(tr)
	}
	return tr.violations
}

func (p proof) run(t *testing.T) {
	names := map[string]row{}
	for _, r := range rows() {
		names[r.String()] = r
		if p.skipped != nil && p.skipped(r) != "" {
			continue
		}
		t.Run(r.String(), func(t *testing.T) {
			assert.Empty(t, first(p.try(t, r, 0)), "the promise is broken")
		})
	}
	for name, s := range p.off {
		t.Run(name+", without the safeguard", func(t *testing.T) {
			require.Contains(t, names, name)
			assert.NotEmpty(t, p.try(t, names[name], s), "the row does not detect the failure")
		})
	}
}

// allOut tells why rows that would take all zones out are left out.
func allOut(zones ...string) func(r row) string {
	return func(r row) string {
		out := map[string]bool{}
		for _, z := range zones {
			out[z] = true
		}
		for i, f := range r {
			out[[]string{"a", "b"}[i]] = out[[]string{"a", "b"}[i]] || f.name == "zone out and back"
		}
		if out["a"] && out["b"] {
			return "a configuration without a zone in service is refused"
		}
		return ""
	}
}

// first returns a few of the violations, with their number.
func first(vs []string) []string {
	return vs[:min(len(vs), 5)]
}

// callers are flows that are sent through any balancer.
type callers struct {
	at      map[int]bvconfig.UpstreamID
	pending []int
	opened  int
	// lost are flows whose packet has reached a balancer from which no
	// holder of the exception could be reached: a documented limit.
	lost map[int]bool
	// split are flows that were opened through both sides of a partition,
	// which may then have placed them differently: a documented limit.
	split   map[int]bool
	service func(flow int, phase bvflow.Phase) bvflow.Packet
}

func newCallers() *callers {
	return &callers{at: map[int]bvconfig.UpstreamID{}, lost: map[int]bool{}, split: map[int]bool{}, service: packet}
}

// add opens flows; those that are not placed at once are sent again later, as
// a caller does.
func (c *callers) add(t *trial, flows int) {
	for range flows {
		c.pending = append(c.pending, c.opened)
		c.opened++
	}
	var still []int
	for _, f := range c.pending {
		c.split[f] = c.split[f] || t.splitNow()
		if u, reason := t.send(t.anyNode(), c.service(f, bvflow.PhaseOpening)); reason == bvroute.ReasonNone {
			c.at[f] = u
		} else {
			still = append(still, f)
		}
	}
	c.pending = still
}

// givenUp reports whether the flow's upstream may not be reached by intent: its
// zone has been out of service, or its address belongs to another service.
func (t *trial) givenUp(u bvconfig.UpstreamID) bool {
	x := t.upstreams[u]
	return t.out[x.Zone] || t.vnis[x.Tunnel] != serviceVNI(t.config, x.Service)
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
func (c *callers) check(t *trial) {
	for f := range c.opened {
		want, ok := c.at[f]
		if !ok || t.givenUp(want) {
			continue
		}
		p := c.service(f, bvflow.PhaseEstablished)
		u, reason := t.send(t.anyNode(), p)
		// A node whose clock stood still learns of its pause from the next
		// heartbeat: a documented limit.
		if t.now.Sub(t.unaware) <= time.Second && !t.unaware.IsZero() {
			continue
		}
		if c.lost[f] || reason != bvroute.ReasonNone || u == want {
			continue
		}
		if c.split[f] {
			c.lost[f] = true
			continue
		}
		if holder := t.holder(p, want); holder != "" {
			t.violate("flow %d moves from %s to %s at %s; %s knows it", f, t.upstreams[want].Name, t.upstreams[u].Name, t.last, holder)
		} else if !t.recomputes(p, want) {
			if c.lost[f] = true; !t.row.splits() {
				t.violate("flow %d moves from %s to %s at %s; nobody knows it", f, t.upstreams[want].Name, t.upstreams[u].Name, t.last)
			}
		} else {
			t.violate("flow %d moves from its base pick %s to %s at %s", f, t.upstreams[want].Name, t.upstreams[u].Name, t.last)
		}
	}
}

// checkAll requires that each flow reaches its upstream from any balancer.
func (c *callers) checkAll(t *trial) {
	for f := range c.opened {
		want, ok := c.at[f]
		if !ok || c.lost[f] || t.givenUp(want) {
			continue
		}
		for range 3 {
			if u := t.spray(c.service(f, bvflow.PhaseEstablished)); u != want && !c.split[f] {
				t.violate("flow %d is at %q instead of %s", f, t.upstreams[u].Name, t.upstreams[want].Name)
				break
			}
		}
	}
}

// establish opens flows, drains an upstream in each zone so that some of them
// and some of the next become exceptions, and opens more.
func (c *callers) establish(t *trial, flows int) {
	c.add(t, flows/2)
	t.publish(func(c *bvconfig.Config) {
		leave(c, "up-a2")
		leave(c, "up-b1")
	})
	t.run(2 * time.Second)
	c.add(t, flows/2)
	require.Empty(t.t, c.pending)
}

func survival() proof {
	var c *callers
	return proof{
		before: func(t *trial) { c = newCallers(); c.establish(t, 160) },
		step: func(t *trial, i int) {
			if i%4 == 0 {
				c.add(t, 4)
			}
			c.check(t)
		},
		steps: 40,
		after: func(t *trial) { c.checkAll(t) },
	}
}

// TestPromise1Faults guards against established flows that move or break under
// faults, other than in a zone that was taken out.
func TestPromise1Faults(t *testing.T) {
	p := survival()
	p.off = map[string]safeguard{
		"balancer restarted": recordTransfer, "balancer replaced, configuration in half of the nodes": unheardPeers,
	}
	p.run(t)
}

// TestPromise5Faults guards against control messages that arrive late, twice
// or in another order and then move a flow, take a node back to an earlier
// configuration, or let it own flows whose exceptions it does not have.
func TestPromise5Faults(t *testing.T) {
	p := survival()
	p.noise = true
	p.off = map[string]safeguard{"balancer killed": versionOrder, "long pause, clock stands, upstream drains": knownAskers}
	p.run(t)
}

// TestPromise5LateSyncAnswer guards against an answer to a sync request from
// before a pause, after which the peer has placed flows.
func TestPromise5LateSyncAnswer(t *testing.T) {
	run := func(disabled safeguard) (late, answer bool) {
		g := newTrial(t, sampleFaults(), disabled)
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
		require.FailNow(t, "the node asks no peer")
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
	p := survival()
	p.during = func(t *trial) { t.handle("lb-a2", StopRequested{}) }
	p.off = map[string]safeguard{"balancer killed": recordTransfer}
	p.run(t)
}

// TestPromise2Faults guards against packets that reach another service after
// an address has moved to it.
func TestPromise2Faults(t *testing.T) {
	var c *callers
	proof{
		before: func(t *trial) {
			c = newCallers()
			c.establish(t, 120)
			t.sent = func(at string, p bvflow.Packet, d bvroute.Decision) bool {
				holder := t.vnis[d.Tunnel]
				accepted := d.VNI == holder || t.disabled&separateVNIs != 0
				if want := t.vniOf(p.Destination); accepted && holder != want {
					t.violate("%s sends a packet for VNI %d to a VM of VNI %d", at, want, holder)
				}
				return accepted
			}
		},
		during: func(t *trial) { t.publish(func(c *bvconfig.Config) { reuse(c, "a"); reuse(c, "b") }) },
		step: func(t *trial, _ int) {
			for f := range c.opened {
				t.send(t.anyNode(), packet(f, bvflow.PhaseEstablished))
			}
			c.add(t, 2)
		},
		steps: 30,
		off:   map[string]safeguard{"configuration in half of the nodes": separateVNIs},
	}.run(t)
}

// TestPromise4Faults guards against packets to a zone more than five seconds
// after it was taken out, from nodes that could have heard of it.
func TestPromise4Faults(t *testing.T) {
	for _, out := range []string{"a", "b"} {
		t.Run("zone "+out, func(t *testing.T) {
			var c *callers
			proof{
				before: func(t *trial) {
					c = newCallers()
					c.establish(t, 120)
					t.sent = func(at string, _ bvflow.Packet, d bvroute.Decision) bool {
						if z := t.upstreams[d.Upstream].Zone; t.zoneOut(z) && t.informed(at, 5*time.Second) {
							t.violate("%s sends to zone %s", at, z)
						}
						return true
					}
				},
				during: func(t *trial) { t.publish(func(c *bvconfig.Config) { setZone(c, out, true) }) },
				step: func(t *trial, _ int) {
					for f := range c.opened {
						t.send(t.anyNode(), packet(f, bvflow.PhaseEstablished))
					}
					c.add(t, 2)
				},
				steps:   40,
				skipped: allOut(out),
				off: map[string]safeguard{
					"balancer killed": zonesOut, "zone cut off from the platform": learnFromPeers,
				},
			}.run(t)
		})
	}
}

// TestPromise8Faults guards against new flows to an upstream more than five
// seconds after it was marked as leaving.
func TestPromise8Faults(t *testing.T) {
	var c *callers
	proof{
		before: func(t *trial) {
			c = newCallers()
			c.establish(t, 40)
			t.sent = func(at string, p bvflow.Packet, d bvroute.Decision) bool {
				if t.leaving(d.Upstream) && p.Phase == bvflow.PhaseOpening && t.informed(at, 5*time.Second) {
					t.violate("%s sends a new flow to %s", at, t.upstreams[d.Upstream].Name)
				}
				return true
			}
		},
		during: func(t *trial) {
			t.publish(func(c *bvconfig.Config) { leave(c, "up-a0"); leave(c, "up-b0") })
		},
		step:    func(t *trial, _ int) { c.add(t, 12) },
		steps:   40,
		skipped: allOut(),
		off: map[string]safeguard{
			"balancer killed": leavingUpstreams, "zone cut off from the platform": learnFromPeers,
		},
	}.run(t)
}

// TestPromise10Faults guards against a published configuration that is not in
// force within five seconds on a node that could have heard of it, and against
// nodes that return to an earlier one.
func TestPromise10Faults(t *testing.T) {
	proof{
		before: func(t *trial) { t.publish(func(c *bvconfig.Config) { leave(c, "up-a3") }); t.run(3 * time.Second) },
		during: func(t *trial) { t.publish(func(c *bvconfig.Config) { leave(c, "up-b3") }) },
		step: func(t *trial, _ int) {
			for _, name := range t.names {
				v := t.nodes[name].store.Version()
				if v != t.config.Version && t.informed(name, 5*time.Second) && !t.paused[name] && !t.justBegun(name) {
					t.violate("%s has revision %d instead of %d", name, v.Revision, t.config.Version.Revision)
				}
			}
		},
		steps: 40,
		after: func(t *trial) {
			for _, name := range t.names {
				if v := t.nodes[name].store.Version(); v != t.config.Version {
					t.violate("%s ends at revision %d instead of %d", name, v.Revision, t.config.Version.Revision)
				}
			}
		},
		skipped: allOut(),
		off:     map[string]safeguard{"platform stale": versionOrder, "zone cut off from the platform": learnFromPeers},
	}.run(t)
}
