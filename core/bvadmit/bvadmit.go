// Package bvadmit decides whether a service can be expected to answer a new
// request within its latency objective.
//
// A balancer has one [Controller] per service. It knows only the balancer's own
// requests. The limit of requests in flight is the rate of answers times a
// target latency (Little's law), so that latency converges to the target while
// the service is saturated. Otherwise the limit is far above the load. Nothing
// is refused unless recent requests show that the service is short of capacity.
//
// A higher priority never waits for a lower one: a priority is admitted while
// the requests of that priority and of higher ones are below the limit. Of one
// priority, callers that return after a refusal are admitted before new ones.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	c := bvadmit.New(bvadmit.Options{})
//	class := bvadmit.Class{Priority: 2, Objective: 400 * time.Millisecond}
//	if v := c.Admit(now, class, returning); v.Refused() {
//		return // Reset the caller's flow; v is the reason.
//	}
//	c.Started(now, class) // Also for a request on an open flow, which is not admitted.
//	c.Ended(now, class, bvadmit.Answered, latency)
package bvadmit

import (
	"cmp"
	"time"
)

// Priorities is the number of priorities that are kept apart. Larger numbers
// count as the last one.
const Priorities = 8

// Options configure a Controller; zero values select the defaults.
type Options struct {
	// Target is the latency to which the limit leads a saturated service, as a
	// fraction of the objective. 0.51. With 0.6, too many requests of
	// high priority are late.
	Target float64
	// ShortAbove is the mean latency above which the service is short of
	// capacity, as a fraction of the objective. 0.5.
	ShortAbove float64
	// RejectedAbove is the fraction of rejected requests above which the service
	// is short of capacity, if its latency is raised too. 0.05.
	RejectedAbove float64
	// RaisedAbove is the mean latency above which rejections count, as a fraction
	// of the objective. Upstreams that reject while latency is lower are at fault
	// themselves. 0.25.
	RaisedAbove float64
	// NewFraction is the fraction of the limit up to which callers that do not
	// return are admitted while others do. 0.9.
	NewFraction float64
	// MinLimit is the smallest limit. 1.
	MinLimit float64
	// EvidenceAge is the age at which measurements become stale. 1 s.
	EvidenceAge time.Duration

	// disabled admits everything, for the tests of the load without admission control.
	disabled bool
}

func (o Options) withDefaults() Options {
	o.Target = cmp.Or(o.Target, 0.51)
	o.ShortAbove = cmp.Or(o.ShortAbove, 0.5)
	o.RejectedAbove = cmp.Or(o.RejectedAbove, 0.05)
	o.RaisedAbove = cmp.Or(o.RaisedAbove, 0.25)
	o.NewFraction = cmp.Or(o.NewFraction, 0.9)
	o.MinLimit = cmp.Or(o.MinLimit, 1)
	o.EvidenceAge = cmp.Or(o.EvidenceAge, time.Second)
	return o
}

// Class describes the requests of a route. Priority 0 is the highest. Requests
// without an objective are never refused, whatever their priority.
type Class struct {
	Priority  uint8
	Objective time.Duration
}

func (c Class) index() int { return int(min(c.Priority, Priorities-1)) }

// Outcome is the end of a request.
type Outcome uint8

// The outcomes of a request.
const (
	Answered  Outcome = iota // The upstream answered.
	Rejected                 // The upstream reported that it did not run the request.
	Failed                   // The upstream failed or did not open the flow.
	Abandoned                // The caller gave up.
)

// Controller admits the requests of one service. It is not safe for concurrent
// use.
type Controller struct {
	options  Options
	epoch    time.Time
	inFlight [Priorities]int
	counts   [Priorities]Counts
	waiting  waiting
	estimate estimate
}

// New returns a controller without measurements. It admits everything.
func New(o Options) *Controller {
	c := &Controller{options: o.withDefaults()}
	c.estimate.reset()
	return c
}

// Admit decides whether a new request may be placed, and counts it. It changes
// nothing else; call [Controller.Started] if the request is placed. It does not
// allocate.
func (c *Controller) Admit(now time.Time, class Class, returning bool) Verdict {
	v := c.Verdict(now, class, returning)
	p := class.index()
	c.counts[p].Offered++
	c.counts[p].Verdicts[v]++
	c.estimate.offered(p, returning)
	return v
}

// AdmitElsewhere counts a new request that the service has capacity for, although the
// measurements show none where most of its requests go.
func (c *Controller) AdmitElsewhere(class Class) Verdict {
	p := class.index()
	c.counts[p].Offered++
	c.counts[p].Verdicts[OtherZone]++
	return OtherZone
}

// Verdict returns what [Controller.Admit] would decide, for an explanation. It
// changes no counters.
func (c *Controller) Verdict(now time.Time, class Class, returning bool) Verdict {
	at := c.advance(now)
	e := &c.estimate
	p := class.index()
	higher, upTo := c.load(p)
	switch {
	case class.Objective <= 0:
		return NoObjective
	case c.options.disabled:
		return Admitted
	case c.waiting.total == 0:
		return Probe
	case !c.hasEvidence(at):
		return NoEvidence
	case !e.short:
		return Admitted
	}
	return c.compare(at, p, higher, upTo, returning)
}

// compare compares the load with the limit. A priority is refused if new callers
// of the next higher one would be, so that priorities are never inverted.
func (c *Controller) compare(at time.Duration, p, higher, upTo int, returning bool) Verdict {
	e, o := &c.estimate, &c.options
	newLimit := round(at, e.newLimitOf(p, o))
	switch {
	case p > 0 && higher >= round(at, e.newLimitOf(p-1, o)):
		return RefusedForHigherPriority
	case upTo < newLimit:
		return Admitted
	case upTo < round(at, e.limitOf(p)):
		if returning {
			return Admitted
		}
		return RefusedForReturning
	case upTo-higher < newLimit:
		return RefusedForHigherPriority
	}
	return RefusedNoCapacity
}

// load returns the requests in flight of higher priorities than p, and of these
// and p together.
func (c *Controller) load(p int) (higher, upTo int) {
	for _, n := range c.inFlight[:p] {
		higher += n
	}
	return higher, higher + c.inFlight[p]
}

// Started records that a request was sent to an upstream: an opening that was
// placed, or a request on an open flow. Requests without an objective do not count:
// they may take any time, and would fill a limit that follows from an objective. It does
// not allocate.
func (c *Controller) Started(now time.Time, class Class) {
	if class.Objective <= 0 {
		return
	}
	at := c.advance(now)
	c.inFlight[class.index()]++
	c.waiting.add(at)
}

// Ended records that a request no longer waits. The latency is the time since
// its start, whatever the outcome. A request that was never started is ignored.
// It does not allocate.
func (c *Controller) Ended(now time.Time, class Class, outcome Outcome, latency time.Duration) {
	at := c.advance(now)
	p := class.index()
	if class.Objective <= 0 || c.inFlight[p] == 0 {
		return
	}
	latency = max(latency, 0)
	c.inFlight[p]--
	c.waiting.remove(at-latency, outcome == Answered)
	if latency > class.Objective && (outcome == Answered || outcome == Abandoned) {
		c.counts[p].Late++
	}
	c.estimate.ended(at, class.Objective, outcome, latency)
}

// hasEvidence reports whether the measurements are recent.
func (c *Controller) hasEvidence(at time.Duration) bool {
	return c.estimate.measured && at-c.estimate.measuredAt <= c.options.EvidenceAge
}

// advance ends the windows that are over, and returns the time since the first
// call. Calls may be slightly out of order. If the clock has stepped back, measurements
// are dropped, since they would stay recent otherwise, and time goes on from the last
// window.
func (c *Controller) advance(now time.Time) time.Duration {
	if c.epoch.IsZero() {
		c.epoch = now
	}
	at, last := now.Sub(c.epoch), time.Duration(c.estimate.current)*window
	if at < last-forgetAfter {
		at, c.epoch = last, now.Add(-last)
		c.estimate.reset()
	}
	at = max(at, 0)
	c.waiting.advance(at)
	c.estimate.advance(at, &c.options, &c.waiting)
	return at
}
