package bvlimit

import (
	"slices"

	"balsamvane/core/bvconfig"
)

// Copy returns an independent limiter with the same state, on which a decision can
// be tried.
func (l *Limiter) Copy() *Limiter {
	c := *l
	c.upstreams = make(map[bvconfig.UpstreamID]*upstream, len(l.upstreams))
	c.services = make(map[string]*service, len(l.services))
	copies := make(map[*upstream]*upstream, len(l.upstreams))
	for id, x := range l.upstreams {
		c.upstreams[id] = x.copy()
		copies[x] = c.upstreams[id]
	}
	for name, s := range l.services {
		c.services[name] = &service{all: translate(s.all, copies), available: translate(s.available, copies)}
		for _, x := range c.services[name].all {
			x.service = c.services[name]
		}
	}
	return &c
}

// copy returns an upstream with the same state, in the same service.
func (x *upstream) copy() *upstream {
	c := *x
	c.placedAt = slices.Clone(x.placedAt)
	return &c
}

// translate replaces each upstream by its copy.
func translate(us []*upstream, copies map[*upstream]*upstream) []*upstream {
	out := make([]*upstream, len(us))
	for i, x := range us {
		out[i] = copies[x]
	}
	return out
}
