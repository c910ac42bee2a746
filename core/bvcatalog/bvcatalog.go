// Package bvcatalog holds what a balancer knows of a platform that publishes
// its routes, zones and upstreams as single entries, and how old that is.
//
// A platform lists its entries and reports their changes. Both come with a
// revision. The configuration of the operators only ever moves to a higher
// version. Entries of upstreams come and go one by one; an entry that is
// missing after the platform was unreachable may only have expired meanwhile,
// so its upstream stays in use for the settle time, in which a live upstream
// registers again.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	c := bvcatalog.New(bvcatalog.Options{})
//	c.Replace(now, 0, listing.Revision, listing.Changes)
//	c.Apply(now, 0, update.Revision, update.Changes)
//	if r, ok := c.Route(destination); ok {
//		s := c.Service(r.Backends[0].Service)
//	}
package bvcatalog

import (
	"cmp"
	"net/netip"
	"time"

	"balsamvane/core/bvconfig"
)

// Revision orders the states of the platform's store.
type Revision int64

// Route tells which services may take the flows to an address.
type Route struct {
	Name     string
	Address  netip.AddrPort
	Backends []Backend
	// Idempotent requests may run more than once.
	Idempotent bool
}

// Backend is one service of a route. New flows are split by weight.
type Backend struct {
	Service string
	Weight  uint32
}

// ServiceLimits bound the load on the upstreams of a service.
type ServiceLimits struct {
	Name string
	// ColdFlowsPerSecond bounds the new flows of one cold upstream, summed
	// over all balancers.
	ColdFlowsPerSecond float64
	// ColdFor is how long an upstream is cold after its start.
	ColdFor time.Duration
	// Connections bounds the open flows of one upstream; 0 sets no bound.
	Connections uint32
}

// Upstream is a VM that serves one service, as its entry describes it.
type Upstream struct {
	ID       bvconfig.UpstreamID
	Address  netip.AddrPort
	Service  string
	Zone     string
	Slots    uint32
	Draining bool
	// ColdFor is how much longer the upstream was cold when it wrote the entry.
	ColdFor time.Duration
}

// Options are the constants of the rules; zero values select the defaults.
type Options struct {
	// OutageAfter is the time without an answer of the platform after which
	// entries may have expired although their upstreams live. It is shorter
	// than the two heartbeats after which an entry can expire. 2 s.
	OutageAfter time.Duration
	// GracePeriod is how long after an outage a missing entry still counts. It
	// covers the time in which live upstreams register again, about 2 s. 2.5 s.
	GracePeriod time.Duration
	// KeepRemoved is how long an upstream that is gone is kept, so that packets
	// of its flows are recognized. 60 s.
	KeepRemoved time.Duration

	noSettle bool // Tests: a missing entry is gone at once.
	lastWins bool // Tests: accept any version of the configuration.
}

func (o Options) withDefaults() Options {
	o.OutageAfter = cmp.Or(o.OutageAfter, 2*time.Second)
	o.GracePeriod = cmp.Or(o.GracePeriod, 2500*time.Millisecond)
	o.KeepRemoved = cmp.Or(o.KeepRemoved, time.Minute)
	return o
}
