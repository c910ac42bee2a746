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

// history drives a fleet and the naive version side by side. The naive
// version is one global map from each established flow to its upstream.
type history struct {
	*fleet
	naive   map[*caller]bvconfig.UpstreamID
	order   []*caller // The keys of naive, in the order of opening.
	opened  int
	changes int
}

func (h *history) check() {
	for _, c := range h.order {
		if u, ok := h.naive[c]; ok {
			c.upstream = u
			d := h.send(c, bvflow.PhaseEstablished, 100)
			ok := d.Verdict == VerdictUpstream && d.Upstream == u || d.Verdict == VerdictDrop && h.unheardOf(u)
			if !ok {
				h.explain(c)
			}
			require.True(h, ok, "flow %v of %s: %+v", c.Source, h.names[u], d)
		}
	}
}

func (h *history) open(*rapid.T) {
	for range 40 {
		c := h.tcp(h.opened)
		h.opened++
		if h.fleet.open(c) {
			h.naive[c] = c.upstream
			h.order = append(h.order, c)
		}
	}
}

func (h *history) change(t *rapid.T) {
	h.changes++
	f := add("board", 30+h.changes)
	if rapid.Bool().Draw(t, "drain") {
		u := rapid.SampledFrom(h.config.Upstreams).Draw(t, "upstream")
		f = drain(u.Name)
	}
	h.publish(f, rapid.SampledFrom([]float64{0, 0.3, 0.5, 1}).Draw(t, "share"))
}

func (h *history) kill(t *rapid.T) {
	n := rapid.SampledFrom(h.nodes).Draw(t, "node")
	if h.inZone(n.Zone) < 3 {
		t.Skip("the zone needs two balancers")
	}
	h.sweep()
	h.fleet.kill(n)
}

func (h *history) leave(t *rapid.T) {
	n := rapid.SampledFrom(h.nodes).Draw(t, "node")
	if h.inZone(n.Zone) < 3 {
		t.Skip("the zone needs two balancers")
	}
	h.fleet.leave(n)
}

// unheardOf reports whether no node knows an upstream: the only ones that had
// the configuration with it are gone. Its flows have to wait then.
func (h *history) unheardOf(u bvconfig.UpstreamID) bool {
	for _, n := range h.nodes {
		if slices.ContainsFunc(n.config.Upstreams, func(x bvconfig.Upstream) bool { return x.ID() == u }) {
			return false
		}
	}
	return true
}

func (h *history) inZone(zone string) (n int) {
	for _, o := range h.nodes {
		if o.Zone == zone {
			n++
		}
	}
	return n
}

func (h *history) join(t *rapid.T) {
	if len(h.nodes) > 12 {
		t.Skip("enough balancers")
	}
	h.fleet.join(fmt.Sprintf("j%d", h.started), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"))
}

// toggle takes a zone out of service or back; its flows are given up.
func (h *history) toggle(t *rapid.T) {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
	out := 0
	for _, z := range h.config.Zones {
		if z.OutOfService && z.Name != name {
			out++
		}
	}
	if out > 0 {
		t.Skip("only one zone is out at a time")
	}
	i := slices.IndexFunc(h.config.Zones, func(z bvconfig.Zone) bool { return z.Name == name })
	isOut := !h.config.Zones[i].OutOfService
	h.publish(zoneOut(name, isOut), 1)
	h.sweep()
	for c, u := range h.naive {
		if isOut && h.zones[u] == name {
			delete(h.naive, c)
		}
	}
}

// advance moves the base revision in the two steps that nodes follow.
func (h *history) advance(*rapid.T) {
	h.roll(1)
	next := Base{Revision: h.config.Version.Revision, Upstreams: h.config.Upstreams}
	if next.Revision == h.nodes[0].bases[0].Revision {
		return
	}
	for _, bases := range [][]Base{{h.nodes[0].router.Bases()[0], next}, {next}} {
		for _, n := range h.nodes {
			n.bases = bases
		}
		h.refresh()
		h.sweep()
	}
}

// TestDifferential guards against any sequence of changes after which an
// established flow goes elsewhere than in the naive version. Between two
// unplanned deaths a sweep is complete.
func TestDifferential(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &history{fleet: newFleet(rt, 3, 0), naive: map[*caller]bvconfig.UpstreamID{}}
		h.publish(func(c *bvconfig.Config) {
			c.Zones = append(c.Zones, bvconfig.Zone{Name: "c"})
			for i := range 6 {
				u := newUpstream("board", 100+i)
				u.Zone = "c"
				c.Upstreams = append(c.Upstreams, u)
			}
		}, 1)
		for range 3 {
			h.fleet.join(fmt.Sprintf("j%d", h.started), "c")
		}
		h.pass(2 * time.Minute)
		rt.Repeat(map[string]func(*rapid.T){
			"open": h.open, "change": h.change, "kill": h.kill, "leave": h.leave,
			"join": h.join, "zone": h.toggle, "advance": h.advance,
			"roll": func(*rapid.T) { h.roll(1) },
			"pass": func(t *rapid.T) { h.pass(time.Duration(rapid.IntRange(1, 40).Draw(t, "minutes")) * time.Minute) },
			"":     func(*rapid.T) { h.check() },
		})
	})
}
