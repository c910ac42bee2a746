package bvtoken

import "math"

const (
	// riseWeight and fallWeight are the weights of a measurement above and
	// below the mean. The mean rises quickly in a flood and falls slowly: while
	// it is too low, live upstreams count as crashed.
	riseWeight = 0.125
	fallWeight = 0.03
	// maxRunGrowth bounds by how much one measurement may exceed the mean. An
	// upstream that recovers from a crash has a long run that it caused itself.
	maxRunGrowth = 3.0
	// A run of crashRunFactor times the mean shows that the upstream is at
	// fault. A healthy upstream has a run that long with a probability of about 1
	// in 10,000, since the mean is biased upward.
	crashRunFactor = 7.0
)

// incompleteRuns measures, at upstreams that serve, how many consecutive
// openings get no further packet from their caller. Usually almost none do.
// Floods with forged addresses and port scans send many openings that are never
// completed. Then a longer run is needed to show that an upstream has crashed.
// Upstreams that never answer do not contribute to the mean.
type incompleteRuns struct{ mean float64 }

// record records an opening that was completed after run consecutive openings
// at the same upstream that were not.
func (u *incompleteRuns) record(run int) {
	n := min(float64(run), maxRunGrowth*(u.mean+1))
	w := fallWeight
	if n > u.mean {
		w = riseWeight
	}
	u.mean += w * (n - u.mean)
}

// threshold returns how many consecutive openings without a further packet show
// a fault: base, or more while many openings are not completed.
func (u *incompleteRuns) threshold(base int) int {
	return max(base, int(math.Ceil(crashRunFactor*u.mean)))
}
