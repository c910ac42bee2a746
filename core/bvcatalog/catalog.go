package bvcatalog

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"balsamvane/core/bvconfig"
)

// Token identifies an upstream in the header of a flow's packets. Both ends of
// the flow return it, so every balancer can read the upstream from the packet.
type Token uint32

// TokenOf returns the token of an upstream. It never returns 0, which stands for
// no upstream.
func TokenOf(id bvconfig.UpstreamID) Token {
	t := Token(uint64(id) ^ uint64(id)>>32)
	return cmp.Or(t, 1)
}

// Entry is an upstream and its state in the catalog.
type Entry struct {
	Upstream
	Token Token
	// ColdUntil is when the upstream stops being cold.
	ColdUntil time.Time

	revision     Revision // Of the last change.
	maybeExpired bool     // The entry is missing but may only have expired in an outage.
	removed      bool     // The upstream is removed.
	removedAt    time.Time
	unusable     bool   // The entry cannot be read.
	shadowed     bool   // A lower ID has the same token.
	listedIn     string // The service that holds the entry; empty if none does.
}

// AcceptsFlows reports whether the upstream may take new flows.
func (e *Entry) AcceptsFlows() bool { return !e.removed && !e.Draining && !e.unusable && !e.shadowed }

// Removed reports whether the upstream is removed, so that its flows have ended.
func (e *Entry) Removed() bool { return e.removed }

// Cold reports whether the upstream is cold.
func (e *Entry) Cold(now time.Time) bool { return now.Before(e.ColdUntil) }

// Service is a service with its entries by ID, except for removed ones.
type Service struct {
	ServiceLimits
	Entries []*Entry
	// Generation is the generation of the catalog at the last change of the
	// limits or of an entry.
	Generation uint64
	hasLimits  bool // The configuration has limits for it.
}

// Catalog is a copy of the platform's state. It is not safe for concurrent use.
type Catalog struct {
	options    Options
	version    uint64
	configured bool
	routes     map[netip.AddrPort]Route
	limits     map[string]ServiceLimits
	zonesOut   map[string]bool
	entries    map[bvconfig.UpstreamID]*Entry
	// removals holds the entries that are removed or may have expired.
	removals   map[bvconfig.UpstreamID]*Entry
	index      index
	services   map[string]*Service
	revision   Revision
	hasListing bool
	lastAnswer time.Time // Time of the last answer of the platform.
	graceEnd   time.Time // End of the grace period after the last outage.
	// firstGraceEnd is the end of the grace period after the first listing,
	// since the platform may have been unreachable before it.
	firstGraceEnd time.Time
	generation    uint64
	changed       bool // Something has changed since the generation was set.
	history       history
}

// New returns an empty catalog.
func New(o Options) *Catalog {
	return &Catalog{
		options: o.withDefaults(), routes: map[netip.AddrPort]Route{}, limits: map[string]ServiceLimits{},
		zonesOut: map[string]bool{}, entries: map[bvconfig.UpstreamID]*Entry{}, removals: map[bvconfig.UpstreamID]*Entry{},
		index: newIndex(), services: map[string]*Service{},
	}
}

// Complete reports whether a configuration and a listing were received, so that
// flows can be placed.
func (c *Catalog) Complete() bool { return c.configured && c.hasListing }

// Version returns the version of the configuration in force.
func (c *Catalog) Version() uint64 { return c.version }

// Revision returns the revision up to which the catalog is complete.
func (c *Catalog) Revision() Revision { return c.revision }

// Generation returns a number that grows with each change of the catalog's
// content.
func (c *Catalog) Generation() uint64 { return c.generation }

// Age returns the time since the platform last answered.
func (c *Catalog) Age(now time.Time) time.Duration { return now.Sub(c.lastAnswer) }

// Confirmed reports whether the platform has confirmed the catalog after t, at
// a time when every live upstream had an entry.
func (c *Catalog) Confirmed(t time.Time) bool {
	return c.GracePeriodOver() && c.lastAnswer.After(t)
}

// GracePeriodOver reports whether the platform has answered after the grace
// period that follows the start and each outage, in which all live upstreams
// register again. An upstream without an entry is removed then.
func (c *Catalog) GracePeriodOver() bool {
	return c.hasListing && !c.lastAnswer.Before(c.graceEnd) && !c.lastAnswer.Before(c.firstGraceEnd)
}

// Route returns the route of an address.
func (c *Catalog) Route(a netip.AddrPort) (Route, bool) {
	r, ok := c.routes[a]
	return r, ok
}

// Routes returns the number of routes.
func (c *Catalog) Routes() int { return len(c.routes) }

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

// OutOfService reports whether a zone is out of service.
func (c *Catalog) OutOfService(zone string) bool { return c.zonesOut[zone] }

// ZonesOutOfService returns the names of the zones that are out of service.
func (c *Catalog) ZonesOutOfService() []string {
	var out []string
	for z := range c.zonesOut {
		out = append(out, z)
	}
	slices.Sort(out)
	return out
}

// ByToken returns the upstream that a token identifies, or nil. It still finds
// an upstream for some time after its removal.
func (c *Catalog) ByToken(t Token) *Entry { return c.index.tokens[t] }

// Answered records that the catalog was complete age ago: the platform answered
// then, perhaps to another balancer.
func (c *Catalog) Answered(now time.Time, age time.Duration) {
	at := now.Add(-age)
	if !at.After(c.lastAnswer) {
		return
	}
	if c.hasListing && at.Sub(c.lastAnswer) > c.options.OutageAfter {
		c.graceEnd = now.Add(c.options.GracePeriod)
	}
	c.lastAnswer = at
}

// Replace applies a listing of all entries. Entries that the listing lacks are
// removed, unless they changed after its revision.
func (c *Catalog) Replace(now time.Time, age time.Duration, r Revision, cs []Change) {
	c.Answered(now, age)
	present := make(map[bvconfig.UpstreamID]bool, len(cs))
	zones := map[string]bool{}
	for _, ch := range cs {
		switch v := ch.(type) {
		case UpstreamPut:
			present[v.Upstream.ID] = true
		case UpstreamUnreadable:
			present[v.ID] = true
		case ZoneOutOfService:
			zones[v.Zone] = true
		}
		c.applyChange(now, ch)
	}
	if r >= c.revision {
		for id, e := range c.entries {
			if !present[id] && !e.removed && !e.maybeExpired && e.revision <= r {
				c.remove(now, e, r)
			}
		}
		if !maps.Equal(c.zonesOut, zones) {
			c.markAllChanged()
		}
		c.zonesOut = zones
	}
	c.revision = max(c.revision, r)
	if !c.hasListing {
		c.hasListing, c.firstGraceEnd = true, now.Add(c.options.GracePeriod)
	}
	c.history.reset(c.revision)
	c.commit()
}

// Apply applies changes in the order of their revisions, up to revision r.
func (c *Catalog) Apply(now time.Time, age time.Duration, r Revision, cs []Change) {
	c.Answered(now, age)
	if len(cs) == 0 {
		c.revision = max(c.revision, r)
		return
	}
	for _, ch := range cs {
		c.applyChange(now, ch)
	}
	c.revision = max(c.revision, r)
	c.history.append(r, cs)
	c.commit()
}

// Tick deletes upstreams that were removed long enough ago. It also removes
// upstreams without an entry once the platform has answered after the grace
// period.
func (c *Catalog) Tick(now time.Time) {
	graceOver := c.GracePeriodOver()
	for id, e := range c.removals {
		switch {
		case e.maybeExpired && !e.removed && graceOver:
			e.removed, e.removedAt = true, now
			c.reindex(e)
		case e.removed && now.Sub(e.removedAt) > c.options.KeepRemoved:
			delete(c.entries, id)
			c.unindex(e)
		}
	}
	c.commit()
}

func (c *Catalog) applyChange(now time.Time, ch Change) {
	switch v := ch.(type) {
	case Configuration:
		c.setConfiguration(v)
	case ZoneOutOfService:
		c.setOutOfService(v.Zone, true)
	case ZoneInService:
		c.setOutOfService(v.Zone, false)
	case UpstreamPut:
		c.put(now, v.Revision, v.Upstream)
	case UpstreamRemoved:
		if e := c.entries[v.ID]; e != nil && !e.removed && v.Revision > e.revision {
			c.remove(now, e, v.Revision)
		}
	case UpstreamUnreadable:
		e := c.entries[v.ID]
		if e == nil {
			// The upstream may hold flows, but its address is not known.
			e = &Entry{Token: TokenOf(v.ID)}
			e.ID = v.ID
			c.entries[v.ID] = e
		}
		if v.Revision > e.revision {
			e.unusable, e.revision = true, v.Revision
		}
		c.reindex(e)
	}
}

// setOutOfService takes a zone out of service or back.
func (c *Catalog) setOutOfService(zone string, out bool) {
	if c.zonesOut[zone] == out {
		return
	}
	if out {
		c.zonesOut[zone] = true
	} else {
		delete(c.zonesOut, zone)
	}
	c.markAllChanged()
}

// setConfiguration replaces the configuration in force by a newer one. An older
// one is ignored: it can only come from a store that answers with earlier
// states.
func (c *Catalog) setConfiguration(d Configuration) {
	if c.configured && d.Version <= c.version && !c.options.acceptAnyVersion {
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

func (c *Catalog) put(now time.Time, r Revision, u Upstream) {
	e := c.entries[u.ID]
	if e != nil && r <= e.revision {
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
	e.maybeExpired, e.unusable = false, false
	e.ColdUntil = now.Add(u.ColdFor)
	c.reindex(e)
}

// remove removes an entry. If the entry may only have expired in an outage, it
// stays in use until the end of the grace period.
func (c *Catalog) remove(now time.Time, e *Entry, r Revision) {
	e.revision = r
	if now.Before(c.graceEnd) && !c.options.noGracePeriod && !e.Draining {
		e.maybeExpired = true
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
