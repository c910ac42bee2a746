package bvadmit

import "time"

// Counts are the requests of one priority since the start.
type Counts struct {
	Offered  uint64              // Requests that asked for admission.
	Verdicts [numVerdicts]uint64 // The same by verdict.
	Late     uint64              // Requests that waited longer than their objective.
}

// Admitted returns the number of requests that were not refused.
func (c Counts) Admitted() uint64 {
	var n uint64
	for v, m := range c.Verdicts {
		if !Verdict(v).Refused() {
			n += m
		}
	}
	return n
}

// Refused returns the number of requests that were refused.
func (c Counts) Refused() uint64 { return c.Offered - c.Admitted() }

// Status is the state of a controller.
type Status struct {
	Short       bool // The service is short of capacity.
	HasEvidence bool // The measurements are recent.
	EvidenceAge time.Duration
	Limit       float64 // Of the requests in flight of the lowest priority in use and higher ones.
	InFlight    [Priorities]int
	Latency     time.Duration // Mean of recent answers.
	OldestAge   time.Duration // Age of the oldest waiting request, at most 3.2 s.
	Rate        float64       // Answers per second.
	Rejected    float64       // Fraction of recent requests that were rejected.
	Counts      [Priorities]Counts
}

// Short reports whether recent measurements show that the service is short of capacity.
func (c *Controller) Short(now time.Time) bool {
	at := c.advance(now)
	return c.hasEvidence(at) && c.estimate.short
}

// Status returns the state at a time.
func (c *Controller) Status(now time.Time) Status {
	at := c.advance(now)
	e := &c.estimate
	s := Status{
		HasEvidence: c.hasEvidence(at), InFlight: c.inFlight, Counts: c.counts, Limit: e.limit, Rate: e.rate, Rejected: e.rejected,
		Latency: time.Duration(e.latency * e.objective * float64(time.Second)), OldestAge: c.waiting.oldestAge(at),
	}
	s.Short = s.HasEvidence && e.short
	if e.measured {
		s.EvidenceAge = at - e.measuredAt
	}
	return s
}
