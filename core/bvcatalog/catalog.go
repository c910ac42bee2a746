package bvcatalog

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvrevision"
)

// Token identifies an upstream in the header of a flow's packets. Both ends of
// the flow echo it, so every balancer can find the upstream from the packet.
type Token uint32

// TokenOf returns the token of an upstream. It never returns 0, which stands for
// no upstream.
func TokenOf(id bvconfig.UpstreamID) Token {
	t := Token(uint64(id) ^ uint64(id)>>32)
	return cmp.Or(t, 1)
}

// Entry is an upstream with its state in the catalog.
type Entry struct {
	Upstream
	Token Token
	// ColdUntil is when the upstream stops being cold.
	ColdUntil time.Time

	revision  bvrevision.Revision // Revision of the entry's last change or removal.
	missing   bool                // The entry was removed, but may only have expired.
	removed   bool                // The entry was removed for good.
	removedAt time.Time
	// problem is why the entry cannot be decoded or is invalid; empty if it is not.
	problem  string
	shadowed bool   // A lower ID has the same token.
	listedIn string // The service that holds the entry; empty if none does.
}

func (e *Entry) unreadable() bool { return e.problem != "" }

// AcceptsFlows reports whether the upstream may take new flows.
func (e *Entry) AcceptsFlows() bool {
	return !e.removed && !e.Draining && !e.unreadable() && !e.shadowed
}

// Removed reports whether the upstream was removed for good, so that its flows
// have ended.
func (e *Entry) Removed() bool { return e.removed }

// Cold reports whether the upstream is cold.
func (e *Entry) Cold(now time.Time) bool { return now.Before(e.ColdUntil) }

// Service is a service with its entries by ID, without removed ones.
type Service struct {
	ServiceLimits
	Entries []*Entry
	// Generation is the catalog's generation at the last change of the limits or of
	// an entry.
	Generation uint64
	hasLimits  bool // The configuration has limits for it.
}

// Catalog is a copy of the platform's entries. It is not safe for concurrent use.
type Catalog struct {
	options           Options
	version           uint64
	configured        bool
	routes            map[netip.AddrPort]Route
	limits            map[string]ServiceLimits
	zonesOutOfService map[string]bool
	// unconfirmedZones holds the zones out of service that the listing of a restored
	// platform lacked. They return to service after the grace period.
	unconfirmedZones map[string]bool
	entries          map[bvconfig.UpstreamID]*Entry
	// inactive holds the entries that are missing or removed.
	inactive   map[bvconfig.UpstreamID]*Entry
	index      index
	services   map[string]*Service
	revision   bvrevision.Revision
	listed     bool      // A listing has been received.
	lastAnswer time.Time // Last answer of the platform.
	// watermark is the latest time up to which the catalog certainly has all changes.
	watermark time.Time
	graceEnd  time.Time // End of the grace period after the last outage.
	// firstGraceEnd is the end of the grace period after the first listing. The
	// platform may have been unreachable before that listing.
	firstGraceEnd time.Time
	firstListedAt time.Time
	generation    uint64
	changed       bool // Something has changed since the last generation.
	history       history
}

// New returns an empty catalog.
func New(o Options) *Catalog {
	return &Catalog{
		options: o.withDefaults(), routes: map[netip.AddrPort]Route{}, limits: map[string]ServiceLimits{},
		zonesOutOfService: map[string]bool{}, unconfirmedZones: map[string]bool{}, entries: map[bvconfig.UpstreamID]*Entry{}, inactive: map[bvconfig.UpstreamID]*Entry{},
		index: newIndex(), services: map[string]*Service{},
	}
}

// Complete reports whether a configuration and a listing have been received, so
// that flows can be placed.
func (c *Catalog) Complete() bool { return c.configured && c.listed }

// Version returns the version of the configuration in force.
func (c *Catalog) Version() uint64 { return c.version }

// Revision returns the revision up to which the catalog is complete.
func (c *Catalog) Revision() bvrevision.Revision { return c.revision }

// Generation returns a number that grows with each change of the catalog's
// content.
func (c *Catalog) Generation() uint64 { return c.generation }

// Age returns the time since the platform answered.
func (c *Catalog) Age(now time.Time) time.Duration { return now.Sub(c.lastAnswer) }

// Watermark returns the latest time up to which the catalog certainly has all
// changes of the platform, or the zero value if none is known.
func (c *Catalog) Watermark() time.Time { return c.watermark }

// Confirmed reports whether the watermark is after t and at a time at which no live
// upstream's entry was missing. What existed at t and is not in the catalog was removed. The age of the catalog does
// not show that: something may have been added since the last answer.
func (c *Catalog) Confirmed(t time.Time) bool {
	return c.watermark.After(t) && c.graceOver(c.watermark)
}

// GracePeriodOver reports whether the platform has answered since the end of the
// grace periods after the start and after the last outage. By then all live
// upstreams had registered again, so an upstream without an entry was removed.
func (c *Catalog) GracePeriodOver() bool { return c.graceOver(c.lastAnswer) }

// graceOver reports whether the grace periods had ended at a time.
func (c *Catalog) graceOver(at time.Time) bool {
	return c.listed && !at.Before(c.graceEnd) && !at.Before(c.firstGraceEnd)
}

// KnowsRemoved reports whether the catalog has all upstreams that were removed within
// [Options.RetainRemoved]. Until then, an upstream that it does not know may have
// been removed before the first listing.
func (c *Catalog) KnowsRemoved(now time.Time) bool {
	return c.listed && now.Sub(c.firstListedAt) >= c.options.RetainRemoved
}

// Route returns the route of an address.
func (c *Catalog) Route(a netip.AddrPort) (Route, bool) {
	r, ok := c.routes[a]
	return r, ok
}

// NumRoutes returns the number of routes.
func (c *Catalog) NumRoutes() int { return len(c.routes) }

// Service returns a service, or nil if it has neither limits nor upstreams.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Services returns all services by name.
func (c *Catalog) Services() map[string]*Service { return c.services }

// Limits returns the limits of all services, by name.
func (c *Catalog) Limits() []ServiceLimits {
	out := slices.Collect(maps.Values(c.limits))
	slices.SortFunc(out, func(a, b ServiceLimits) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// ZoneOutOfService reports whether a zone is out of service.
func (c *Catalog) ZoneOutOfService(zone string) bool { return c.zonesOutOfService[zone] }

// ZonesOutOfService returns the names of the zones that are out of service.
func (c *Catalog) ZonesOutOfService() []string {
	var out []string
	for z := range c.zonesOutOfService {
		out = append(out, z)
	}
	slices.Sort(out)
	return out
}

// ByToken returns the upstream that a token identifies, or nil. It returns a
// removed upstream for [Options.RetainRemoved].
func (c *Catalog) ByToken(t Token) *Entry { return c.index.tokens[t] }

// RecordAnswer records that the catalog was current age ago: the platform answered
// then, perhaps to another balancer.
func (c *Catalog) RecordAnswer(now time.Time, age time.Duration) {
	at := now.Add(-age)
	if !at.After(c.lastAnswer) {
		return
	}
	if c.listed && at.Sub(c.lastAnswer) > c.options.OutageAfter {
		c.graceEnd = now.Add(c.options.GracePeriod)
	}
	c.lastAnswer = at
}

// RecordWatermark raises the watermark: the state of revision r has all changes that
// the platform had accepted by the time at; the zero value of at records nothing. A time
// at which the platform was asked qualifies, the arrival of its answer does not: the
// answer may have been delayed. It is called once that state has been applied.
func (c *Catalog) RecordWatermark(r bvrevision.Revision, at time.Time) {
	if r.Era == c.revision.Era && !r.After(c.revision) && at.After(c.watermark) {
		c.watermark = at
	}
}

// Replace applies a listing of all entries. Entries that it lacks are removed,
// except for those changed after its revision. A listing of an earlier era is
// ignored.
func (c *Catalog) Replace(now time.Time, age time.Duration, r bvrevision.Revision, cs []Change) {
	if r.Era < c.revision.Era {
		return
	}
	c.RecordAnswer(now, age)
	restored := c.listed && r.Era > c.revision.Era
	if restored {
		c.graceEnd = now.Add(c.options.GracePeriod)
	}
	listed, zonesOut := c.applyListing(now, cs, restored)
	if !c.revision.After(r) {
		for id, e := range c.entries {
			if !listed[id] && !e.removed && !e.missing && !e.revision.After(r) {
				c.remove(now, e, r, restored)
			}
		}
		c.replaceZones(zonesOut, restored)
	}
	c.revision = bvrevision.Latest(c.revision, r)
	if !c.listed {
		c.listed, c.firstListedAt, c.firstGraceEnd = true, now, now.Add(c.options.GracePeriod)
	}
	c.history.reset(c.revision)
	c.commit()
}

// applyListing applies the entries of a listing, except for zones, which have no
// revisions of their own. It returns the listed upstreams and the zones out of
// service. restored is true for the first listing after a restore of the platform.
func (c *Catalog) applyListing(now time.Time, cs []Change, restored bool) (listed map[bvconfig.UpstreamID]bool, zonesOut map[string]bool) {
	listed, zonesOut = make(map[bvconfig.UpstreamID]bool, len(cs)), map[string]bool{}
	for _, ch := range cs {
		switch v := ch.(type) {
		case UpstreamPut:
			listed[v.Upstream.ID] = true
			if restored {
				c.putFromCopy(now, v.Revision, v.Upstream)
				continue
			}
		case UpstreamUnreadable:
			listed[v.ID] = true
		case ZoneOutOfService:
			zonesOut[v.Zone] = true
			continue
		}
		c.change(now, ch)
	}
	return listed, zonesOut
}

// Apply applies changes in the order of their revisions, up to revision r. Changes
// of another era than the catalog's are ignored: the catalog needs a listing of
// that era first.
func (c *Catalog) Apply(now time.Time, age time.Duration, r bvrevision.Revision, cs []Change) {
	if r.Era != c.revision.Era {
		return
	}
	c.RecordAnswer(now, age)
	if len(cs) == 0 {
		c.revision = bvrevision.Latest(c.revision, r)
		return
	}
	for _, ch := range cs {
		c.change(now, ch)
	}
	c.revision = bvrevision.Latest(c.revision, r)
	c.history.append(r, cs)
	c.commit()
}

// Tick ends the grace period of missing entries and unconfirmed zones once the
// platform has answered after it, and discards removed upstreams that were retained
// long enough.
func (c *Catalog) Tick(now time.Time) {
	graceOver := c.GracePeriodOver()
	if graceOver {
		for z := range c.unconfirmedZones {
			c.setZone(z, false)
		}
	}
	for id, e := range c.inactive {
		switch {
		case e.missing && !e.removed && graceOver:
			e.removed, e.removedAt = true, now
			c.reindex(e)
		case e.removed && now.Sub(e.removedAt) > c.options.RetainRemoved:
			delete(c.entries, id)
			c.unindex(e)
		}
	}
	c.commit()
}

func (c *Catalog) change(now time.Time, ch Change) {
	switch v := ch.(type) {
	case Configuration:
		c.setConfiguration(v)
	case ZoneOutOfService:
		c.setZone(v.Zone, true)
	case ZoneBackInService:
		c.setZone(v.Zone, false)
	case UpstreamPut:
		c.put(now, v.Revision, v.Upstream)
	case UpstreamRemoved:
		if e := c.entries[v.ID]; e != nil && !e.removed && v.Revision.After(e.revision) {
			c.remove(now, e, v.Revision, false)
		}
	case UpstreamUnreadable:
		e := c.entries[v.ID]
		if e == nil {
			// The upstream may hold flows, but its address is unknown.
			e = &Entry{Token: TokenOf(v.ID)}
			e.ID = v.ID
			c.entries[v.ID] = e
		}
		if v.Revision.After(e.revision) {
			e.problem, e.revision = cmp.Or(v.Problem, "unknown"), v.Revision
		}
		c.reindex(e)
	}
}

// setZone takes a zone out of service or puts it back into service.
func (c *Catalog) setZone(zone string, out bool) {
	delete(c.unconfirmedZones, zone)
	if c.zonesOutOfService[zone] == out {
		return
	}
	if out {
		c.zonesOutOfService[zone] = true
	} else {
		delete(c.zonesOutOfService, zone)
	}
	c.markAllChanged()
}

// replaceZones applies the zones out of service of a listing. After a restore of the
// platform, zones that it lacks stay out of service until the end of the grace
// period, in which the operators may write them again.
func (c *Catalog) replaceZones(listed map[string]bool, restored bool) {
	for z := range c.zonesOutOfService {
		if restored && !listed[z] {
			c.unconfirmedZones[z] = true
		}
		if !listed[z] && !c.unconfirmedZones[z] {
			c.setZone(z, false)
		}
	}
	for z := range listed {
		c.setZone(z, true)
	}
}

// setConfiguration applies a configuration that is newer than the one in force. An
// older one can only come from a store that answers with earlier states.
func (c *Catalog) setConfiguration(d Configuration) {
	if c.configured && d.Version <= c.version && !c.options.acceptOlder {
		return
	}
	c.version, c.configured = d.Version, true
	c.routes = make(map[netip.AddrPort]Route, len(d.Routes))
	for _, r := range d.Routes {
		c.routes[r.Address] = r
	}
	c.changed = true
	c.limits = make(map[string]ServiceLimits, len(d.Services))
	for _, s := range d.Services {
		c.limits[s.Name] = s
		c.setLimits(s, true)
	}
	for name, s := range c.services {
		if _, ok := c.limits[name]; !ok && s.hasLimits {
			c.setLimits(ServiceLimits{Name: name}, false)
		}
	}
}

func (c *Catalog) put(now time.Time, r bvrevision.Revision, u Upstream) {
	e := c.entries[u.ID]
	if e != nil && !r.After(e.revision) {
		return
	}
	if e != nil && e.removed {
		c.unindex(e)
	}
	if e == nil || e.removed {
		e = &Entry{Token: TokenOf(u.ID)}
		c.entries[u.ID] = e
	}
	e.Upstream, e.revision = u, r
	e.missing, e.problem = false, ""
	e.ColdUntil = now.Add(u.ColdFor)
	c.reindex(e)
}

// putFromCopy applies an entry of the first listing of an era. The listing comes
// from a copy, so the entry may be older than the catalog's. Then the catalog keeps
// its own state, and only takes over the revision, after which the upstream's next
// write has a higher one. An upstream that has drained and left does not return.
func (c *Catalog) putFromCopy(now time.Time, r bvrevision.Revision, u Upstream) {
	e := c.entries[u.ID]
	switch {
	case e == nil || e.unreadable() || u.writtenAfter(&e.Upstream):
		c.put(now, r, u)
	case e.removed && !(e.Draining && u.StartedAt.Equal(e.StartedAt)):
		c.put(now, r, u)
	default:
		e.revision = r
		if e.missing {
			e.missing = false
			c.reindex(e)
		}
	}
}

// remove removes an entry, or marks it as missing until the end of the grace period
// if it may only have expired in an outage, or be lost by a restore. The entry of a
// draining upstream does not expire while it serves.
func (c *Catalog) remove(now time.Time, e *Entry, r bvrevision.Revision, restored bool) {
	e.revision = r
	if now.Before(c.graceEnd) && !c.options.noGracePeriod && (!e.Draining || restored) {
		e.missing = true
		c.reindex(e)
		return
	}
	e.removed, e.removedAt = true, now
	c.reindex(e)
}

func sortedIDs(m map[bvconfig.UpstreamID]*Entry) []bvconfig.UpstreamID {
	ids := make([]bvconfig.UpstreamID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
