package bvtoken

import (
	"net/netip"
	"slices"
	"time"
)

// extraSeeds is how many balancers beyond the seeds in the settings may place
// flows on cold upstreams for a while: one seed that was replaced and has not
// read its new settings yet.
const extraSeeds = 1

// ColdBalancers returns the number of balancers that share the budget of a cold
// upstream, or 0 if the balancer self places no flows there.
//
// Only seeds place flows on cold upstreams. No balancer knows the size of the
// fleet, but the seeds are few and every balancer's settings list them. So the sum
// of their shares stays within the budget for any fleet size, even if some
// balancers are partitioned, and each share is large enough to place flows.
func ColdBalancers(self netip.AddrPort, seeds []netip.AddrPort) int {
	if !slices.Contains(seeds, self) {
		return 0
	}
	return len(seeds) + extraSeeds
}

// SetColdBalancers updates [Options.ColdBalancers].
func (r *Router) SetColdBalancers(n int) {
	if n == r.options.ColdBalancers {
		return
	}
	r.options.ColdBalancers = n
	r.built = false // The shares of all upstreams change.
	for _, t := range r.targets {
		if t.state == stateColdLimited {
			t.suspendedUntil = time.Time{}
		}
	}
}

// coldRate returns the new flows per second that a cold upstream can take, or 0
// if this balancer places none there.
func (r *Router) coldRate(declared float64) float64 {
	if r.options.ColdBalancers == 0 {
		return 0
	}
	return declared*r.options.ColdFactor + r.options.ColdSlack
}
