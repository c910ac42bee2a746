package bvconfig

import (
	"net/netip"

	"balsamvane/core/bvflow"
)

type endpoint struct {
	address  netip.AddrPort
	protocol bvflow.Protocol
}

// Index looks up the objects of one configuration. It is read-only after
// [NewIndex] and its lookups do not allocate.
type Index struct {
	config    Config
	endpoints map[endpoint]int
	services  map[string]int
	zones     map[string]int
	upstreams map[UpstreamID]int
	balancers map[NodeID]int
}

// NewIndex returns the index of a valid configuration.
func NewIndex(c Config) *Index {
	x := &Index{
		config: c, endpoints: map[endpoint]int{}, services: make(map[string]int, len(c.Services)), zones: map[string]int{},
		upstreams: make(map[UpstreamID]int, len(c.Upstreams)), balancers: make(map[NodeID]int, len(c.Balancers)),
	}
	for i, z := range c.Zones {
		x.zones[z.Name] = i
	}
	for i, s := range c.Services {
		x.services[s.Name] = i
		for _, a := range s.Addresses {
			x.endpoints[endpoint{unmap(a), s.Protocol}] = i
		}
	}
	for i, u := range c.Upstreams {
		x.upstreams[u.ID()] = i
	}
	for i, b := range c.Balancers {
		x.balancers[b.ID()] = i
	}
	return x
}

// Config returns the indexed configuration.
func (x *Index) Config() Config { return x.config }

func lookup[K comparable, V any](m map[K]int, k K, s []V) (v V, ok bool) {
	i, ok := m[k]
	if !ok {
		return v, false
	}
	return s[i], true
}

// ServiceAt returns the service that has the address.
func (x *Index) ServiceAt(a netip.AddrPort, p bvflow.Protocol) (Service, bool) {
	return lookup(x.endpoints, endpoint{unmap(a), p}, x.config.Services)
}

// Service returns the service with the name.
func (x *Index) Service(name string) (Service, bool) {
	return lookup(x.services, name, x.config.Services)
}

// Zone returns the zone with the name.
func (x *Index) Zone(name string) (Zone, bool) { return lookup(x.zones, name, x.config.Zones) }

// Upstream returns the upstream with the ID.
func (x *Index) Upstream(id UpstreamID) (Upstream, bool) {
	return lookup(x.upstreams, id, x.config.Upstreams)
}

// Balancer returns the balancer with the ID.
func (x *Index) Balancer(id NodeID) (Balancer, bool) {
	return lookup(x.balancers, id, x.config.Balancers)
}
