package bvtoken

import (
	"net/netip"
	"slices"
	"time"
)

// seedsInExchange is the number of seeds more than the settings list that may
// place flows on cold upstreams for some time: one that was replaced and has not
// read its new settings yet.
const seedsInExchange = 1

// ColdBalancers returns the number of balancers that share the budget of a cold
// upstream, or 0 if the balancer self places no flows there.
//
// Only seeds do. Nobody knows how many balancers there are, but the seeds are
// few and listed in the settings of all. So the sum of their shares keeps to the
// budget whatever the size of the fleet, also of balancers that are cut off, and
// each share is large enough for flows.
func ColdBalancers(self netip.AddrPort, seeds []netip.AddrPort) int {
	if !slices.Contains(seeds, self) {
		return 0
	}
	return len(seeds) + seedsInExchange
}

// SetColdBalancers replaces the option of that name.
func (r *Router) SetColdBalancers(n int) {
	if n == r.options.ColdBalancers {
		return
	}
	r.options.ColdBalancers = n
	r.built = false // The shares of all upstreams change.
	for _, t := range r.targets {
		if t.standing == standingCold {
			t.until = time.Time{}
		}
	}
}

// coldRate returns the flows per second that a cold upstream bears, or 0 if
// this balancer places none there.
func (r *Router) coldRate(declared float64) float64 {
	if r.options.ColdBalancers == 0 {
		return 0
	}
	return declared*r.options.ColdFactor + r.options.ColdSlack
}
