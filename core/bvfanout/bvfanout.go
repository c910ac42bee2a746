// Package bvfanout decides which balancers may follow a balancer, and where it
// sends the others.
//
// Balancers follow the platform's state along a tree: the seeds read the
// store, some balancers follow a seed, and the others follow these. Nobody
// plans the tree and there is no list of balancers. Each balancer takes a
// bounded number of followers, and names some of them to a balancer that comes
// when it has enough. So the cost of the busiest balancer does not grow with
// the fleet, and the depth grows with its logarithm.
//
// Of each other zone a balancer takes only a few followers, which the rest of
// their zone follows: the bytes between zones do not grow with the balancers
// of a zone either, and a zone that is cut off has its followers in one tree.
//
// A follower keeps its place as long as it asks again within the lease. A tree
// whose root has lost the store, or two balancers that came to follow each
// other, end by the age of the state, which package bvsource bounds.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	f := bvfanout.New(bvfanout.Options{Zone: "zone-a"})
//	if others := f.Ask(now, follower); len(others) > 0 {
//		return redirect(others)
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
	// Address is where others can follow it; the zero value if they can't.
	Address netip.AddrPort
	Zone    string
}

// Options are the constants of the rules; zero values select the defaults.
type Options struct {
	// Zone is the balancer's own zone.
	Zone string
	// MaxSameZone, OtherZone and OtherZones bound the followers of the own zone,
	// of each other zone, and of all other zones together. 8, 2 and 8: with 16
	// followers a balancer keeps to the budget of bytes for control, and 2 is
	// the least that outlives the loss of one.
	MaxSameZone     int
	MaxPerOtherZone int
	MaxOtherZones   int
	// Lease is how long a follower keeps its place without asking. It covers
	// two waits of a watch. 4 s.
	Lease time.Duration
}

func (o Options) withDefaults() Options {
	o.MaxSameZone = cmp.Or(o.MaxSameZone, 8)
	o.MaxPerOtherZone = cmp.Or(o.MaxPerOtherZone, 2)
	o.MaxOtherZones = cmp.Or(o.MaxOtherZones, 8)
	o.Lease = cmp.Or(o.Lease, 4*time.Second)
	return o
}

// maxOthers bounds the balancers that are named to one that has to follow
// another.
const maxOthers = 2

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
// Otherwise it returns followers that x may follow instead, the first one
// preferred: those in x's zone if there are any. A balancer that cannot be followed itself is always
// taken, and takes nobody's place.
func (f *Fanout) Admit(now time.Time, x Follower) []netip.AddrPort {
	if !x.Address.IsValid() {
		return nil
	}
	f.expire(now)
	if _, ok := f.followers[x.Address]; !ok && !f.hasRoom(x.Zone) {
		others := f.followersIn(func(zone string) bool { return zone == x.Zone })
		if len(others) == 0 {
			others = f.followersIn(func(string) bool { return true })
		}
		return nearest(x.Address, others)
	}
	f.followers[x.Address] = lease{zone: x.Zone, until: now.Add(f.options.Lease)}
	return nil
}

// Len returns the number of followers.
func (f *Fanout) Len(now time.Time) int {
	f.expire(now)
	return len(f.followers)
}

// hasRoom reports whether one more balancer of the zone may follow.
func (f *Fanout) hasRoom(zone string) bool {
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

// followersIn returns the followers in some zones.
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

// nearest returns the first addresses by rendezvous hashing, so that balancers
// spread over them.
func nearest(x netip.AddrPort, others []netip.AddrPort) []netip.AddrPort {
	key := bvflow.NewHasher(0).Key(bvflow.Tuple{Source: x})
	cs := make([]bvpick.Candidate, len(others))
	for i, a := range others {
		cs[i] = bvpick.Balancer(bvconfig.NodeIDOf(a.String()))
	}
	order := make([]int, min(len(others), maxOthers))
	out := make([]netip.AddrPort, 0, maxOthers)
	for _, i := range order[:bvpick.Rank(key, cs, order)] {
		out = append(out, others[i])
	}
	return out
}
