package bvadmit

import "math"

const (
	// fallenFraction is the fraction of the largest rate of answers below which the rate has
	// fallen, and nearPeakFraction the fraction above which it is about as large. They leave
	// room for the chance variations of a small share of the requests.
	fallenFraction   = 0.7
	nearPeakFraction = 0.9
	// slowdownFactor is the factor by which latency must rise for the service to count as
	// slower, so that earlier rates show nothing.
	slowdownFactor = 1.25
	// Latency must exceed the target by latencyMargin times the difference between the rate,
	// as a fraction of the largest one, and clearFallFraction, since both vary by chance. A
	// rate below clearFallFraction is evidence without a margin. Otherwise the limit would
	// stay low at a latency just above the target.
	latencyMargin     = 0.375
	clearFallFraction = 0.2
	// fallRecovery is the number of seconds by which the time of a low rate shrinks in each
	// second in which the rate is not low. It does not start again from zero, so chance
	// variations do not hide a fall.
	fallRecovery = 2
	// queueFactor is the raised target as a multiple of the latency without queues. Some
	// requests must wait for others to keep all slots busy.
	queueFactor = 1.15
	// maxInTimeTarget limits the target, as a fraction of the objective, unless the latency
	// without queues is higher. Above it, most answers would be late if what looks like slow
	// upstreams are the queues of other balancers.
	maxInTimeTarget = 0.8
	// lateLatency is the latency, as a fraction of the objective, from which most answers are
	// late with any target, so that only the rate of answers counts.
	lateLatency = 0.95
	// raisedTargetSeconds is how long a raised target is kept until the latency without queues
	// is measured again. The limit must fall for that.
	raisedTargetSeconds = 20
	// maxTarget limits a raised target, as a fraction of the objective.
	maxTarget = 2
)

// peakDecaySeconds is the time constant over which the largest rate decays.
const peakDecaySeconds = 20

// peakDecay is the decay of the largest rate in one window.
var peakDecay = math.Exp(-window.Seconds() / peakDecaySeconds)

// raisedTarget replaces the target latency of services whose idle upstreams take longer
// than the target. With queues, a smaller limit lowers latency and not the rate of
// answers. Without queues it lowers the rate and not latency, and the limit would shrink
// to its minimum. Then the target is raised above that latency.
type raisedTarget struct {
	peakRate      float64 // Largest rate of answers, which decays over peakDecaySeconds.
	peakLatency   float64 // At about that rate, as a fraction of the objective.
	fallenSeconds float64 // Time for which the rate has been lower at the same latency.
	target        float64 // As a fraction of the objective; 0 if it is not raised.
	// ceiling limits the target until the shortage ends. Otherwise the queues of other
	// balancers, which look like a slower service, would raise it again and again.
	ceiling     float64
	secondsLeft float64 // Time until the target is dropped.
}

// update compares the rate of answers and their latency with earlier ones. least is the
// number of seconds for which the rate must have fallen.
func (r *raisedTarget) update(short bool, rate, latency, target, least float64) {
	r.peakRate *= peakDecay
	r.secondsLeft -= window.Seconds()
	if r.secondsLeft <= 0 {
		r.target = 0
	}
	if !short {
		r.ceiling = maxTarget
	}
	switch {
	case latency > r.peakLatency*slowdownFactor || rate >= r.peakRate:
		r.peakRate, r.peakLatency, r.fallenSeconds = rate, latency, 0
	case rate >= r.peakRate*nearPeakFraction:
		r.peakLatency, r.fallenSeconds = min(r.peakLatency, latency), 0
	case !r.fell(rate/r.peakRate, latency, target):
		r.fallenSeconds = max(r.fallenSeconds-fallRecovery*window.Seconds(), 0)
	default:
		r.fallenSeconds += window.Seconds()
		if r.fallenSeconds >= least {
			r.raise(latency)
		}
	}
}

// fell reports whether the rate has fallen clearly more than latency, which is above the
// target. fraction is the rate as a fraction of the largest one.
func (r *raisedTarget) fell(fraction, latency, target float64) bool {
	return fraction > 0 && fraction < fallenFraction*min(latency/r.peakLatency, 1) && latency > target*(1+latencyMargin*max(fraction-clearFallFraction, 0))
}

// raise raises the target above the latency without queues.
func (r *raisedTarget) raise(latency float64) {
	if r.target == 0 {
		r.secondsLeft = raisedTargetSeconds
	}
	r.target = min(latency*queueFactor, maxTarget)
	if latency < lateLatency {
		r.target = min(r.target, max(latency, maxInTimeTarget), r.ceiling)
		r.ceiling = r.target
	}
}

// rateOf returns the rate of answers from which the limit follows. A raised target is
// reached again from the largest rate, and not in small steps from what the small
// limit has left.
func (r *raisedTarget) rateOf(rate, latency, target float64) float64 {
	if r.target > 0 && latency > target {
		return max(rate, r.peakRate)
	}
	return rate
}
