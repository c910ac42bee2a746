package bvstandcaller

import "fmt"

// Minimum traffic for a demonstration to be conclusive, and the share of
// refusals that a fault may cause.
const (
	minRequests       = 300
	minFeeds          = 20
	minServedSeconds  = 15
	refusedPerHundred = 2
)

// Faults with rules of their own. If a zone is taken out of service, flows may
// be abandoned. A planned stop must refuse nothing, just like a run without a
// fault.
const (
	FaultZone = "zone"
	FaultStop = "stop"
)

// Violations returns a message for each violation of the guarantees in a run
// with the given fault. fault is empty for a run without a fault. An empty
// result is a pass.
func (r Report) Violations(fault string) []string {
	var l []string
	fail := func(violated bool, format string, values ...any) {
		if violated {
			l = append(l, fmt.Sprintf(format, values...))
		}
	}
	accounted := r.Complete + r.Refused + r.Abandoned
	fail(accounted != r.Requests, "%d requests, but %d are complete, refused or abandoned", r.Requests, accounted)
	fail(r.Complete < minRequests, "%d complete requests, want at least %d", r.Complete, minRequests)
	fail(r.Feeds < minFeeds, "%d feeds, want at least %d", r.Feeds, minFeeds)
	fail(r.ServedSeconds < minServedSeconds, "served for %.1f s, want at least %d s", r.ServedSeconds, minServedSeconds)
	fail(r.WrongService > 0, "%d answers from a wrong service", r.WrongService)
	fail(r.FalseRefusals > 0, "%d refused requests were run", r.FalseRefusals)
	fail(r.RanTwice > 0, "%d requests were run more than once", r.RanTwice)
	fail(r.BrokenFeeds > 0, "%d broken feeds", r.BrokenFeeds)
	fail(len(r.MissingCounts) > 0, "no counts from %v", r.MissingCounts)
	if fault != FaultZone {
		fail(r.Abandoned > 0, "%d flows abandoned without a zone out of service", r.Abandoned)
		fail(r.FeedsComplete != r.Feeds, "%d of %d feeds are complete", r.FeedsComplete, r.Feeds)
	} else {
		fail(r.ZoneQuietMillis == nil, "the zone's last packet was not measured")
	}
	allowed := 0
	if fault != "" && fault != FaultStop {
		allowed = r.Requests * refusedPerHundred / 100
	}
	fail(r.RefusedAfterWarmUp > allowed, "%d requests refused after the warm-up, want at most %d", r.RefusedAfterWarmUp, allowed)
	return l
}
