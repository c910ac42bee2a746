// Package bvbaseline implements the simpler designs that the benchmarks compare
// with: stateless consistent hashing, replication of every flow, and Bloom
// filters instead of the list of exceptions.
//
// # Usage
//
//	before, after := bvbaseline.NewPicker(old), bvbaseline.NewPicker(c)
//	if before.Pick(flow) != after.Pick(flow) {
//		broken++
//	}
package bvbaseline

import (
	"balsamvane/bench/bvload"
	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvpick"
)

// Picker picks upstreams by weighted rendezvous hashing over the zones and
// upstreams that accept new flows. Balsamvane does the same, but Picker has no
// state and ignores load and limits. A change moves the fewest flows that are
// possible with hashing alone.
type Picker struct {
	hasher   bvflow.Hasher
	services []pickService
}

type pickService struct {
	zones      []bvpick.Candidate
	candidates [][]bvpick.Candidate
	ids        [][]bvconfig.UpstreamID
}

// NewPicker returns a picker for a configuration.
func NewPicker(c bvconfig.Config) Picker {
	p := Picker{hasher: bvflow.NewHasher(c.HashSeed)}
	for _, s := range c.Services {
		var ps pickService
		for _, z := range c.Zones {
			var cs []bvpick.Candidate
			var ids []bvconfig.UpstreamID
			weight := uint64(0)
			for _, u := range c.Upstreams {
				if u.Service == s.Name && u.Zone == z.Name && !u.Leaving && !z.OutOfService {
					cs, ids = append(cs, bvpick.Upstream(u.ID(), u.Weight)), append(ids, u.ID())
					weight += uint64(u.Weight)
				}
			}
			ps.zones = append(ps.zones, bvpick.Zone(z.Name, weight))
			ps.candidates, ps.ids = append(ps.candidates, cs), append(ps.ids, ids)
		}
		p.services = append(p.services, ps)
	}
	return p
}

// Pick returns the upstream for a flow, or 0 if there is none.
func (p Picker) Pick(f *bvload.Flow) bvconfig.UpstreamID {
	k, s := p.hasher.Key(f.Tuple), &p.services[f.Service]
	z := bvpick.Best(k, s.zones)
	if z < 0 {
		return 0
	}
	i := bvpick.Best(k, s.candidates[z])
	if i < 0 {
		return 0
	}
	return s.ids[z][i]
}

// HashingResult is the effect of a configuration change on the open flows with
// hashing alone. Flows of upstreams in zones out of service do not count as
// broken.
type HashingResult struct {
	Broken    int
	Imbalance float64
}

// CompareHashing compares the picks for the open flows before and after a
// change.
func CompareHashing(before, after bvconfig.Config, l *bvload.Load) HashingResult {
	a, b := NewPicker(before), NewPicker(after)
	outOfService, zone := map[string]bool{}, map[bvconfig.UpstreamID]string{}
	for _, z := range after.Zones {
		outOfService[z.Name] = z.OutOfService
	}
	for _, u := range before.Upstreams {
		zone[u.ID()] = u.Zone
	}
	var h HashingResult
	open := map[bvconfig.UpstreamID]int{}
	l.EachOpen(func(f *bvload.Flow) {
		old, now := a.Pick(f), b.Pick(f)
		open[now]++
		if old != now && !outOfService[zone[old]] {
			h.Broken++
		}
	})
	h.Imbalance = bvload.Imbalance(after, open)
	return h
}
