package bvcatalog

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvrevision"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The seed is fixed so that each run draws the same cases.
func init() { _ = flag.Set("rapid.seed", "1") }

// indexState is the content of a catalog's indexes.
type indexState struct {
	tokens   map[Token]bvconfig.UpstreamID
	services map[string][]string // The entries of each service, by ID.
	limits   map[string]ServiceLimits
}

// expectedIndexes computes the indexes of a catalog from its entries.
func expectedIndexes(c *Catalog) indexState {
	n := indexState{tokens: map[Token]bvconfig.UpstreamID{}, services: map[string][]string{}, limits: map[string]ServiceLimits{}}
	for name, l := range c.limits {
		n.limits[name], n.services[name] = l, nil
	}
	owners := map[Token]*Entry{}
	for _, id := range sortedIDs(c.entries) {
		e := c.entries[id]
		shadowed := false
		switch other := owners[e.Token]; {
		case other == nil || other.removed && !e.removed:
			owners[e.Token] = e
		case !e.removed:
			shadowed = true
		}
		n.tokens[e.Token] = owners[e.Token].ID
		if e.removed || e.Service == "" {
			continue
		}
		if _, ok := n.limits[e.Service]; !ok {
			n.limits[e.Service] = ServiceLimits{Name: e.Service}
		}
		accepts := !e.removed && !e.Draining && !e.unreadable() && !shadowed
		n.services[e.Service] = append(n.services[e.Service], fmt.Sprint(e.ID, accepts, e.Zone, e.Address, c.zonesOutOfService[e.Zone]))
	}
	return n
}

// actualIndexes reads the indexes of a catalog.
func actualIndexes(c *Catalog) indexState {
	n := indexState{tokens: map[Token]bvconfig.UpstreamID{}, services: map[string][]string{}, limits: map[string]ServiceLimits{}}
	for t, e := range c.index.tokens {
		n.tokens[t] = e.ID
	}
	for name, s := range c.services {
		n.limits[name], n.services[name] = s.ServiceLimits, nil
		for _, e := range s.Entries {
			n.services[name] = append(n.services[name], fmt.Sprint(e.ID, e.AcceptsFlows(), e.Zone, e.Address, c.zonesOutOfService[e.Zone]))
		}
	}
	return n
}

// TestIndexes guards against indexes that differ from the entries after any
// sequence of changes, and against services that have changed without a new
// generation. Upstreams share tokens, move
// between services and return, and the platform is restored from copies.
func TestIndexes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(Options{})
		now, r := start, rev(10)
		c.Replace(now, 0, r, []Change{Configuration{Version: 1, Services: []ServiceLimits{{Name: "s0"}}}})
		id := func() bvconfig.UpstreamID {
			n := rapid.Uint64Range(1, 3).Draw(t, "token")
			k := rapid.Uint64Range(0, 2).Draw(t, "twin")
			return bvconfig.UpstreamID(k<<32 | (n ^ k)) // All k have the token n.
		}
		change := func() Change {
			r.Number++
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				return UpstreamUnreadable{Revision: r, ID: id()}
			case 1, 2:
				return UpstreamRemoved{Revision: r, ID: id()}
			case 3:
				return ZoneOutOfService{Zone: "z1"}
			case 4:
				return ZoneBackInService{Zone: "z1"}
			case 5:
				d := Configuration{Version: c.Version() + 1}
				for i := range rapid.IntRange(0, 3).Draw(t, "services") {
					d.Services = append(d.Services, ServiceLimits{Name: fmt.Sprint("s", i), Connections: rapid.Uint32Range(0, 1).Draw(t, "limit")})
				}
				return d
			default:
				u := upstream(id())
				u.Service = fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "service"))
				u.Zone = fmt.Sprint("z", rapid.IntRange(0, 1).Draw(t, "zone"))
				u.Draining = rapid.Bool().Draw(t, "draining")
				u.StartedAt = start.Add(time.Duration(rapid.IntRange(0, 1).Draw(t, "start")) * time.Second)
				u.Sequence = rapid.Uint64Range(1, 3).Draw(t, "sequence")
				return UpstreamPut{Revision: r, Upstream: u}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"apply": func(*rapid.T) { c.Apply(now, 0, r, []Change{change()}) },
			"list":  func(*rapid.T) { c.Replace(now, 0, r, []Change{change(), change()}) },
			"restore": func(t *rapid.T) {
				r = bvrevision.Revision{Era: r.Era + 1, Number: rapid.Int64Range(1, r.Number).Draw(t, "number")}
				c.Replace(now, 0, r, []Change{change(), change()})
			},
			"pass time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
				c.RecordAnswer(now, 0)
				c.Tick(now)
			},
			"": func() func(t *rapid.T) {
				before, generation := actualIndexes(c), c.Generation()
				return func(t *rapid.T) {
					got := actualIndexes(c)
					require.Equal(t, expectedIndexes(c), got)
					for id, e := range c.entries {
						require.Equal(t, e.missing || e.removed, c.inactive[id] == e, "entry %d", id)
					}
					require.Subset(t, c.entries, c.inactive)
					for name, view := range got.services {
						if fmt.Sprint(view, got.limits[name]) != fmt.Sprint(before.services[name], before.limits[name]) {
							require.Greater(t, c.Service(name).Generation, generation, name)
						}
					}
					before, generation = got, c.Generation()
				}
			}(),
		})
	})
}
