package bvtoken

import (
	"net/netip"
	"time"

	"balsamvane/core/bvadmit"
	"balsamvane/core/bvcatalog"
)

// classOf returns the class of a route's requests for admission control.
func classOf(p bvcatalog.RequestPolicy) bvadmit.Class {
	return bvadmit.Class{Priority: p.Priority, Objective: p.Objective}
}

// admit decides whether the opening p of a new flow may be placed. The caller's
// repeated openings are not decided on again: the first one was admitted.
func (r *Router) admit(now time.Time, f newFlow, p Packet) bvadmit.Verdict {
	if !r.options.Admission || f.service == nil || f.unansweredBy != 0 {
		return bvadmit.Admitted
	}
	caller := p.Source.Addr()
	v := r.askController(now, f, r.refused.returns(now, caller))
	if r.trace != nil {
		r.trace.recordAdmission(v, f.service.admission().Status(now))
	}
	if v.Refused() {
		r.refused.put(now, caller)
	}
	return v
}

// askController asks the admission control of a flow's service. Most measurements of a
// service come from the own zone. While that is short of capacity and another zone is not,
// the flow is placed there.
func (r *Router) askController(now time.Time, f newFlow, returning bool) bvadmit.Verdict {
	c, class := f.service.admission(), classOf(f.policy)
	if class.Objective > 0 && r.options.Responses && c.Short(now) && r.otherZoneHasCapacity(now, f.service) {
		return c.AdmitElsewhere(class)
	}
	return c.Admit(now, class, returning)
}

// otherZoneHasCapacity reports whether recent requests of a service to another zone that
// is in service were answered well within their objective.
func (r *Router) otherZoneHasCapacity(now time.Time, s *serviceTargets) bool {
	for name, z := range s.zones {
		if z == s.ownZone || r.catalog.ZoneOutOfService(name) || r.zone(name).down(now) {
			continue
		}
		if mean, requests := z.mean(now, 0, 0); requests >= minZoneRequests && mean < lateFrom {
			return true
		}
	}
	return false
}

// minZoneRequests is the decayed count of requests to another zone that show its
// capacity. A small share of a service sends few there.
const minZoneRequests = 0.5

// controllerOf returns the admission control of an upstream's service, or nil if there
// is none.
func (r *Router) controllerOf(t *target) *bvadmit.Controller {
	if !r.options.Admission || t == nil {
		return nil
	}
	return t.service.admission()
}

// admission returns the admission control of a service. It is created for the first
// request, since a balancer may have many services and callers of few of them.
func (s *serviceTargets) admission() *bvadmit.Controller {
	if s.controller == nil {
		s.controller = bvadmit.New(bvadmit.Options{})
	}
	return s.controller
}

// inFlightRequest is a request that admission control counts as load until it ends. The
// service may be removed before.
type inFlightRequest struct {
	controller *bvadmit.Controller // Nil if it does not count.
	class      bvadmit.Class
}

// startRequest counts a request at an upstream as in flight. Openings do not count: they
// are answered at once, and those to crashed upstreams would look like requests that wait.
func (r *Router) startRequest(now time.Time, t *target, p bvcatalog.RequestPolicy) inFlightRequest {
	x := inFlightRequest{controller: r.controllerOf(t), class: classOf(p)}
	if x.controller != nil {
		x.controller.Started(now, x.class)
	}
	return x
}

// end records that the request no longer waits. waited is the time since its start. A
// latency of 0 was not measured.
func (x *inFlightRequest) end(now time.Time, o outcome, latency, waited time.Duration) {
	if x.controller == nil {
		return
	}
	switch {
	case o != outcomeAnswered:
		x.controller.Ended(now, x.class, admissionOutcomes[o], waited)
	case latency > 0:
		x.controller.Ended(now, x.class, bvadmit.Answered, latency)
	default:
		x.controller.Ended(now, x.class, bvadmit.Abandoned, waited)
	}
}

// admissionOutcomes maps the outcomes of requests to those of admission control.
var admissionOutcomes = [numOutcomes]bvadmit.Outcome{
	outcomeAnswered:  bvadmit.Answered,
	outcomeRejected:  bvadmit.Rejected,
	outcomeFailed:    bvadmit.Failed,
	outcomeAbandoned: bvadmit.Abandoned,
}

// returnsWithin is the time after a refusal within which a caller's next opening counts
// as its return. It is short, since callers give up soon and others may share the address.
const returnsWithin = time.Second

// refusedCallers holds when callers were last refused. Callers that share a slot
// overwrite each other.
type refusedCallers struct {
	slots [callerSlots]refusedCaller
}

type refusedCaller struct {
	address netip.Addr
	at      time.Time
}

func (c *refusedCallers) put(now time.Time, a netip.Addr) {
	c.slots[slotOf(a, callerSlots)] = refusedCaller{address: a, at: now}
}

// returns reports whether a caller was refused recently.
func (c *refusedCallers) returns(now time.Time, a netip.Addr) bool {
	s := &c.slots[slotOf(a, callerSlots)]
	age := now.Sub(s.at)
	return s.address == a && age >= 0 && age < returnsWithin
}

// AdmissionStatus returns the state of admission control of each service, by name.
func (r *Router) AdmissionStatus(now time.Time) map[string]bvadmit.Status {
	if !r.options.Admission {
		return nil
	}
	out := map[string]bvadmit.Status{}
	for name, s := range r.services {
		if s.controller != nil {
			out[name] = s.controller.Status(now)
		}
	}
	return out
}
