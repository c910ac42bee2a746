package bvcatalog

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"balsamvane/core/bvrevision"
)

// maxHistory bounds the changes that are kept for followers of this balancer. A
// follower that lacks more requests a full listing.
const maxHistory = 4096

// batch holds the changes of one answer of the platform.
type batch struct {
	revision bvrevision.Revision // Revision up to which the answer was complete.
	changes  []Change
}

// history holds the last changes, so that other balancers can follow this catalog
// as it follows the platform.
type history struct {
	start   bvrevision.Revision // Changes after this revision are held.
	batches []batch
	size    int
}

// reset discards all changes up to a revision.
func (h *history) reset(r bvrevision.Revision) { *h = history{start: r} }

func (h *history) append(r bvrevision.Revision, cs []Change) {
	if len(cs) == 0 {
		return
	}
	h.batches = append(h.batches, batch{r, cs})
	h.size += len(cs)
	for h.size > maxHistory && len(h.batches) > 1 {
		h.start = h.batches[0].revision
		h.size -= len(h.batches[0].changes)
		h.batches = slices.Delete(h.batches, 0, 1)
	}
}

// Since returns the changes after a revision, in their order; ok is false if
// they are not held, or if the revision is of another era.
func (c *Catalog) Since(after bvrevision.Revision) (cs []Change, ok bool) {
	if !c.listed || after.Era != c.revision.Era || c.history.start.After(after) {
		return nil, false
	}
	for _, a := range c.history.batches {
		if a.revision.After(after) {
			cs = append(cs, a.changes...)
		}
	}
	return cs, true
}

// Unreadable returns the entries that cannot be decoded or are invalid, by ID.
func (c *Catalog) Unreadable() (out []UpstreamUnreadable) {
	for _, e := range c.entries {
		if e.unreadable() && !e.removed {
			out = append(out, UpstreamUnreadable{Revision: e.revision, ID: e.ID, Problem: e.problem})
		}
	}
	slices.SortFunc(out, func(a, b UpstreamUnreadable) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// All returns the changes that lead from an empty catalog to this one, without
// entries and zones of which only the end of the grace period shows whether the
// platform still has them.
func (c *Catalog) All(now time.Time) []Change {
	var cs []Change
	if c.configured {
		d := Configuration{Version: c.version, Services: c.Limits()}
		d.Routes = slices.SortedFunc(maps.Values(c.routes), func(a, b Route) int { return a.Address.Compare(b.Address) })
		cs = append(cs, d)
	}
	for _, z := range c.ZonesOutOfService() {
		if c.unconfirmedZones[z] {
			continue
		}
		cs = append(cs, ZoneOutOfService{Zone: z})
	}
	for _, id := range sortedIDs(c.entries) {
		e := c.entries[id]
		if e.removed || e.missing {
			continue
		}
		if e.unreadable() {
			cs = append(cs, NewUnreadable(e.revision, id, e.problem))
			continue
		}
		u := e.Upstream
		u.ColdFor = max(e.ColdUntil.Sub(now), 0)
		cs = append(cs, UpstreamPut{Revision: e.revision, Upstream: u})
	}
	return cs
}
