package bvtoken

import (
	"time"

	"balsamvane/core/bvcatalog"
	"balsamvane/core/bvlimit"
)

// refresh takes over what has changed in the catalog, service by service.
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
	r.built = true
}

// refreshService takes over the entries of a service.
func (r *Router) refreshService(now time.Time, s *bvcatalog.Service) {
	old := r.services[s.Name]
	st := &serviceTargets{}
	if old != nil {
		st.usual = old.usual
	}
	r.services[s.Name] = st
	us := make([]bvlimit.Upstream, 0, len(s.Entries))
	for _, e := range s.Entries {
		t := r.targets[e.ID]
		if t == nil {
			t = &target{}
			r.targets[e.ID] = t
		}
		t.entry, t.service, t.zone, t.inZone = e, st, r.zone(e.Zone), e.Zone == r.options.Zone
		st.all = append(st.all, t)
		us = append(us, r.limits(s, e))
	}
	if old != nil {
		for _, t := range old.all {
			if t.service == old { // Neither here any more nor in another service.
				delete(r.targets, t.entry.ID)
			}
		}
	}
	r.limiter.SetService(now, s.Name, us)
	for _, t := range st.all {
		r.enter(now, t)
	}
}

// enter puts an upstream into a list of its service. One that is left out
// stays so until its time, unless the platform says something new about it.
func (r *Router) enter(now time.Time, t *target) {
	before := t.standing
	t.standing = standingNone
	if !t.coldSeen.Equal(t.entry.ColdUntil) {
		t.coldSeen, t.until = t.entry.ColdUntil, time.Time{}
		r.limiter.SetColdFor(now, t.entry.ID, t.entry.ColdUntil.Sub(now))
	}
	switch c := &t.service.choice; {
	case !t.entry.AcceptsFlows() || r.catalog.OutOfService(t.entry.Zone):
	case before != standingNone && before != standingUsable && now.Before(t.until):
		c.rest(t, before, t.until)
	default:
		c.use(t)
	}
}

// zone returns the signs of life of a zone. Zones are few, and stay known.
func (r *Router) zone(name string) *zoneSigns {
	z := r.zones[name]
	if z == nil {
		z = &zoneSigns{}
		r.zones[name] = z
	}
	return z
}

// limits returns an upstream in the form of the limiter.
func (r *Router) limits(s *bvcatalog.Service, e *bvcatalog.Entry) bvlimit.Upstream {
	return bvlimit.Upstream{
		ID: e.ID, Service: e.Service, Slots: e.Slots,
		ColdRate: r.coldRate(s.ColdFlowsPerSecond), ConstantRate: true,
		WarmUp: max(s.ColdFor, e.ColdFor), Leaving: !e.AcceptsFlows(),
	}
}
