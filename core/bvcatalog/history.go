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

// batch holds the changes of one answer of the platform, without configurations.
type batch struct {
	revision bvrevision.Revision // Revision up to which the answer was complete.
	changes  []Change
}

// history holds the last changes, so that other balancers can follow this catalog
// as it follows the platform.
//
// Of the configurations it keeps only the one with the highest version. A
// configuration replaces the previous one as a whole and takes some hundred bytes for
// each route, so the older ones would only make answers and memory larger.
type history struct {
	start   bvrevision.Revision // Changes after this revision are held.
	batches []batch
	size    int
	// configuration is the newest configuration, or nil. configuredAt is the revision of
	// the last answer with a configuration.
	configuration *Configuration
	configuredAt  bvrevision.Revision
}

// reset discards all changes up to a revision.
func (h *history) reset(r bvrevision.Revision) { *h = history{start: r} }

func (h *history) append(r bvrevision.Revision, cs []Change) {
	others := make([]Change, 0, len(cs))
	for _, ch := range cs {
		if d, ok := ch.(Configuration); ok {
			h.setConfiguration(r, d)
			continue
		}
		others = append(others, ch)
	}
	if len(others) == 0 {
		return
	}
	h.batches = append(h.batches, batch{r, others})
	h.size += len(others)
	for h.size > maxHistory && len(h.batches) > 1 {
		h.start = h.batches[0].revision
		h.size -= len(h.batches[0].changes)
		h.batches = slices.Delete(h.batches, 0, 1)
	}
}

// setConfiguration records a configuration. The first one with the highest version
// stays, as in the catalog. It is sent again after one that is not newer: a follower that
// has listed the platform may have an older one.
func (h *history) setConfiguration(r bvrevision.Revision, d Configuration) {
	h.configuredAt = r
	if h.configuration == nil || d.Version > h.configuration.Version {
		h.configuration = &d
	}
}

// Since returns the changes after a revision: the newest configuration, if there was
// one, and then the other changes in their order. ok is false if they are not held, or
// if the revision is of another era.
func (c *Catalog) Since(after bvrevision.Revision) (cs []Change, ok bool) {
	h := &c.history
	if !c.listed || after.Era != c.revision.Era || h.start.After(after) {
		return nil, false
	}
	if h.configuration != nil && h.configuredAt.After(after) {
		cs = append(cs, *h.configuration)
	}
	for _, a := range h.batches {
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
