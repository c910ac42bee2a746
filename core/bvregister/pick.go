package bvregister

import (
	"cmp"
	"slices"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvpick"
)

// Picker gives the upstream that a new flow goes to by default: when no
// upstream is over a limit, cold or ejected.
type Picker interface {
	// Pick returns the default of a flow of the service; ok is false if no
	// upstream takes new flows.
	Pick(service string, k bvflow.Key) (u bvconfig.UpstreamID, ok bool)
}

// NewPicker returns the rendezvous choice of zone, then upstream, over the
// upstreams of c that take new flows.
func NewPicker(c bvconfig.Config) Picker {
	p := picker{}
	out := zonesOut(c)
	ups := slices.Clone(c.Upstreams)
	slices.SortFunc(ups, func(a, b bvconfig.Upstream) int { return cmp.Compare(a.Zone, b.Zone) })
	for _, u := range ups {
		if u.Leaving || out[u.Zone] {
			continue
		}
		s := p[u.Service]
		if s == nil {
			s = &servicePicks{}
			p[u.Service] = s
		}
		s.add(u)
	}
	for _, s := range p {
		s.finish()
	}
	return p
}

// zonesOut returns the zones of c that are out of service.
func zonesOut(c bvconfig.Config) map[string]bool {
	out := map[string]bool{}
	for _, z := range c.Zones {
		if z.OutOfService {
			out[z.Name] = true
		}
	}
	return out
}

type picker map[string]*servicePicks

// servicePicks has the candidates of one service, zone by zone.
type servicePicks struct {
	names     []string
	weights   []uint64
	zones     []bvpick.Candidate
	upstreams [][]bvpick.Candidate
	ids       [][]bvconfig.UpstreamID
}

// add appends an upstream; upstreams come ordered by zone.
func (s *servicePicks) add(u bvconfig.Upstream) {
	last := len(s.names) - 1
	if last < 0 || s.names[last] != u.Zone {
		s.names = append(s.names, u.Zone)
		s.weights = append(s.weights, 0)
		s.upstreams = append(s.upstreams, nil)
		s.ids = append(s.ids, nil)
		last++
	}
	s.weights[last] += uint64(u.Weight)
	s.upstreams[last] = append(s.upstreams[last], bvpick.Upstream(u.ID(), u.Weight))
	s.ids[last] = append(s.ids[last], u.ID())
}

// finish sets the zones' weights, which are the sums of their upstreams'.
func (s *servicePicks) finish() {
	for i, n := range s.names {
		s.zones = append(s.zones, bvpick.Zone(n, s.weights[i]))
	}
}

// Pick implements [Picker].
func (p picker) Pick(service string, k bvflow.Key) (bvconfig.UpstreamID, bool) {
	s := p[service]
	if s == nil {
		return 0, false
	}
	z := bvpick.Best(k, s.zones)
	if z < 0 {
		return 0, false
	}
	u := bvpick.Best(k, s.upstreams[z])
	if u < 0 {
		return 0, false
	}
	return s.ids[z][u], true
}
