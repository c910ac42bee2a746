package bvadmit

// Verdict is the decision on a request with its reason.
type Verdict uint8

// The verdicts.
const (
	Admitted                 Verdict = iota // The service has capacity.
	Probe                                   // Nothing is in flight, so that one request measures the service.
	NoEvidence                              // Measurements are missing or stale.
	NoObjective                             // The route has no latency objective.
	OtherZone                               // Another zone has capacity.
	RefusedNoCapacity                       // Requests of the same priority use up the limit.
	RefusedForHigherPriority                // Requests of higher priorities use up the limit.
	RefusedForReturning                     // The rest of the limit is for callers that return after a refusal.
	numVerdicts
)

var verdictNames = [numVerdicts]string{
	"admitted", "probe", "noEvidence", "noObjective", "otherZone", "noCapacity", "higherPriority", "returningCallers",
}

// String returns the verdict's reason in camel case.
func (v Verdict) String() string {
	if v < numVerdicts {
		return verdictNames[v]
	}
	return "unknown"
}

// Refused reports whether the request must not be placed.
func (v Verdict) Refused() bool { return v >= RefusedNoCapacity && v < numVerdicts }

// Verdicts returns all verdicts.
func Verdicts() []Verdict {
	out := make([]Verdict, numVerdicts)
	for i := range out {
		out[i] = Verdict(i)
	}
	return out
}
