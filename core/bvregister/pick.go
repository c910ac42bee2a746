package bvregister

import (
	"cmp"
	"slices"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvpick"
)

// Picker returns the default upstream of a new flow: the one it is placed on
// when no upstream is over a limit, cold or ejected.
type Picker interface {
	// Pick returns the default of a flow of the service; ok is false if no
	// upstream accepts new flows.
	Pick(service string, k bvflow.Key) (u bvconfig.UpstreamID, ok bool)
}

// NewPicker returns a Picker that selects first a zone and then an upstream by
// rendezvous hashing, among the upstreams of c that accept new flows.
func NewPicker(c bvconfig.Config) Picker {
	p := picker{}
	out := zonesOutOfService(c)
	ups := slices.Clone(c.Upstreams)
	slices.SortFunc(ups, func(a, b bvconfig.Upstream) int { return cmp.Compare(a.Zone, b.Zone) })
	for _, u := range ups {
		if u.Leaving || out[u.Zone] {
			continue
		}
		s := p[u.Service]
		if s == nil {
			s = &serviceCandidates{}
			p[u.Service] = s
		}
		s.add(u)
	}
	for _, s := range p {
		s.setZones()
	}
	return p
}

// zonesOutOfService returns the zones of c that are out of service.
func zonesOutOfService(c bvconfig.Config) map[string]bool {
	out := map[string]bool{}
	for _, z := range c.Zones {
		if z.OutOfService {
			out[z.Name] = true
		}
	}
	return out
}

type picker map[string]*serviceCandidates

// serviceCandidates holds the candidates of one service by zone.
type serviceCandidates struct {
	zoneNames   []string
	zoneWeights []uint64
	zones       []bvpick.Candidate
	upstreams   [][]bvpick.Candidate
	ids         [][]bvconfig.UpstreamID
}

// add appends an upstream. Upstreams must be added in the order of zones.
func (s *serviceCandidates) add(u bvconfig.Upstream) {
	last := len(s.zoneNames) - 1
	if last < 0 || s.zoneNames[last] != u.Zone {
		s.zoneNames = append(s.zoneNames, u.Zone)
		s.zoneWeights = append(s.zoneWeights, 0)
		s.upstreams = append(s.upstreams, nil)
		s.ids = append(s.ids, nil)
		last++
	}
	s.zoneWeights[last] += uint64(u.Weight)
	s.upstreams[last] = append(s.upstreams[last], bvpick.Upstream(u.ID(), u.Weight))
	s.ids[last] = append(s.ids[last], u.ID())
}

// setZones sets the zones' weights, which are the sums of their upstreams'.
func (s *serviceCandidates) setZones() {
	for i, n := range s.zoneNames {
		s.zones = append(s.zones, bvpick.Zone(n, s.zoneWeights[i]))
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
