package bvadmit

import (
	"math"
	"time"
)

const (
	// decayAnswers is the number of answers over which measurements are averaged,
	// in a time of minDecayTime to maxDecayTime seconds. A balancer with a large share
	// sees a change of the capacity sooner.
	decayAnswers = 30
	minDecayTime = 0.2
	maxDecayTime = 1.0
	// leaveBelow is the fraction of Options.ShortAbove below which a shortage
	// ends. Without the difference, noise would admit bursts without a limit.
	leaveBelow = 0.85
	// minTargetScale bounds how far rejections lower the target. A target below
	// the time of an idle upstream would shrink the limit to its minimum.
	minTargetScale = 0.75
	// targetFall and targetRise are the factors that change the scale of the target in each
	// window with and without too many rejections.
	targetFall = 0.997
	targetRise = 1.002
	// forgetAfter is the time without calls after which measurements are dropped.
	forgetAfter = 4 * time.Second
)

// maxLatency limits the latency of one answer in the mean, as a fraction of the
// objective, so that a few slow upstreams do not make a service short of capacity.
const maxLatency = 1.0

// sums are events, weighted by age.
type sums struct {
	seconds     float64 // Time in which the events happened.
	answered    float64
	rejected    float64
	latency     float64 // Latencies as fractions of objectives, each at most maxLatency.
	longLatency float64 // The same, each at most maxLongLatency.
	objective   float64 // 1/objective in 1/s of each answer.
}

func (s *sums) scale(f float64) {
	s.seconds *= f
	s.answered *= f
	s.rejected *= f
	s.latency *= f
	s.longLatency *= f
	s.objective *= f
}

// estimate is what recent requests show about the service.
type estimate struct {
	current        int64               // Index of the window in progress.
	sums           sums                // Including the window in progress.
	priorities     [Priorities]float64 // Decaying counts of openings.
	returning      float64             // The same of callers that return.
	measured       bool
	measuredAt     time.Duration
	short          bool
	targetScale    float64
	rate           float64 // Answers per second.
	latency        float64 // Mean latency as a fraction of the objective.
	longLatency    float64 // The same, with each latency at most maxLongLatency.
	usual          float64 // Mean of latency over usualTime, without times of shortage.
	usualWindows   float64 // Windows with answers, up to those of usualTime.
	objective      float64 // Harmonic mean in seconds.
	rejected       float64 // Fraction of rejected requests.
	limit          float64
	raised         raisedTarget
	lowestPriority int // Lowest priority that recent openings had.
}

func (e *estimate) reset() {
	*e = estimate{current: e.current, targetScale: 1, raised: raisedTarget{ceiling: maxTarget}}
}

func (e *estimate) offered(p int, returning bool) {
	e.priorities[p]++
	if returning {
		e.returning++
	}
}

// ended adds the end of a request. Requests that failed or were abandoned show no
// latency. They count only while they wait; see [waiting].
func (e *estimate) ended(at time.Duration, objective time.Duration, outcome Outcome, latency time.Duration) {
	switch outcome {
	case Answered:
		e.sums.answered++
		fraction := float64(latency) / float64(objective)
		e.sums.latency += min(fraction, maxLatency)
		e.sums.longLatency += min(fraction, maxLongLatency)
		e.sums.objective += 1 / objective.Seconds()
		e.measured, e.measuredAt = true, at
	case Rejected:
		e.sums.rejected++
	case Failed, Abandoned:
	}
}

// advance updates the estimates at the end of each window.
func (e *estimate) advance(at time.Duration, o *Options, w *waiting) {
	i := int64(at / window)
	if i <= e.current {
		return
	}
	if i-e.current > int64(forgetAfter/window) {
		e.current = i
		e.reset()
		return
	}
	for e.current < i {
		e.current++
		e.sums.seconds += window.Seconds()
		e.average()
		e.update(o, w)
		e.decay()
	}
}

// average computes the averages of the recent answers.
func (e *estimate) average() {
	s := &e.sums
	e.rate = s.answered / s.seconds
	if s.answered > 0 {
		e.objective = s.answered / s.objective
		e.latency = s.latency / s.answered
		e.longLatency = s.longLatency / s.answered
	}
	e.rejected = 0
	if n := s.answered + s.rejected; n > 0 {
		e.rejected = s.rejected / n
	}
}

// decayTime returns the seconds over which measurements are averaged.
func (e *estimate) decayTime() float64 {
	if e.rate == 0 {
		return maxDecayTime
	}
	return min(max(decayAnswers/e.rate, minDecayTime), maxDecayTime)
}

func (e *estimate) decay() {
	e.sums.scale(math.Exp(-window.Seconds() / e.decayTime()))
	e.returning *= priorityDecay
	for p := range e.priorities {
		e.priorities[p] *= priorityDecay
	}
}

// priorityDecay is the decay of the counts of openings in one window. Its time constant
// is one second.
var priorityDecay = math.Exp(-window.Seconds())

// update decides whether the service is short of capacity, and sets the limit.
func (e *estimate) update(o *Options, w *waiting) {
	above := o.ShortAbove
	if e.short {
		above *= leaveBelow
	}
	expected, raised := e.expect(o, w)
	rejects := e.rejected > o.RejectedAbove && raised
	e.short = rejects || expected > above
	if rejects {
		e.targetScale = max(e.targetScale*targetFall, minTargetScale)
	} else {
		e.targetScale = min(e.targetScale*targetRise, 1)
	}
	e.averageUsual()
	target := o.Target * e.targetScale
	e.raised.update(e.short, e.rate, e.longLatency, target, e.decayTime())
	e.updateLimit(o, expected, target)
}

// usualTime is the time over which the usual latency is averaged. It is longer than the
// rise of latency at the start of a shortage.
const usualTime = 10 * time.Second

// knownWindows is the number of windows from which the usual latency is known.
const knownWindows = float64(time.Second / window)

// raisedFactor is the multiple of the usual latency above which latency is raised.
const raisedFactor = 1.5

// averageUsual updates the usual latency, which the first windows determine quickly.
func (e *estimate) averageUsual() {
	if e.latency == 0 {
		return
	}
	e.usualWindows = min(e.usualWindows+1, usualTime.Seconds()/window.Seconds())
	if !e.short {
		e.usual += (e.latency - e.usual) / e.usualWindows
	}
}

// expect returns the latency of a request that starts now, as a fraction of the
// objective, and whether latency is raised. While it is not, the number of
// requests that wait shows nothing.
func (e *estimate) expect(o *Options, w *waiting) (expected float64, raised bool) {
	expected = e.latency
	if e.usualWindows < knownWindows {
		return expected, expected > o.RaisedAbove
	}
	if e.latency <= max(o.RaisedAbove, raisedFactor*e.usual) && !e.waitUnusually(o.RaisedAbove, w) {
		return expected, false
	}
	if e.waitUnusually(o.ShortAbove, w) {
		expected = max(expected, o.ShortAbove+minExcess)
	}
	return max(expected, e.predicted(w)), true
}

// unusualWait is the multiple of the usual latency that a few requests do not reach by
// chance.
const unusualWait = 2

// waitUnusually reports whether most requests wait for at least a fraction of the
// objective that few reach at the usual latency.
func (e *estimate) waitUnusually(fraction float64, w *waiting) bool {
	return fraction >= unusualWait*e.usual && e.mostWait(fraction, w)
}

// minExcess is added to the age at which most requests still wait, for the latency that
// they are expected to reach, as a fraction of the objective.
const minExcess = 0.05

// span returns the time of a fraction of the objective.
func (e *estimate) span(fraction float64) time.Duration {
	return time.Duration(fraction * e.objective * float64(time.Second))
}

// minStarts is the number of requests whose waiting shows a latency. While most
// openings are refused, few start in a window.
const minStarts = 3

// mostWait reports whether most of the requests that started earlier than a
// fraction of the objective ago still wait. Requests are taken by their start,
// since those in flight at any time are mostly the slow ones.
func (e *estimate) mostWait(fraction float64, w *waiting) bool {
	if e.objective == 0 {
		return false
	}
	started, waiting := w.since(e.span(fraction), 4*window, minStarts)
	return waiting >= 2 && 2*waiting > started
}

// maxLongLatency is the latency, as a multiple of the objective, after which a waiting
// request is not expected to be answered.
const maxLongLatency = 2

// predicted returns the latency of a request that starts now, as a fraction of
// the objective: the time in which those that wait are answered. Requests that
// wait for much longer than the objective may never be answered and do not count.
// One standard deviation is left out: a small share of a service has a few
// requests in flight, and their number varies by chance.
func (e *estimate) predicted(w *waiting) float64 {
	if e.rate == 0 || e.objective == 0 {
		return 0
	}
	_, waiting := w.since(0, e.span(maxLongLatency), 0)
	n := float64(waiting)
	return (n - math.Sqrt(n)) / e.rate / e.objective
}
