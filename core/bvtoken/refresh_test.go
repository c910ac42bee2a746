package bvtoken

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"balsamvane/core/bvcatalog"
	"balsamvane/core/bvconfig"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The seed is fixed so that each run draws the same cases.
func init() { _ = flag.Set("rapid.seed", "1") }

// view is what a router knows of its upstreams, by ID.
func view(r *Router) map[bvconfig.UpstreamID]string {
	out := map[bvconfig.UpstreamID]string{}
	for name, s := range r.services {
		for _, t := range s.all {
			out[t.entry.ID] = fmt.Sprint(name, t.entry.Address, t.inZone, t.service == s, r.targets[t.entry.ID] == t)
		}
		for _, p := range []pool{s.choice.near, s.choice.farther, pool(s.choice.silent), pool(s.choice.cold)} {
			for i, t := range p {
				out[t.entry.ID] += fmt.Sprint(" takes", t.index == i)
			}
		}
	}
	return out
}

// TestRefresh guards against a router that differs from one that has just been
// made, after any sequence of changes of the catalog.
func TestRefresh(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(11, 12, 21)
		f.router.refresh(f.now)
		id := func() bvconfig.UpstreamID {
			return bvconfig.UpstreamID(10*rapid.IntRange(1, 2).Draw(t, "zone") + rapid.IntRange(1, 3).Draw(t, "upstream"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				f.change(id(), func(u *bvcatalog.Upstream) {
					u.Service = rapid.SampledFrom([]string{"desk", "vault"}).Draw(t, "service")
					u.Draining = rapid.Bool().Draw(t, "draining")
				})
			},
			"gone":   func(*rapid.T) { f.gone(id()) },
			"zone":   func(*rapid.T) { f.apply(bvcatalog.ZoneOutOfService{Zone: "zone-b"}) },
			"back":   func(*rapid.T) { f.apply(bvcatalog.ZoneInService{Zone: "zone-b"}) },
			"outage": func(*rapid.T) { f.now = f.now.Add(5 * time.Second) },
			"pass":   func(*rapid.T) { f.pass(20 * time.Second) },
			"refresh": func(*rapid.T) {
				f.router.refresh(f.now)
				fresh := New(Options{Zone: "zone-a"}, f.catalog)
				fresh.refresh(f.now)
				require.Equal(t, view(fresh), view(f.router))
				require.Len(t, f.router.targets, len(fresh.targets))
			},
		})
	})
}
