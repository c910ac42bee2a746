package bvtoken

import (
	"time"

	"balsamvane/core/bvcatalog"
	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvlimit"
)

// Route decides on a caller's packet.
func (r *Router) Route(now time.Time, p Packet) Decision {
	r.refresh(now)
	r.expire(now)
	k := r.hasher.Key(p.Tuple)
	if p.Phase == bvflow.PhaseOpening {
		return r.open(now, k, p)
	}
	return r.follow(now, k, p)
}

// follow decides on a packet of an open flow.
func (r *Router) follow(now time.Time, k bvflow.Key, p Packet) Decision {
	if p.Token == 0 {
		return Decision{Verdict: VerdictDrop, Reason: ReasonNoToken}
	}
	fresh := r.catalog.Age(now) <= r.options.FreshFor
	if _, ok := r.catalog.Route(p.Destination); !ok && fresh && r.catalog.Complete() {
		return r.reset(p, ReasonNoRoute)
	}
	e := r.catalog.ByToken(p.Token)
	if e == nil {
		return Decision{Verdict: VerdictDrop, Reason: ReasonUnknownToken}
	}
	r.answered(now, k, e.ID)
	if e.Gone() {
		return r.reset(p, ReasonUpstreamGone)
	}
	if t := r.targets[e.ID]; t != nil && p.Payload > 0 {
		t.load.add(now, 1)
	}
	return forward(e, ReasonToken)
}

func forward(e *bvcatalog.Entry, why Reason) Decision {
	return Decision{Verdict: VerdictForward, Reason: why, Upstream: e.ID, Address: e.Address, Token: e.Token}
}

// reset answers the caller. A caller resets itself on no other sign that its
// upstream is gone, and would wait until its deadline.
func (r *Router) reset(p Packet, why Reason) Decision {
	if p.Phase == bvflow.PhaseReset {
		return Decision{Verdict: VerdictDrop, Reason: why}
	}
	return Decision{Verdict: VerdictReset, Reason: why, Sequence: p.Acknowledged}
}

// answered takes note that a caller goes on with a flow, which shows that the
// upstream has answered its opening.
func (r *Router) answered(now time.Time, k bvflow.Key, u bvconfig.UpstreamID) {
	if len(r.pending.openings) == 0 {
		return
	}
	if _, ok := r.pending.openings[k]; !ok {
		return
	}
	delete(r.pending.openings, k)
	r.limiter.Answered(now, u)
	r.evidence.answered()
}

// expire counts openings that the callers gave up without a repetition.
func (r *Router) expire(now time.Time) {
	for {
		o, ok := r.pending.expired(now.Add(-r.options.AnswerTimeout))
		if !ok {
			return
		}
		if !o.judged {
			r.unanswered(now, o.upstream)
		}
	}
}

func (r *Router) unanswered(now time.Time, u bvconfig.UpstreamID) {
	r.limiter.Unanswered(now, u)
	r.evidence.missed(now)
}

// Isolated reports whether this balancer seems to reach no upstream, so that
// its callers are better served by another one.
func (r *Router) Isolated(now time.Time) bool { return r.evidence.isolated(now) }

// refresh takes over what has changed in the catalog.
func (r *Router) refresh(now time.Time) {
	if r.built && r.generation == r.catalog.Generation() {
		return
	}
	r.built, r.generation = true, r.catalog.Generation()
	old := r.targets
	r.targets = make(map[bvconfig.UpstreamID]*target, len(old))
	r.services = make(map[string][]*target, len(r.services))
	var us []bvlimit.Upstream
	for name, s := range r.catalog.Services() {
		for _, e := range s.Entries {
			t := old[e.ID]
			if t == nil {
				t = &target{}
			}
			t.entry, t.inZone = e, e.Zone == r.options.Zone
			r.targets[e.ID] = t
			us = append(us, r.limits(s, e))
			if e.Takes() && !r.catalog.ZoneOut(e.Zone) {
				r.services[name] = append(r.services[name], t)
			}
		}
	}
	r.limiter.SetUpstreams(now, r.options.Zone, us, r.options.ColdBalancers)
	r.limiter.SetShareEnabled(true)
	for id, t := range r.targets {
		if !t.coldSeen.Equal(t.entry.ColdUntil) {
			t.coldSeen = t.entry.ColdUntil
			r.limiter.SetCold(now, id, t.entry.ColdUntil.Sub(now))
		}
	}
}

// limits returns an upstream in the form of the limiter.
func (r *Router) limits(s *bvcatalog.Service, e *bvcatalog.Entry) bvlimit.Upstream {
	return bvlimit.Upstream{
		ID: e.ID, Service: e.Service, Slots: e.Slots,
		Cold: s.ColdFlowsPerSecond*r.options.ColdFactor + r.options.ColdSlack, Flat: true,
		WarmUp: max(s.ColdFor, e.ColdFor), Leaving: !e.Takes(),
	}
}
