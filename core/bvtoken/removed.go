package bvtoken

import (
	"time"

	"balsamvane/core/bvcatalog"
	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
)

// removedUpstreams holds the unacknowledged packets of upstreams whose entries were
// removed. An upstream without an entry may serve: its entry expires while it does
// not reach the platform, and a restore of the platform may lose its registration.
type removedUpstreams map[bvconfig.UpstreamID]*unackedRun

// routeRemoved decides on a packet of a flow that has been open since a time and whose
// upstream was removed. An upstream that has drained has ended, and so have its flows,
// unless it has started again under its ID and another balancer has opened them. Any
// other one keeps them until it shows that it does not answer.
func (r *Router) routeRemoved(now time.Time, k bvflow.Key, openSince time.Time, e *bvcatalog.Entry, p Packet) Decision {
	if e.Draining && r.knowsRemovalsSince(openSince) {
		return r.resetFrom(e, p, ReasonUpstreamRemoved)
	}
	run := r.removed[e.ID]
	if run == nil {
		run = &unackedRun{}
		r.removed[e.ID] = run
	}
	r.observeRemoved(now, k, e, run, p)
	if !r.losesPackets(now) && run.showsEnd(now, p.Source.Addr()) {
		r.dropRequest(now, k, outcomeFailed)
		d := r.resetFrom(e, p, ReasonUpstreamRemoved)
		d.Evidence = r.evidence(now, run, p)
		return d
	}
	return forward(e, ReasonToken)
}

// observeRemoved updates the unacknowledged packets of a removed upstream from a
// packet of an open flow.
func (r *Router) observeRemoved(now time.Time, k bvflow.Key, e *bvcatalog.Entry, run *unackedRun, p Packet) {
	id := e.ID
	switch q, ok := r.requests.complete(k, p); {
	case ok && q.upstream == id:
		run.reset()
		r.startResponse(now, k, r.targets[id], q, p)
	case ok:
		r.releaseRequest(now, q, outcomeAbandoned)
	}
	if r.continueResponse(now, k, p) {
		return
	}
	if p.Phase != bvflow.PhaseEstablished {
		r.dropRequest(now, k, outcomeFailed)
		return
	}
	if p.Payload == 0 {
		return
	}
	_, repeats, sentAt := r.recordRequest(now, k, id, r.targets[id], p)
	if repeats {
		run.repeats++
		if r.unanswered(sentAt, p, &r.zone(e.Zone).answered) {
			run.record(now, p.Source.Addr())
		}
	}
}

// retainRemoved keeps the unacknowledged packets of an upstream whose entry was
// removed.
func (r *Router) retainRemoved(t *target) {
	if t.entry.Removed() {
		run := t.unacked
		r.removed[t.entry.ID] = &run
	}
}

// expireRemoved drops the upstreams that the catalog has discarded, or has an entry
// of again.
func (r *Router) expireRemoved() {
	for id := range r.removed {
		if e := r.catalog.ByToken(bvcatalog.TokenOf(id)); e == nil || e.ID != id || !e.Removed() {
			delete(r.removed, id)
		}
	}
}
