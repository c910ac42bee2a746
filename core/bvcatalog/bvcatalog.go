// Package bvcatalog holds a balancer's copy of the routes, zones and upstreams that
// a platform publishes as single entries, and the age of that copy.
//
// A platform lists its entries and reports their changes. Both come with a
// revision. The operators' configuration only ever moves to a higher version.
// Entries of upstreams are added and removed one by one. An entry that is missing
// after the platform was unreachable may only have expired meanwhile. So its
// upstream stays in use for the grace period, in which a live upstream registers
// again.
//
// A platform that was restored from a copy has lost its last changes, until they
// are written again. Its first listing may be older than the catalog, and only the
// versions of the configuration and the order in which an upstream writes its
// entry tell which one is newer. What the listing lacks stays for the grace period.
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
	"math"
	"net/netip"
	"time"

	"balsamvane/core/bvconfig"
)

// Route maps an address to the services that may take its flows.
type Route struct {
	Name     string
	Address  netip.AddrPort
	Backends []Backend
	// Idempotent is true if a request of the route may run more than once.
	Idempotent bool
	RequestPolicy
}

// LowestPriority is the priority of requests for which none is configured.
const LowestPriority = math.MaxUint8

// RequestPolicy describes what callers expect of the requests of a route. A route without
// these fields, or one received from a balancer of an earlier version, has no objective,
// no timeout and the lowest priority.
type RequestPolicy struct {
	// Objective is the latency within which an answer is most useful, counted from
	// the caller's first attempt; 0 if there is none.
	Objective time.Duration
	// Timeout is the time after which a caller abandons a request; 0 if it is
	// unknown.
	Timeout time.Duration
	// Priority orders requests that compete for the same upstreams; 0 is the highest.
	Priority uint8
}

// maxObjective limits the objective and the timeout. Values above it are taken for
// mistakes.
const maxObjective = time.Hour

// NewRequestPolicy returns the request policy of a route. A value that is out of range
// counts as absent.
func NewRequestPolicy(objective, timeout time.Duration, priority int) RequestPolicy {
	r := RequestPolicy{Priority: LowestPriority}
	if objective > 0 && objective <= maxObjective {
		r.Objective = objective
	}
	if timeout > 0 && timeout <= maxObjective {
		r.Timeout = timeout
	}
	if priority >= 0 && priority < LowestPriority {
		r.Priority = uint8(priority)
	}
	return r
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

// Upstream is a VM that serves one service, as described by its entry.
type Upstream struct {
	ID       bvconfig.UpstreamID
	Address  netip.AddrPort
	Service  string
	Zone     string
	Slots    uint32
	Draining bool
	// ColdFor is how much longer the upstream stays cold, counted from when it wrote
	// the entry.
	ColdFor time.Duration
	// StartedAt and Sequence order the entries that are written under one ID: by the
	// start of the upstream's process, then by its number of the write. StartedAt is
	// the zero value if it is unknown.
	StartedAt time.Time
	Sequence  uint64
}

// writtenAfter reports whether the entry u was written after o, or may have been,
// since the start of one of the two is unknown.
func (u *Upstream) writtenAfter(o *Upstream) bool {
	if u.StartedAt.IsZero() || o.StartedAt.IsZero() {
		return true
	}
	return cmp.Or(u.StartedAt.Compare(o.StartedAt), cmp.Compare(u.Sequence, o.Sequence)) > 0
}

// Options configure a Catalog; zero values select the defaults.
type Options struct {
	// OutageAfter is the time without an answer of the platform after which
	// entries may have expired although their upstreams are alive. It is shorter
	// than the two heartbeats after which an entry can expire. 2 s.
	OutageAfter time.Duration
	// GracePeriod is how long after an outage a missing entry stays in use. It
	// covers the time in which live upstreams register again, about 2 s. 2.5 s.
	GracePeriod time.Duration
	// RetainRemoved is how long a removed upstream is kept, so that packets of its
	// flows are recognized. 60 s.
	RetainRemoved time.Duration

	noGracePeriod bool // Tests: remove a missing entry at once.
	acceptOlder   bool // Tests: accept any version of the configuration.
}

func (o Options) withDefaults() Options {
	o.OutageAfter = cmp.Or(o.OutageAfter, 2*time.Second)
	o.GracePeriod = cmp.Or(o.GracePeriod, 2500*time.Millisecond)
	o.RetainRemoved = cmp.Or(o.RetainRemoved, time.Minute)
	return o
}
