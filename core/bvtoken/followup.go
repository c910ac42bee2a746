package bvtoken

import "math"

const (
	// riseWeight and fallWeight are the weights of a measurement above and
	// below the mean. The mean follows a flood at once and forgets it slowly: too
	// low a mean takes live upstreams for crashed.
	riseWeight = 0.125
	fallWeight = 0.03
	// followUpGrowth bounds by how much one measurement may exceed the mean: an
	// upstream that is back after a crash had a long run of its own making.
	followUpGrowth = 3.0
	// crashRuns times the mean run in a row show that an upstream is at fault. A
	// run of one that serves is as long with a chance of about 1 in 10,000, since
	// the mean is held high.
	crashRuns = 7.0
)

// followUps measures how many openings in a row stay without a next packet of
// their caller at upstreams that serve. There are nearly none, unless
// many openings are sent that nobody means to follow up: by a flood with forged
// addresses, or a scan of ports. Then many more in a row are needed to tell that
// an upstream has crashed. Upstreams that never answer add nothing to the mean.
type followUps struct{ run float64 }

// answered takes note that an opening was followed up, after a run of openings
// at the same upstream that were not.
func (u *followUps) answered(run int) {
	n := min(float64(run), followUpGrowth*(u.run+1))
	w := fallWeight
	if n > u.run {
		w = riseWeight
	}
	u.run += w * (n - u.run)
}

// least returns the number of openings in a row without a next packet that
// show a fault: usual, or more while many are not followed up.
func (u *followUps) least(usual int) int {
	return max(usual, int(math.Ceil(crashRuns*u.run)))
}
