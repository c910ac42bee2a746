package bvforwarder

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"balsamvane/core/bvadmit"

	"github.com/uber-go/tally/v4"
)

// admissionStatus is the state of admission control of one service.
type admissionStatus struct {
	Service     string `json:"service"`
	Short       bool   `json:"short"` // The service is short of capacity.
	EvidenceAge string `json:"evidenceAge"`
	// Limit bounds the requests of this balancer that wait for an answer.
	Limit    float64 `json:"limit"`
	InFlight int     `json:"inFlight"`
	// Latency and Rate are those of recent answers, Rate per second.
	Latency  string  `json:"latency"`
	Rate     float64 `json:"rate"`
	Rejected float64 `json:"rejected"` // Fraction of recent requests.
}

func newAdmissionStatus(service string, s bvadmit.Status) admissionStatus {
	out := admissionStatus{
		Service: service, Short: s.Short, EvidenceAge: s.EvidenceAge.Round(time.Millisecond).String(), Limit: s.Limit,
		Latency: s.Latency.Round(time.Millisecond).String(), Rate: s.Rate, Rejected: s.Rejected,
	}
	for _, n := range s.InFlight {
		out.InFlight += n
	}
	return out
}

// admission returns the state of admission control of the services that have requests,
// by name; only of those short of capacity if shortOnly is true. The caller holds mu.
func (w *Forwarder) admission(now time.Time, shortOnly bool) (out []admissionStatus) {
	for name, s := range w.router.AdmissionStatus(now) {
		if s.Short || !shortOnly && s.HasEvidence {
			out = append(out, newAdmissionStatus(name, s))
		}
	}
	slices.SortFunc(out, func(a, b admissionStatus) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// admissionCounters counts openings by service, priority and verdict.
type admissionCounters struct {
	scope     tally.Scope
	published map[string][bvadmit.Priorities]bvadmit.Counts
}

func newAdmissionCounters(s tally.Scope) admissionCounters {
	return admissionCounters{scope: s, published: map[string][bvadmit.Priorities]bvadmit.Counts{}}
}

// update adds what a service's admission control has counted since the last call. The
// counts start at 0 again after a panic of the router.
func (c *admissionCounters) update(service string, counts [bvadmit.Priorities]bvadmit.Counts) {
	before := c.published[service]
	for p := range counts {
		if counts[p].Offered < before[p].Offered {
			before[p] = bvadmit.Counts{}
		}
		if counts[p] != before[p] {
			c.add(service, p, &counts[p], &before[p])
		}
	}
	c.published[service] = counts
}

func (c *admissionCounters) add(service string, priority int, now, before *bvadmit.Counts) {
	tags := map[string]string{"service": service, "priority": strconv.Itoa(priority)}
	s := c.scope.Tagged(tags)
	s.Counter("openingsOffered").Inc(int64(now.Offered - before.Offered))
	s.Counter("requestsLate").Inc(int64(now.Late - before.Late))
	for _, v := range bvadmit.Verdicts() {
		if n := now.Verdicts[v] - before.Verdicts[v]; n > 0 {
			s.Tagged(map[string]string{"verdict": v.String()}).Counter("admissions").Inc(int64(n))
		}
	}
}
