package bvadmit

import (
	"math"
	"time"
)

const (
	// minGain and maxGain bound how far latency moves the limit from the rate of
	// answers times the target. Answers show the latency of requests that were
	// admitted earlier, so that a smaller minGain lets capacity idle after a queue
	// has drained.
	minGain = 0.9
	maxGain = 8
	// slackBelow is how far latency must be below the target, as a fraction of
	// it, for the limit to allow chance variations of the load.
	slackBelow = 0.08
	// deviations is the number of standard deviations that the limit leaves for chance
	// variations. With two, a balancer with a small share of the requests has too many of
	// high priority that are not answered in time.
	deviations = 3
)

// updateLimit applies Little's law, corrected by the expected latency.
func (e *estimate) updateLimit(o *Options, expected, target float64) {
	rate := e.raised.rateOf(e.rate, e.longLatency, target)
	target = max(target, e.raised.target)
	gain := float64(maxGain)
	if expected > 0 {
		gain = min(max(target/expected, minGain), maxGain)
	}
	limit := rate * target * e.objective * gain
	slack := min(max((1-expected/target)/slackBelow, 0), 1)
	e.limit = max(limit+slack*deviations*math.Sqrt(limit), o.MinLimit)
	e.lowestPriority = 0
	for p, n := range e.priorities {
		if n > 0.5 {
			e.lowestPriority = p
		}
	}
}

// limitOf returns the limit of a priority. Above the lowest priority in use,
// arrivals that fit on average may exceed the limit for a moment; lower
// priorities make room.
func (e *estimate) limitOf(p int) float64 {
	if p >= e.lowestPriority {
		return e.limit
	}
	return e.limit + deviations*math.Sqrt(e.limit)
}

// newLimitOf returns the limit of a priority for callers that do not return. The
// rest is not held back while nobody returns.
func (e *estimate) newLimitOf(p int, o *Options) float64 {
	if e.returning < 0.5 {
		return e.limitOf(p)
	}
	return max(e.limitOf(p)*o.NewFraction, 1)
}

// goldenRatio spreads its multiples evenly between 0 and 1 (modulo 1).
const goldenRatio = 0.6180339887498949

// round rounds a limit up or down, so that its mean over the windows is exact. A
// small share of a service has a limit of a few requests.
func round(at time.Duration, limit float64) int {
	whole, fraction := math.Modf(limit)
	_, phase := math.Modf(float64(at/window) * goldenRatio)
	if phase < fraction {
		whole++
	}
	return int(whole)
}
