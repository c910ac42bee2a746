package bvtoken

import (
	"maps"
	"time"

	"balsamvane/core/bvcatalog"
	"balsamvane/core/bvlimit"
)

// refresh applies the changes of the catalog, service by service.
func (r *Router) refresh(now time.Time) {
	if r.built && r.generation == r.catalog.Generation() {
		return
	}
	before := r.generation
	r.generation = r.catalog.Generation()
	if !r.built {
		r.limiter.SetZone(now, r.options.Zone, r.options.ColdBalancers)
		r.limiter.SetShareEnabled(true)
	}
	for name := range r.services {
		if r.catalog.Service(name) == nil {
			r.refreshService(now, &bvcatalog.Service{ServiceLimits: bvcatalog.ServiceLimits{Name: name}})
			delete(r.services, name)
		}
	}
	for _, s := range r.catalog.Services() {
		if !r.built || s.Generation > before {
			r.refreshService(now, s)
		}
	}
	r.expireRemoved()
	r.expireZones()
	r.built = true
}

// refreshService applies the entries of a service.
func (r *Router) refreshService(now time.Time, s *bvcatalog.Service) {
	old := r.services[s.Name]
	st := &serviceTargets{name: s.Name, zones: map[string]*zoneLatency{}}
	if old != nil {
		st.meanLatency, st.rejections, st.controller = old.meanLatency, old.rejections, old.controller
	}
	r.services[s.Name] = st
	us := make([]bvlimit.Upstream, 0, len(s.Entries))
	for _, e := range s.Entries {
		t := r.targets[e.ID]
		if t == nil {
			t = &target{}
			r.targets[e.ID] = t
		}
		if t.service != nil && t.service != old { // Evidence of another service's requests.
			t.rejections = rejections{}
		}
		t.entry, t.service, t.zone, t.inZone = e, st, r.zone(e.Zone), e.Zone == r.options.Zone
		t.zoneLatency = st.zoneLatency(old, e.Zone, r.options.Zone)
		st.all = append(st.all, t)
		us = append(us, r.limiterUpstream(s, e))
	}
	if old != nil {
		for _, t := range old.all {
			if t.service == old { // Not moved to another service.
				delete(r.targets, t.entry.ID)
				r.retainRemoved(t)
			}
		}
	}
	st.ownZone = st.zones[r.options.Zone]
	r.limiter.SetService(now, s.Name, us)
	for _, t := range st.all {
		r.assignPool(now, t)
	}
}

// assignPool puts an upstream into a list of its service. A suspended upstream
// stays suspended for the rest of its time, unless its ColdUntil has changed.
func (r *Router) assignPool(now time.Time, t *target) {
	before := t.state
	t.state = stateNone
	if !t.limiterColdUntil.Equal(t.entry.ColdUntil) {
		t.limiterColdUntil, t.suspendedUntil = t.entry.ColdUntil, time.Time{}
		r.limiter.SetColdFor(now, t.entry.ID, t.entry.ColdUntil.Sub(now))
	}
	switch c := &t.service.pools; {
	case !t.entry.AcceptsFlows() || r.catalog.ZoneOutOfService(t.entry.Zone):
	case before != stateNone && before != stateUsable && now.Before(t.suspendedUntil):
		c.suspend(t, before, t.suspendedUntil)
	default:
		c.makeUsable(t)
	}
}

// minZoneLimit is the number of zones up to which those without upstreams are kept.
// A zone whose last upstream has left soon has others.
const minZoneLimit = 64

// expireZones removes the zones without upstreams if there are many of them, such as
// those of entries that another writer keeps changing.
func (r *Router) expireZones() {
	if len(r.zones) <= r.zoneLimit {
		return
	}
	used := map[*zoneHealth]bool{}
	for _, t := range r.targets {
		used[t.zone] = true
	}
	maps.DeleteFunc(r.zones, func(_ string, z *zoneHealth) bool { return !used[z] })
	r.zoneLimit = max(2*len(r.zones), minZoneLimit)
}

// zone returns the health of a zone.
func (r *Router) zone(name string) *zoneHealth {
	z := r.zones[name]
	if z == nil {
		z = &zoneHealth{}
		r.zones[name] = z
	}
	return z
}

// limiterUpstream converts an upstream for the limiter.
func (r *Router) limiterUpstream(s *bvcatalog.Service, e *bvcatalog.Entry) bvlimit.Upstream {
	return bvlimit.Upstream{
		ID: e.ID, Service: e.Service, Slots: e.Slots,
		ColdRate: r.coldRate(s.ColdFlowsPerSecond), ConstantRate: true,
		WarmUp: max(s.ColdFor, e.ColdFor), Leaving: !e.AcceptsFlows(),
	}
}
