// Package bvroute decides what a balancer does with each packet.
//
// For each flow one balancer decides, the owner, which is found by rendezvous
// hashing. A balancer that does not know a packet's flow hands the packet on
// to the owner. The owner sends flows that it does not know to their base
// pick, which every balancer can compute. Flows elsewhere are exceptions;
// their opening packets travel through a replica set that records them.
//
// The package does no I/O and reads no clock. A [Router] is not safe for
// concurrent use.
//
// # Usage
//
//	table := bvflow.NewTable(500_000, clock.Now(), bvflow.DefaultLifetimes)
//	r := bvroute.New(bvconfig.NodeIDOf("vm-1"), "zone-a", bvroute.Options{}, table, limiter)
//	r.SetPicture(clock.Now(), picture)
//	d := r.Route(clock.Now(), packet, trail, record)
//	switch d.Verdict {
//	case bvroute.VerdictUpstream:
//		// encapsulate with d.VNI and send to d.Tunnel
//	case bvroute.VerdictHandOn:
//		// send to the balancer at d.Tunnel with d.Trail and d.Record
//	}
package bvroute

import (
	"slices"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
)

// Limiter bounds the load of upstreams.
type Limiter interface {
	// Admit reports whether the upstream may take one more new flow, and
	// uses up the budget for it.
	Admit(now time.Time, u bvconfig.UpstreamID) bool
	// Opened notes a flow to the upstream.
	Opened(now time.Time, u bvconfig.UpstreamID)
	// Closed notes the end of a flow.
	Closed(now time.Time, u bvconfig.UpstreamID)
	// Retransmitted notes an opening packet that was sent again.
	Retransmitted(now time.Time, u bvconfig.UpstreamID)
	// OpenFlows is the number of flows that were opened and not closed.
	OpenFlows(u bvconfig.UpstreamID) int
	// Shed reports whether new flows of the class are to be dropped.
	Shed(class bvconfig.Class) bool
}

// Options are the times that the decision depends on. Zero values stand for
// the defaults of [bvflow.DefaultLifetimes].
type Options struct {
	// OpeningWindow is how long copies of an opening packet may arrive.
	OpeningWindow time.Duration
	// IdleTimeout is how long a flow may pause.
	IdleTimeout time.Duration
	disabled    mechanism
}

// mechanism is a set of safeguards. Tests switch them off to show that they
// detect the failure that each safeguard prevents.
type mechanism uint16

const (
	replication     mechanism = 1 << iota // Exceptions go through the replica set.
	refreshing                            // Owners renew exceptions at their replicas.
	basePicking                           // Unknown flows go to the base pick.
	serviceChecks                         // Entries are used for their own service only.
	zoneChecks                            // No packets to zones out of service.
	leavingChecks                         // No new flows to leaving upstreams.
	tombstones                            // Refusals are recorded.
	certainRefusals                       // Only a long-time owner refuses.
	closingRecords                        // Closing packets go through the members.
	handovers                             // Sweeps send records to new members.
	openingWindow                         // Openings with payload are dropped after a change of owner.
	outages                               // Entries from before a zone was taken out are void.
	formerHomes                           // Owners in zones that have just left are replicas.
	ownersFirst                           // A former owner asks the owner about flows it has adopted.
	joinerDrops                           // A joining balancer adopts no flows.
)

// Router decides on packets.
type Router struct {
	self    bvconfig.NodeID
	zone    string
	options Options
	table   *bvflow.Table
	limiter Limiter
	removed removals
	bases   []Base

	view      *view
	started   time.Time // Of the first picture.
	history   []past    // Former views, oldest first.
	disagreed time.Time // The last time that peers had another configuration; zero if never.

	generation uint64    // Counts changes of ownership.
	baseline   *view     // That of the last complete sweep with one configuration everywhere.
	based      uint64    // The generation of the baseline.
	changed    time.Time // The first change of ownership after the baseline.
	swept      uint64    // The generation of the last complete sweep.
}

// past is a view that has been replaced.
type past struct {
	view  *view
	until time.Time
}

// New returns a router for the balancer self in the named zone. It drops all
// packets until it has a picture.
func New(self bvconfig.NodeID, zone string, o Options, table *bvflow.Table, l Limiter) *Router {
	if o.OpeningWindow == 0 {
		o.OpeningWindow = bvflow.DefaultLifetimes.Opening
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = bvflow.DefaultLifetimes.Idle
	}
	return &Router{self: self, zone: zone, options: o, table: table, limiter: l, removed: removals{}}
}

func (r *Router) enabled(m mechanism) bool { return r.options.disabled&m == 0 }

// SetSnapshot replaces the picture on which decisions are based.
func (r *Router) SetSnapshot(now time.Time, p Snapshot) {
	if !r.enabled(zoneChecks) {
		p.Config.Zones = inService(p.Config.Zones)
	}
	if !r.enabled(leavingChecks) {
		p.Config.Upstreams = notLeaving(p.Config.Upstreams)
	}
	v := newView(r.self, r.zone, p, r.removed, r.options.disabled)
	r.bases = p.Bases
	r.forgetRemovals(p.Bases)
	old := r.view
	r.view = v
	if old == nil {
		r.started, r.baseline = now, v
		return
	}
	r.voidReturned(old)
	if !old.agreed {
		r.disagreed = now
	}
	if old.ownership != v.ownership {
		r.history = append(r.history, past{old, now})
		if r.based == r.generation {
			r.changed = now
		}
		r.generation++
	}
	for len(r.history) > 0 && now.Sub(r.history[0].until) > r.options.OpeningWindow {
		r.history = r.history[1:]
	}
}

// voidReturned marks the entries of flows in zones that the new view brings
// back into service. These flows were given up and may have been placed
// elsewhere meanwhile. It goes through the whole table, which is done in
// milliseconds, since zones rarely come back.
func (r *Router) voidReturned(old *view) {
	back := make([]bool, len(r.view.zones))
	for i, z := range r.view.zones {
		if j := old.zoneIndex(z.name); j >= 0 {
			back[i] = old.zones[j].out && !z.out && r.enabled(outages)
		}
	}
	if !slices.Contains(back, true) {
		return
	}
	for cursor, done := uint64(0), false; !done; {
		cursor, done = r.table.Range(cursor, 1<<16, func(e *bvflow.Entry) bool {
			t := r.view.upstreams[bvconfig.UpstreamID(e.Upstream)]
			if t != nil && t.zone >= 0 && back[t.zone] && e.State != bvflow.StateRefused {
				e.Flags |= bvflow.FlagInvalidated
			}
			return true
		})
	}
}

// forgetRemovals drops what is known of base revisions that are not in use.
func (r *Router) forgetRemovals(bases []Base) {
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

func inService(zones []bvconfig.Zone) []bvconfig.Zone {
	all := make([]bvconfig.Zone, len(zones))
	for i, z := range zones {
		z.OutOfService = false
		all[i] = z
	}
	return all
}

func notLeaving(upstreams []bvconfig.Upstream) []bvconfig.Upstream {
	all := make([]bvconfig.Upstream, len(upstreams))
	for i, u := range upstreams {
		u.Leaving = false
		all[i] = u
	}
	return all
}

// recent calls visit for each former view of the opening window, until
// it returns false, and reports whether all calls returned true.
func (r *Router) recent(now time.Time, visit func(*view) bool) bool {
	for _, p := range r.history {
		if now.Sub(p.until) <= r.options.OpeningWindow && !visit(p.view) {
			return false
		}
	}
	return true
}

// owned reports whether this node has owned k for longer than the opening
// window, in its own view.
func (r *Router) owned(now time.Time, s *service, k bvflow.Key) bool {
	return now.Sub(r.started) > r.options.OpeningWindow && r.recent(now, func(v *view) bool {
		t := v.byName[s.name]
		if t == nil {
			return false
		}
		_, z := v.placing(t, k)
		o := v.owner(k, z)
		return o != nil && o.ID == r.self
	})
}

// settled reports whether no other node can have taken itself for the owner
// of k within the opening window.
func (r *Router) settled(now time.Time, s *service, k bvflow.Key) bool {
	agreed := r.view.agreed && (r.disagreed.IsZero() || now.Sub(r.disagreed) > r.options.OpeningWindow)
	return agreed && r.view.synced && r.owned(now, s, k)
}

// informed reports whether this node knows the exceptions of all recent
// owners of k: each of them is still alive, or this node was a member of the
// flow's replica set at the time.
func (r *Router) informed(now time.Time, s *service, k bvflow.Key) bool {
	return r.recent(now, func(v *view) bool {
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

// Expire deletes expired entries among the next work slots of the table.
func (r *Router) Expire(now time.Time, work int) {
	r.table.Expire(now, work, func(e *bvflow.Entry) { r.uncount(now, e) })
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
