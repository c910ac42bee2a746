package bvroute

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// simulation runs a cluster and a reference model side by side. The reference
// model is one global map from each established flow to its upstream.
type simulation struct {
	*cluster
	reference map[*flow]bvconfig.UpstreamID
	order     []*flow // Flows in the order of opening, including those deleted from reference.
	opened    int
	changes   int
}

func (h *simulation) check() {
	for _, c := range h.order {
		if u, ok := h.reference[c]; ok {
			c.upstream = u
			d := h.send(c, bvflow.PhaseEstablished, 100)
			ok := d.Verdict == VerdictUpstream && d.Upstream == u || d.Verdict == VerdictDrop && h.unknownEverywhere(u)
			if !ok {
				h.explain(c)
			}
			require.True(h, ok, "flow %v of %s: %+v", c.Source, h.upstreamNames[u], d)
		}
	}
}

func (h *simulation) open(*rapid.T) {
	for range 40 {
		c := h.tcp(h.opened)
		h.opened++
		if h.cluster.open(c) {
			h.reference[c] = c.upstream
			h.order = append(h.order, c)
		}
	}
}

func (h *simulation) change(t *rapid.T) {
	h.changes++
	f := add("board", 30+h.changes)
	if rapid.Bool().Draw(t, "drain") {
		u := rapid.SampledFrom(h.config.Upstreams).Draw(t, "upstream")
		f = drain(u.Name)
	}
	h.publish(f, rapid.SampledFrom([]float64{0, 0.3, 0.5, 1}).Draw(t, "share"))
}

func (h *simulation) kill(t *rapid.T) {
	n := rapid.SampledFrom(h.nodes).Draw(t, "node")
	if h.countInZone(n.Zone) < 3 {
		t.Skip("the zone needs two balancers")
	}
	h.sweep()
	h.cluster.kill(n)
}

func (h *simulation) leave(t *rapid.T) {
	n := rapid.SampledFrom(h.nodes).Draw(t, "node")
	if h.countInZone(n.Zone) < 3 {
		t.Skip("the zone needs two balancers")
	}
	h.cluster.leave(n)
}

// unknownEverywhere reports whether no node has an upstream in its
// configuration, since all nodes with that configuration have stopped. Packets
// of its flows may be dropped until another node receives the configuration.
func (h *simulation) unknownEverywhere(u bvconfig.UpstreamID) bool {
	for _, n := range h.nodes {
		if slices.ContainsFunc(n.config.Upstreams, func(x bvconfig.Upstream) bool { return x.ID() == u }) {
			return false
		}
	}
	return true
}

func (h *simulation) countInZone(zone string) (n int) {
	for _, o := range h.nodes {
		if o.Zone == zone {
			n++
		}
	}
	return n
}

func (h *simulation) join(t *rapid.T) {
	if len(h.nodes) > 12 {
		t.Skip("enough balancers")
	}
	h.cluster.join(fmt.Sprintf("j%d", h.started), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"))
}

// toggleZone takes a zone out of service, which abandons its flows, or puts it
// back into service.
func (h *simulation) toggleZone(t *rapid.T) {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
	out := 0
	for _, z := range h.config.Zones {
		if z.OutOfService && z.Name != name {
			out++
		}
	}
	if out > 0 {
		t.Skip("another zone is out of service")
	}
	i := slices.IndexFunc(h.config.Zones, func(z bvconfig.Zone) bool { return z.Name == name })
	isOut := !h.config.Zones[i].OutOfService
	h.publish(setOutOfService(name, isOut), 1)
	h.sweep()
	for c, u := range h.reference {
		if isOut && h.upstreamZones[u] == name {
			delete(h.reference, c)
		}
	}
}

// advanceBase advances the base revision in the same two steps as the nodes:
// first both revisions are in use, then only the new one.
func (h *simulation) advanceBase(*rapid.T) {
	h.rollOut(1)
	next := Base{Revision: h.config.Version.Revision, Upstreams: h.config.Upstreams}
	if next.Revision == h.nodes[0].bases[0].Revision {
		return
	}
	for _, bases := range [][]Base{{h.nodes[0].router.Bases()[0], next}, {next}} {
		for _, n := range h.nodes {
			n.bases = bases
		}
		h.updateSnapshots()
		h.sweep()
	}
}

// TestDifferential guards against sequences of changes after which the
// upstream of an established flow differs from the reference model. A sweep
// completes before each unplanned stop of a balancer.
func TestDifferential(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &simulation{cluster: newCluster(rt, 3, 0), reference: map[*flow]bvconfig.UpstreamID{}}
		h.publish(func(c *bvconfig.Config) {
			c.Zones = append(c.Zones, bvconfig.Zone{Name: "c"})
			for i := range 6 {
				u := newUpstream("board", 100+i)
				u.Zone = "c"
				c.Upstreams = append(c.Upstreams, u)
			}
		}, 1)
		for range 3 {
			h.cluster.join(fmt.Sprintf("j%d", h.started), "c")
		}
		h.advanceTime(2 * time.Minute)
		rt.Repeat(map[string]func(*rapid.T){
			"open": h.open, "change": h.change, "kill": h.kill, "leave": h.leave,
			"join": h.join, "zone": h.toggleZone, "advance": h.advanceBase,
			"roll": func(*rapid.T) { h.rollOut(1) },
			"pass": func(t *rapid.T) { h.advanceTime(time.Duration(rapid.IntRange(1, 40).Draw(t, "minutes")) * time.Minute) },
			"":     func(*rapid.T) { h.check() },
		})
	})
}
