// Package bvroute decides what a balancer does with each packet.
//
// Each flow has one owner: the balancer that decides on it, found by
// rendezvous hashing. A balancer without an entry for a packet's flow forwards
// the packet to the owner. An owner without an entry chooses an upstream for a
// new flow. It sends packets in the middle of a flow to the flow's base pick,
// which every balancer can compute. Flows placed elsewhere are exceptions.
// Their opening packets are forwarded through a replica set, and each replica
// records the exception. A refused opening is recorded in the same way, as a
// tombstone.
//
// The package does no I/O and reads no clock. A [Router] is not safe for
// concurrent use.
//
// # Usage
//
//	table := bvflow.NewTable(500_000, clock.Now(), bvflow.DefaultLifetimes)
//	r := bvroute.New(bvconfig.NodeIDOf("vm-1"), "zone-a", bvroute.Options{}, table, limiter)
//	r.SetSnapshot(clock.Now(), snapshot)
//	d := r.Route(clock.Now(), packet, trail, record)
//	switch d.Verdict {
//	case bvroute.VerdictUpstream:
//		// encapsulate with d.VNI and send to d.Tunnel
//	case bvroute.VerdictForward:
//		// send to the balancer at d.Tunnel with d.Trail and d.Record
//	}
//	r.Sent(beforeSending, clock.Now(), packet)
package bvroute

import (
	"slices"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
)

// Limiter bounds the load of upstreams.
type Limiter interface {
	// Admit reports whether the upstream may take one more new flow. If so,
	// it consumes the budget for the flow.
	Admit(now time.Time, u bvconfig.UpstreamID) bool
	// Opened records a new flow to the upstream.
	Opened(now time.Time, u bvconfig.UpstreamID)
	// Closed records the end of a flow.
	Closed(now time.Time, u bvconfig.UpstreamID)
	// Retransmitted records a retransmitted opening that the upstream left
	// unanswered.
	Retransmitted(now time.Time, u bvconfig.UpstreamID)
	// OpenFlows returns the number of flows that were opened and not closed.
	OpenFlows(u bvconfig.UpstreamID) int
	// Shed reports whether new flows of the class are to be dropped.
	Shed(class bvconfig.Class) bool
}

// Options holds the times that decisions depend on. Zero values select the
// defaults of [bvflow.DefaultLifetimes].
type Options struct {
	// OpeningWindow is how long retransmissions of an opening packet may arrive.
	OpeningWindow time.Duration
	// IdleTimeout is how long a flow may be idle.
	IdleTimeout time.Duration
	disabled    mechanism // Safeguards that a test disables.
}

// mechanism is a set of safeguards. Tests disable a safeguard to show that
// they detect the failure that it prevents.
type mechanism uint16

const (
	replication     mechanism = 1 << iota // Exceptions are recorded by the replica set.
	renewals                              // Owners renew exceptions at their replicas.
	basePicking                           // Flows without an entry go to the base pick.
	serviceChecks                         // Entries are used for their own service only.
	zoneChecks                            // No packets go to zones that are out of service.
	leavingChecks                         // No new flows go to draining upstreams.
	tombstones                            // Refusals are recorded.
	certainRefusals                       // Only a node that is certain to be the owner refuses.
	closingRecords                        // Closing packets are forwarded through the members.
	handovers                             // Sweeps send records to new members.
	openingWindow                         // Openings with payload are dropped after a change of owner.
	outageChecks                          // Entries from before an outage of their zone are invalidated.
	previousZones                         // Owners in zones just removed from the base list are replicas.
	ownerPrecedence                       // A previous owner forwards packets of flows that it adopted to the owner.
	adoptionChecks                        // A joining balancer adopts no flows.
)

// Router decides what happens to each packet.
type Router struct {
	self    bvconfig.NodeID
	zone    string
	options Options
	table   *bvflow.Table
	limiter Limiter
	removed removals
	bases   []Base

	answered         map[bvconfig.NodeID]newestAnswered // By the balancer that got the packets from the fabric; 0 if it is this one.
	view             *view
	started          time.Time      // Time of the first snapshot.
	previousViews    []previousView // Replaced views, oldest first.
	lastDisagreement time.Time      // Last time that a peer ran another configuration; zero if never.

	generation         uint64    // Number of ownership changes.
	baseline           *view     // View at the last sweep that completed with one configuration on all peers; initially the first view.
	baselineGeneration uint64    // Generation of the baseline.
	firstChange        time.Time // Time of the first ownership change after the baseline.
	sweptGeneration    uint64    // Generation of the last complete sweep.
}

// previousView is a replaced view.
type previousView struct {
	view       *view
	replacedAt time.Time
}

// New returns a router for the balancer self in the named zone. The router
// drops all packets until [Router.SetSnapshot] is called.
func New(self bvconfig.NodeID, zone string, o Options, table *bvflow.Table, l Limiter) *Router {
	if o.OpeningWindow == 0 {
		o.OpeningWindow = bvflow.DefaultLifetimes.Opening
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = bvflow.DefaultLifetimes.Idle
	}
	return &Router{self: self, zone: zone, options: o, table: table, limiter: l, removed: removals{}, answered: map[bvconfig.NodeID]newestAnswered{}}
}

func (r *Router) enabled(m mechanism) bool { return r.options.disabled&m == 0 }

// SetSnapshot replaces the snapshot that decisions are made from.
func (r *Router) SetSnapshot(now time.Time, p Snapshot) {
	if !r.enabled(zoneChecks) {
		p.Config.Zones = allInService(p.Config.Zones)
	}
	if !r.enabled(leavingChecks) {
		p.Config.Upstreams = withoutLeaving(p.Config.Upstreams)
	}
	v := newView(r.self, r.zone, p, r.removed, r.options.disabled)
	r.bases = p.Bases
	r.pruneRemovals(p.Bases)
	old := r.view
	r.view = v
	r.pruneAnswered()
	if old == nil {
		r.started, r.baseline = now, v
		return
	}
	r.invalidateZoneEntries(old)
	if !old.agreed {
		r.lastDisagreement = now
	}
	if old.ownershipHash != v.ownershipHash {
		r.previousViews = append(r.previousViews, previousView{old, now})
		if r.baselineGeneration == r.generation {
			r.firstChange = now
		}
		r.generation++
	}
	for len(r.previousViews) > 0 && now.Sub(r.previousViews[0].replacedAt) > r.options.OpeningWindow {
		r.previousViews = r.previousViews[1:]
	}
}

// invalidateZoneEntries invalidates the entries of flows in zones that the new
// view puts back into service. These flows were abandoned and may have been
// placed elsewhere during the outage. A scan of the whole table is acceptable:
// it takes milliseconds, and zones rarely return.
func (r *Router) invalidateZoneEntries(old *view) {
	returned := make([]bool, len(r.view.zones))
	for i, z := range r.view.zones {
		if j := old.zoneIndex(z.name); j >= 0 {
			returned[i] = old.zones[j].outOfService && !z.outOfService && r.enabled(outageChecks)
		}
	}
	if !slices.Contains(returned, true) {
		return
	}
	for cursor, done := uint64(0), false; !done; {
		cursor, done = r.table.Range(cursor, 1<<16, func(e *bvflow.Entry) bool {
			t := r.view.upstreams[bvconfig.UpstreamID(e.Upstream)]
			if t != nil && t.zone >= 0 && returned[t.zone] && e.State != bvflow.StateRefused {
				e.Flags |= bvflow.FlagInvalidated
			}
			return true
		})
	}
}

// pruneRemovals deletes the removals of base revisions that are not in use.
func (r *Router) pruneRemovals(bases []Base) {
	for revision := range r.removed {
		used := false
		for _, b := range bases {
			used = used || b.Revision == revision
		}
		if !used {
			delete(r.removed, revision)
		}
	}
}

func allInService(zones []bvconfig.Zone) []bvconfig.Zone {
	all := make([]bvconfig.Zone, len(zones))
	for i, z := range zones {
		z.OutOfService = false
		all[i] = z
	}
	return all
}

func withoutLeaving(upstreams []bvconfig.Upstream) []bvconfig.Upstream {
	all := make([]bvconfig.Upstream, len(upstreams))
	for i, u := range upstreams {
		u.Leaving = false
		all[i] = u
	}
	return all
}

// everyRecentView calls visit for each view that was replaced within the
// opening window until a call returns false. It reports whether all calls
// returned true.
func (r *Router) everyRecentView(now time.Time, visit func(*view) bool) bool {
	for _, p := range r.previousViews {
		if now.Sub(p.replacedAt) <= r.options.OpeningWindow && !visit(p.view) {
			return false
		}
	}
	return true
}

// ownedForWindow reports whether, in its own views, this node has owned k for
// longer than the opening window.
func (r *Router) ownedForWindow(now time.Time, s *service, k bvflow.Key) bool {
	return now.Sub(r.started) > r.options.OpeningWindow && r.everyRecentView(now, func(v *view) bool {
		t := v.byName[s.name]
		if t == nil {
			return false
		}
		_, z := v.placementZones(t, k)
		o := v.owner(k, z)
		return o != nil && o.ID == r.self
	})
}

// ownerCertain reports whether this node has owned k for longer than the
// opening window and no other node can have acted as the owner in that time.
func (r *Router) ownerCertain(now time.Time, s *service, k bvflow.Key) bool {
	agreed := r.view.agreed && (r.lastDisagreement.IsZero() || now.Sub(r.lastDisagreement) > r.options.OpeningWindow)
	return agreed && r.view.synced && r.ownedForWindow(now, s, k)
}

// hasRecentExceptions reports whether no exception of a recent owner of k can
// be missing: each of these owners is still alive, or this node was a member
// of the flow's replica set at the time.
func (r *Router) hasRecentExceptions(now time.Time, s *service, k bvflow.Key) bool {
	return r.everyRecentView(now, func(v *view) bool {
		t := v.byName[s.name]
		if t == nil {
			return true
		}
		m := v.members(t, k)
		if m.count == 0 || m.contains(r.self) {
			return true
		}
		_, alive := r.view.peers[m.ids[0]]
		return alive
	})
}

// Expire deletes expired entries among the next maxSlots slots of the table.
func (r *Router) Expire(now time.Time, maxSlots int) {
	r.table.Expire(now, maxSlots, func(e *bvflow.Entry) { r.uncount(now, e) })
}

func (r *Router) count(now time.Time, e *bvflow.Entry) {
	if !e.Has(bvflow.FlagCounted) {
		e.Flags |= bvflow.FlagCounted
		r.limiter.Opened(now, bvconfig.UpstreamID(e.Upstream))
	}
}

func (r *Router) uncount(now time.Time, e *bvflow.Entry) {
	if e.Has(bvflow.FlagCounted) {
		e.Flags &^= bvflow.FlagCounted
		r.limiter.Closed(now, bvconfig.UpstreamID(e.Upstream))
	}
}
