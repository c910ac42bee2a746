package bvcatalog

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"balsamvane/core/bvconfig"
)

// Token stands for an upstream in the header of a flow's packets. Both ends of
// the flow return it, so every balancer can tell the upstream from the packet.
type Token uint32

// TokenOf returns the token of an upstream; 0 stands for none and is never
// returned.
func TokenOf(id bvconfig.UpstreamID) Token {
	t := Token(uint64(id) ^ uint64(id)>>32)
	return cmp.Or(t, 1)
}

// Entry is an upstream with what the catalog knows about it.
type Entry struct {
	Upstream
	Token Token
	// ColdUntil is when the upstream stops being cold.
	ColdUntil time.Time

	revision Revision // Of the last change.
	missing  bool     // The entry is removed, perhaps only expired.
	gone     bool     // The entry is removed for good.
	goneAt   time.Time
	unusable bool   // The entry cannot be read.
	shadowed bool   // A lower ID has the same token.
	listed   string // The service that holds the entry; empty if none does.
}

// AcceptsFlows reports whether the upstream may take new flows.
func (e *Entry) AcceptsFlows() bool { return !e.gone && !e.Draining && !e.unusable && !e.shadowed }

// Removed reports whether the upstream has left for good, so that its flows have
// ended.
func (e *Entry) Removed() bool { return e.gone }

// Cold reports whether the upstream is cold.
func (e *Entry) Cold(now time.Time) bool { return now.Before(e.ColdUntil) }

// Service is a service with its entries by ID, those that are gone left out.
type Service struct {
	ServiceLimits
	Entries []*Entry
	// Generation is that of the catalog when the limits or an entry changed
	// last.
	Generation uint64
	declared   bool // The configuration has limits for it.
}

// Catalog is what is known of the platform. It is not safe for concurrent use.
type Catalog struct {
	options  Options
	version  uint64
	declared bool
	routes   map[netip.AddrPort]Route
	limits   map[string]ServiceLimits
	zonesOut map[string]bool
	entries  map[bvconfig.UpstreamID]*Entry
	// ending are the entries that are missing or gone.
	ending   map[bvconfig.UpstreamID]*Entry
	index    index
	services map[string]*Service
	revision Revision
	listed   bool
	contact  time.Time // Last answer of the platform.
	settled  time.Time // End of the settle time after the last outage.
	// complete is the end of the settle time after the first listing, before
	// which the platform may have been out of reach.
	complete   time.Time
	generation uint64
	changed    bool // Something has changed since the generation.
	history    history
}

// New returns an empty catalog.
func New(o Options) *Catalog {
	return &Catalog{
		options: o.withDefaults(), routes: map[netip.AddrPort]Route{}, limits: map[string]ServiceLimits{},
		zonesOut: map[string]bool{}, entries: map[bvconfig.UpstreamID]*Entry{}, ending: map[bvconfig.UpstreamID]*Entry{},
		index: newIndex(), services: map[string]*Service{},
	}
}

// Complete reports whether a configuration and a listing are known, so that
// flows can be placed.
func (c *Catalog) Complete() bool { return c.declared && c.listed }

// Version returns the version of the configuration in force.
func (c *Catalog) Version() uint64 { return c.version }

// Revision returns the revision up to which the catalog is complete.
func (c *Catalog) Revision() Revision { return c.revision }

// Generation returns a number that grows with each change of what the catalog
// says.
func (c *Catalog) Generation() uint64 { return c.generation }

// Age returns the time since the platform answered.
func (c *Catalog) Age(now time.Time) time.Duration { return now.Sub(c.contact) }

// Confirmed reports whether the platform has confirmed the catalog after t, at
// a time at which no live upstream's entry was missing.
func (c *Catalog) Confirmed(t time.Time) bool {
	return c.GracePeriodOver() && c.contact.After(t)
}

// GracePeriodOver reports whether the platform has answered when all live upstreams
// had registered again, after the start and after an outage. An upstream
// without an entry has left then.
func (c *Catalog) GracePeriodOver() bool {
	return c.listed && !c.contact.Before(c.settled) && !c.contact.Before(c.complete)
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

// ByToken returns the upstream that a token stands for, also for some time
// after it has gone, or nil.
func (c *Catalog) ByToken(t Token) *Entry { return c.index.tokens[t] }

// Answered takes note that the catalog was complete age ago: the platform
// answered then, perhaps to another balancer.
func (c *Catalog) Answered(now time.Time, age time.Duration) {
	at := now.Add(-age)
	if !at.After(c.contact) {
		return
	}
	if c.listed && at.Sub(c.contact) > c.options.OutageAfter {
		c.settled = now.Add(c.options.GracePeriod)
	}
	c.contact = at
}

// Replace takes a listing of all entries. Entries that it lacks are removed,
// except for those changed after its revision.
func (c *Catalog) Replace(now time.Time, age time.Duration, r Revision, cs []Change) {
	c.Answered(now, age)
	listed := make(map[bvconfig.UpstreamID]bool, len(cs))
	zones := map[string]bool{}
	for _, ch := range cs {
		switch v := ch.(type) {
		case UpstreamPut:
			listed[v.Upstream.ID] = true
		case UpstreamUnreadable:
			listed[v.ID] = true
		case ZoneOutOfService:
			zones[v.Zone] = true
		}
		c.change(now, ch)
	}
	if r >= c.revision {
		for id, e := range c.entries {
			if !listed[id] && !e.gone && !e.missing && e.revision <= r {
				c.remove(now, e, r)
			}
		}
		if !maps.Equal(c.zonesOut, zones) {
			c.touchAll()
		}
		c.zonesOut = zones
	}
	c.revision = max(c.revision, r)
	if !c.listed {
		c.listed, c.complete = true, now.Add(c.options.GracePeriod)
	}
	c.history.reset(c.revision)
	c.commit()
}

// Apply takes changes in the order of their revisions, up to revision r.
func (c *Catalog) Apply(now time.Time, age time.Duration, r Revision, cs []Change) {
	c.Answered(now, age)
	if len(cs) == 0 {
		c.revision = max(c.revision, r)
		return
	}
	for _, ch := range cs {
		c.change(now, ch)
	}
	c.revision = max(c.revision, r)
	c.history.append(r, cs)
	c.commit()
}

// Tick lets the memory of gone upstreams end, and the settle time once the
// platform has answered after it.
func (c *Catalog) Tick(now time.Time) {
	settled := c.GracePeriodOver()
	for id, e := range c.ending {
		switch {
		case e.missing && !e.gone && settled:
			e.gone, e.goneAt = true, now
			c.update(e)
		case e.gone && now.Sub(e.goneAt) > c.options.KeepRemoved:
			delete(c.entries, id)
			c.forget(e)
		}
	}
	c.commit()
}

func (c *Catalog) change(now time.Time, ch Change) {
	switch v := ch.(type) {
	case Configuration:
		c.declare(v)
	case ZoneOutOfService:
		c.setZone(v.Zone, true)
	case ZoneInService:
		c.setZone(v.Zone, false)
	case UpstreamPut:
		c.put(now, v.Revision, v.Upstream)
	case UpstreamRemoved:
		if e := c.entries[v.ID]; e != nil && !e.gone && v.Revision > e.revision {
			c.remove(now, e, v.Revision)
		}
	case UpstreamUnreadable:
		e := c.entries[v.ID]
		if e == nil {
			// The upstream may hold flows, but nothing tells where it is.
			e = &Entry{Token: TokenOf(v.ID)}
			e.ID = v.ID
			c.entries[v.ID] = e
		}
		if v.Revision > e.revision {
			e.unusable, e.revision = true, v.Revision
		}
		c.update(e)
	}
}

// setZone takes a zone out of service or back.
func (c *Catalog) setZone(zone string, out bool) {
	if c.zonesOut[zone] == out {
		return
	}
	if out {
		c.zonesOut[zone] = true
	} else {
		delete(c.zonesOut, zone)
	}
	c.touchAll()
}

// declare takes a configuration that is newer than the one in force. An older
// one can only come from a store that answers with earlier states.
func (c *Catalog) declare(d Configuration) {
	if c.declared && d.Version <= c.version && !c.options.lastWins {
		return
	}
	c.version, c.declared = d.Version, true
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
		if _, ok := c.limits[name]; !ok && s.declared {
			c.setLimits(ServiceLimits{Name: name}, false)
		}
	}
}

func (c *Catalog) put(now time.Time, r Revision, u Upstream) {
	e := c.entries[u.ID]
	if e != nil && r <= e.revision {
		return
	}
	if e != nil && e.gone {
		c.forget(e)
	}
	if e == nil || e.gone {
		e = &Entry{Token: TokenOf(u.ID)}
		c.entries[u.ID] = e
	}
	e.Upstream, e.revision = u, r
	e.missing, e.unusable = false, false
	e.ColdUntil = now.Add(u.ColdFor)
	c.update(e)
}

// remove takes an entry out of use, or waits for the end of the settle time if
// the entry may only have expired in an outage.
func (c *Catalog) remove(now time.Time, e *Entry, r Revision) {
	e.revision = r
	if now.Before(c.settled) && !c.options.noSettle && !e.Draining {
		e.missing = true
		c.update(e)
		return
	}
	e.gone, e.goneAt = true, now
	c.update(e)
}

func sortedIDs(m map[bvconfig.UpstreamID]*Entry) []bvconfig.UpstreamID {
	ids := make([]bvconfig.UpstreamID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
