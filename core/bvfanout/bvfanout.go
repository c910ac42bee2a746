// Package bvfanout decides which balancers may follow a balancer, and where it
// redirects the others.
//
// Balancers follow the platform's state along a tree: the seeds read the
// store, some balancers follow a seed, and the others follow these. The tree
// has no central plan and there is no list of balancers. Each balancer accepts
// a bounded number of followers. When it is full, it redirects further
// balancers to some of its followers. So the load of the busiest balancer does
// not grow with the fleet, and the depth grows with the logarithm of the fleet.
//
// A balancer accepts only a few followers from each other zone, and the rest of
// that zone follows them. So the traffic between zones does not grow with the
// balancers of a zone, and the followers in a partitioned zone are in one tree.
//
// A follower keeps its place as long as it asks again within the lease. A tree
// whose root can't reach the store any more, and two balancers that follow each
// other, are ended by the bound on the age of the state in package bvsource.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	f := bvfanout.New(bvfanout.Options{Zone: "zone-a"})
//	if redirects := f.Admit(now, follower); len(redirects) > 0 {
//		return redirect(redirects)
//	}
package bvfanout

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvpick"
)

// Follower is a balancer that asks to follow.
type Follower struct {
	// Address is where others can follow it; the zero value if they cannot.
	Address netip.AddrPort
	Zone    string
}

// Options configure a Fanout; zero values select the defaults.
type Options struct {
	// Zone is the balancer's own zone.
	Zone string
	// MaxSameZone, MaxPerOtherZone and MaxOtherZones bound the followers in the
	// own zone, in each other zone, and in all other zones together. 8, 2 and 8:
	// with 16 followers a balancer stays within its byte budget for control,
	// and 2 is the least number that survives the failure of one follower.
	MaxSameZone     int
	MaxPerOtherZone int
	MaxOtherZones   int
	// Lease is how long a follower keeps its place without asking. It covers
	// two waits of a watch, the call in which a follower waits for changes. 4 s.
	Lease time.Duration
}

func (o Options) withDefaults() Options {
	o.MaxSameZone = cmp.Or(o.MaxSameZone, 8)
	o.MaxPerOtherZone = cmp.Or(o.MaxPerOtherZone, 2)
	o.MaxOtherZones = cmp.Or(o.MaxOtherZones, 8)
	o.Lease = cmp.Or(o.Lease, 4*time.Second)
	return o
}

// maxRedirects bounds the addresses that a redirected balancer receives.
const maxRedirects = 2

// Fanout holds the followers of one balancer. It is not safe for concurrent
// use.
type Fanout struct {
	options   Options
	followers map[netip.AddrPort]lease
}

type lease struct {
	zone  string
	until time.Time
}

// New returns a Fanout without followers.
func New(o Options) *Fanout {
	return &Fanout{options: o.withDefaults(), followers: map[netip.AddrPort]lease{}}
}

// Admit returns no address if x may follow this balancer, and renews its lease.
// Otherwise it returns followers that x may follow instead, in order of
// preference: those in x's zone if there are any. A balancer that cannot be
// followed itself is always accepted and does not count as a follower.
func (f *Fanout) Admit(now time.Time, x Follower) []netip.AddrPort {
	if !x.Address.IsValid() {
		return nil
	}
	f.expire(now)
	if _, ok := f.followers[x.Address]; !ok && !f.hasCapacity(x.Zone) {
		redirects := f.followersIn(func(zone string) bool { return zone == x.Zone })
		if len(redirects) == 0 {
			redirects = f.followersIn(func(string) bool { return true })
		}
		return rankByHash(x.Address, redirects)
	}
	f.followers[x.Address] = lease{zone: x.Zone, until: now.Add(f.options.Lease)}
	return nil
}

// Len returns the number of followers.
func (f *Fanout) Len(now time.Time) int {
	f.expire(now)
	return len(f.followers)
}

// hasCapacity reports whether one more balancer of the zone may follow.
func (f *Fanout) hasCapacity(zone string) bool {
	same, others := 0, 0
	for _, l := range f.followers {
		switch {
		case l.zone == zone:
			same++
		case l.zone != f.options.Zone:
			others++
		}
	}
	if zone == f.options.Zone {
		return same < f.options.MaxSameZone
	}
	return same < f.options.MaxPerOtherZone && same+others < f.options.MaxOtherZones
}

func (f *Fanout) expire(now time.Time) {
	for a, l := range f.followers {
		if !now.Before(l.until) {
			delete(f.followers, a)
		}
	}
}

// followersIn returns the followers in the zones for which zones returns true.
func (f *Fanout) followersIn(zones func(zone string) bool) []netip.AddrPort {
	var out []netip.AddrPort
	for a, l := range f.followers {
		if zones(l.zone) {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}

// rankByHash returns up to maxRedirects of the addresses, ranked by rendezvous
// hashing so that balancers spread over them.
func rankByHash(x netip.AddrPort, others []netip.AddrPort) []netip.AddrPort {
	key := bvflow.NewHasher(0).Key(bvflow.Tuple{Source: x})
	cs := make([]bvpick.Candidate, len(others))
	for i, a := range others {
		cs[i] = bvpick.Balancer(bvconfig.NodeIDOf(a.String()))
	}
	order := make([]int, min(len(others), maxRedirects))
	out := make([]netip.AddrPort, 0, maxRedirects)
	for _, i := range order[:bvpick.Rank(key, cs, order)] {
		out = append(out, others[i])
	}
	return out
}
