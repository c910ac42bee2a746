package bvtoken

import (
	"maps"
	"net/netip"
	"slices"

	"balsamvane/core/bvadmit"
	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
)

// copy returns a router with the same state, on which the decision on one opening can
// be tried. It shares the catalog and nothing else that a router changes, and lacks the
// open flows, on which that decision does not depend.
func (r *Router) copy() *Router {
	c := *r
	c.limiter = r.limiter.Copy()
	c.pending, c.hedging = r.pending.copy(), r.hedging.copy()
	c.unsent = slices.Clone(r.unsent)
	c.seen = seenFlows{}
	c.removed = make(removedUpstreams, len(r.removed))
	for id, run := range r.removed {
		copied := *run
		c.removed[id] = &copied
	}
	c.zones = make(map[string]*zoneHealth, len(r.zones))
	cp := copier{
		targets: make(map[*target]*target, len(r.targets)), zones: make(map[*zoneHealth]*zoneHealth, len(r.zones)),
		latencies: map[*zoneLatency]*zoneLatency{}, routes: make(map[*routeResponses]*routeResponses, len(r.routes)),
		controllers: map[*bvadmit.Controller]*bvadmit.Controller{},
	}
	c.routes = make(map[netip.AddrPort]*routeResponses, len(r.routes))
	for a, s := range r.routes {
		c.routes[a] = cp.route(s)
	}
	c.noRoute = cp.route(r.noRoute)
	for name, z := range r.zones {
		copied := *z
		c.zones[name], cp.zones[z] = &copied, &copied
	}
	c.targets = make(map[bvconfig.UpstreamID]*target, len(r.targets))
	c.services = make(map[string]*serviceTargets, len(r.services))
	for name, s := range r.services {
		c.services[name] = cp.copyService(s)
	}
	for id, t := range r.targets {
		c.targets[id] = cp.targets[t]
	}
	c.requests, c.responses = cp.copyRequests(&r.requests), cp.copyResponses(&r.responses)
	return &c
}

// copier maps what the parts of a router share to the copies of it.
type copier struct {
	targets     map[*target]*target
	zones       map[*zoneHealth]*zoneHealth
	latencies   map[*zoneLatency]*zoneLatency
	routes      map[*routeResponses]*routeResponses
	controllers map[*bvadmit.Controller]*bvadmit.Controller
}

// copyOf returns the copy of x, which it makes at the first call; nil if x is nil.
func copyOf[T any](copies map[*T]*T, x *T) *T {
	if x == nil {
		return nil
	}
	c := copies[x]
	if c == nil {
		c = new(T)
		*c = *x
		copies[x] = c
	}
	return c
}

func (c copier) route(s *routeResponses) *routeResponses { return copyOf(c.routes, s) }

// copyRequest returns a request that refers to the cp.
func (c copier) copyRequest(q request) request {
	q.route = c.route(q.route)
	q.inFlight.controller = copyOf(c.controllers, q.inFlight.controller)
	return q
}

func (c copier) copyRequests(rs *requests) requests {
	out := requests{open: make(map[bvflow.Key]request, len(rs.open)), queue: rs.queue.copy()}
	for k, q := range rs.open {
		out.open[k] = c.copyRequest(q)
	}
	return out
}

func (c copier) copyResponses(rs *responses) responses {
	out := responses{open: make(map[bvflow.Key]*response, len(rs.open)), queue: rs.queue.copy()}
	for k, e := range rs.open {
		copied := *e
		copied.request = c.copyRequest(e.request)
		out.open[k] = &copied
	}
	return out
}

// copyService copies a service with its upstreams.
func (c copier) copyService(s *serviceTargets) *serviceTargets {
	out := *s
	out.controller = copyOf(c.controllers, s.controller)
	out.ownZone = copyOf(c.latencies, s.ownZone)
	out.zones = make(map[string]*zoneLatency, len(s.zones))
	for name, z := range s.zones {
		out.zones[name] = copyOf(c.latencies, z)
	}
	out.otherZones = make([]*zoneLatency, len(s.otherZones))
	for i, z := range s.otherZones {
		out.otherZones[i] = copyOf(c.latencies, z)
	}
	all := make([]target, len(s.all))
	for i, t := range s.all {
		copied := &all[i]
		*copied = *t
		copied.service, copied.zone = &out, c.zones[t.zone]
		copied.zoneLatency = copyOf(c.latencies, t.zoneLatency)
		c.targets[t] = copied
	}
	out.all = c.translate(s.all)
	p := s.pools
	out.pools.local, out.pools.remote = c.translate(p.local), c.translate(p.remote)
	out.pools.unresponsive, out.pools.coldLimited = c.translate(p.unresponsive), c.translate(p.coldLimited)
	return &out
}

// translate replaces each target by its copy.
func (c copier) translate(ts []*target) []*target {
	if ts == nil {
		return nil
	}
	out := make([]*target, len(ts))
	for i, t := range ts {
		out[i] = c.targets[t]
	}
	return out
}

func (h *hedging) copy() *hedging {
	if h == nil {
		return nil
	}
	c, budget := *h, *h.budget
	c.budget, c.unsent = &budget, slices.Clone(h.unsent)
	c.flows.slots, c.flows.tags = slices.Clone(h.flows.slots), slices.Clone(h.flows.tags)
	return &c
}

func (os *openings) copy() openings {
	c := *os
	c.known, c.unknown = os.known.copy(), os.unknown.copy()
	return c
}

func (p *pending) copy() pending {
	return pending{openings: maps.Clone(p.openings), uncounted: p.uncounted.copy(), expiring: p.expiring.copy()}
}

// copy returns a ring with the same keys and room for one more. The decision on an
// opening does not depend on what is evicted for it.
func (r *ring) copy() ring {
	c := newRing(r.size + 1)
	for i := range r.size {
		c.queue[i] = r.queue[(r.head+i)%len(r.queue)]
	}
	c.size = r.size
	return c
}
