package bvcatalog

import (
	"maps"
	"slices"
	"time"
)

// maxHistory bounds the changes that are kept for followers of this balancer. A
// follower that lacks more changes requests a full listing.
const maxHistory = 4096

// answer holds the changes of one answer of the platform.
type answer struct {
	revision Revision // The revision up to which the answer was complete.
	changes  []Change
}

// history holds the last changes, so that other balancers can follow this
// catalog as this one follows the platform.
type history struct {
	start   Revision // The changes after start are held.
	answers []answer
	size    int
}

// reset discards all changes up to a revision.
func (h *history) reset(r Revision) { *h = history{start: r} }

func (h *history) append(r Revision, cs []Change) {
	if len(cs) == 0 {
		return
	}
	h.answers = append(h.answers, answer{r, cs})
	h.size += len(cs)
	for h.size > maxHistory && len(h.answers) > 1 {
		h.start = h.answers[0].revision
		h.size -= len(h.answers[0].changes)
		h.answers = slices.Delete(h.answers, 0, 1)
	}
}

// Since returns the changes after a revision, in order; ok is false if the
// history no longer holds all of them.
func (c *Catalog) Since(after Revision) (cs []Change, ok bool) {
	if !c.hasListing || after < c.history.start {
		return nil, false
	}
	for _, a := range c.history.answers {
		if a.revision > after {
			cs = append(cs, a.changes...)
		}
	}
	return cs, true
}

// All returns the changes that turn an empty catalog into this one. It omits
// entries that may have expired.
func (c *Catalog) All(now time.Time) []Change {
	var cs []Change
	if c.configured {
		d := Configuration{Version: c.version, Services: c.Limits()}
		d.Routes = slices.SortedFunc(maps.Values(c.routes), func(a, b Route) int { return a.Address.Compare(b.Address) })
		cs = append(cs, d)
	}
	for _, z := range c.ZonesOutOfService() {
		cs = append(cs, ZoneOutOfService{Zone: z})
	}
	for _, id := range sortedIDs(c.entries) {
		e := c.entries[id]
		if e.removed || e.maybeExpired || e.unusable {
			continue
		}
		u := e.Upstream
		u.ColdFor = max(e.ColdUntil.Sub(now), 0)
		cs = append(cs, UpstreamPut{Revision: e.revision, Upstream: u})
	}
	return cs
}
