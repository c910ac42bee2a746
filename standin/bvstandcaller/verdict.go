package bvstandcaller

import "fmt"

// What a demonstration must have served to prove anything, and the share of
// refusals that a fault may cause.
const (
	minRequests       = 300
	minFeeds          = 20
	minServedSeconds  = 15
	refusedPerHundred = 2
)

// Faults that the verdict treats apart: a zone that is taken out may give
// flows up, and a planned stop, as no fault, may refuse nothing.
const (
	FaultZone = "zone"
	FaultStop = "stop"
)

// Violations returns what contradicts the promises in a run with the given
// fault; fault is empty for a plain run. An empty result is a pass.
func (r Report) Violations(fault string) []string {
	var l []string
	fail := func(bad bool, format string, values ...any) {
		if bad {
			l = append(l, fmt.Sprintf(format, values...))
		}
	}
	served := r.Complete + r.Refused + r.Abandoned
	fail(served != r.Requests, "%d requests, but %d are whole, refused or given up", r.Requests, served)
	fail(r.Complete < minRequests, "%d whole requests, want at least %d", r.Complete, minRequests)
	fail(r.Feeds < minFeeds, "%d feeds, want at least %d", r.Feeds, minFeeds)
	fail(r.ServedSeconds < minServedSeconds, "served for %.1f s, want at least %d s", r.ServedSeconds, minServedSeconds)
	fail(r.WrongService > 0, "%d answers of a wrong service", r.WrongService)
	fail(r.FalseRefusals > 0, "%d refused requests were run", r.FalseRefusals)
	fail(r.RanTwice > 0, "%d requests were run more than once", r.RanTwice)
	fail(r.BrokenFeeds > 0, "%d broken feeds", r.BrokenFeeds)
	fail(len(r.MissingCounts) > 0, "no counts of %v", r.MissingCounts)
	if fault != FaultZone {
		fail(r.Abandoned > 0, "%d given up without a zone taken out", r.Abandoned)
		fail(r.FeedsComplete != r.Feeds, "%d of %d feeds are whole", r.FeedsComplete, r.Feeds)
	} else {
		fail(r.ZoneQuietMillis == nil, "the zone's last packet was not measured")
	}
	allowed := 0
	if fault != "" && fault != FaultStop {
		allowed = r.Requests * refusedPerHundred / 100
	}
	fail(r.RefusedAfterWarmUp > allowed, "%d refused after the warm-up, allowed are %d", r.RefusedAfterWarmUp, allowed)
	return l
}
