package bvtoken

import (
	"fmt"
	"time"

	"balsamvane/core/bvadmit"
)

// trace records the upstreams that were compared for a flow. It is nil except in the
// copy of a router that [Router.Explain] uses.
type trace struct {
	compared  []comparedUpstream
	admission ExplainedAdmission
}

// recordAdmission records the verdict of admission control and what it is based on.
func (x *trace) recordAdmission(v bvadmit.Verdict, s bvadmit.Status) {
	x.admission = ExplainedAdmission{Verdict: v.String(), Status: "no recent requests"}
	if !s.HasEvidence {
		return
	}
	inFlight := 0
	for _, n := range s.InFlight {
		inFlight += n
	}
	capacity := "enough capacity"
	if s.Short {
		capacity = "short of capacity"
	}
	x.admission.Status = fmt.Sprintf("%s, %d requests wait with a limit of %.1f, answers take %s, last measured %s ago",
		capacity, inFlight, s.Limit, describeDuration(s.Latency), describeDuration(s.EvidenceAge))
}

// comparedUpstream is an upstream with its cost for the flow and its load before the
// flow was placed.
type comparedUpstream struct {
	target *target
	cost   float64
	load   load
}

// record records a compared upstream once, although several windows may have it.
func (x *trace) record(t *target, cost float64) {
	for _, c := range x.compared {
		if c.target == t {
			return
		}
	}
	x.compared = append(x.compared, comparedUpstream{target: t, cost: cost, load: t.load})
}

// traceCosts records the costs of the candidates whose fixed costs are set, if an opening
// is being explained.
func (r *Router) traceCosts(now time.Time, f *newFlow, cs *candidates) {
	if r.trace == nil {
		return
	}
	for i, t := range cs.targets[:cs.n] {
		r.trace.record(t, r.cost(now, f, t, cs.costs[i]))
	}
}
