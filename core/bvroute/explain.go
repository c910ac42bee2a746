package bvroute

import (
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
)

// Explanation tells why a flow goes where it goes. Fields without a value do
// not apply.
type Explanation struct {
	Key            string            `json:"key"`
	Service        string            `json:"service,omitempty"`
	ConfiguredZone string            `json:"configuredZone,omitempty"`
	PlacingZone    string            `json:"placingZone,omitempty"`
	BaseZone       string            `json:"baseZone,omitempty"`
	BasePick       string            `json:"basePick,omitempty"`
	CurrentPick    string            `json:"currentPick,omitempty"`
	Owner          bvconfig.NodeID   `json:"owner,omitempty"`
	Owned          bool              `json:"owned"`   // By this node.
	OwnerCertain   bool              `json:"settled"` // The owner is certain, so that it may refuse.
	Replicas       []bvconfig.NodeID `json:"replicas,omitempty"`
	Entry          *EntryExplanation `json:"entry,omitempty"`
	Problem        string            `json:"problem,omitempty"` // Why packets are dropped.
}

// EntryExplanation describes a flow's entry.
type EntryExplanation struct {
	Upstream     string        `json:"upstream"`
	State        string        `json:"state"`
	OwnerEntry   bool          `json:"ownerEntry"` // Otherwise a replica's record.
	Exception    bool          `json:"exception"`
	Adopted      bool          `json:"adopted"`
	Idle         time.Duration `json:"idle"`
	ReplicatedAt time.Duration `json:"replicatedAt"` // Since the table's epoch.
}

// Explain tells what this node does with packets of the tuple.
func (r *Router) Explain(now time.Time, t bvflow.Tuple) Explanation {
	if r.view == nil {
		return Explanation{Problem: ReasonNotConfigured.String()}
	}
	return r.explain(now, r.view.hasher.Key(t), r.view.services[addressOf(t.Destination, t.Protocol)])
}

// ExplainKey tells what this node does with packets of a flow that it has an
// entry for.
func (r *Router) ExplainKey(now time.Time, k bvflow.Key) Explanation {
	if r.view == nil {
		return Explanation{Problem: ReasonNotConfigured.String()}
	}
	var s *service
	if e := r.table.Lookup(k); e != nil {
		if t := r.view.upstreams[bvconfig.UpstreamID(e.Upstream)]; t != nil {
			s = t.service
		}
	}
	return r.explain(now, k, s)
}

func (r *Router) explain(now time.Time, k bvflow.Key, s *service) Explanation {
	x := Explanation{Key: k.String()}
	if e := r.table.Lookup(k); e != nil {
		x.Entry = r.explainEntry(now, e)
		if t := r.view.upstreams[bvconfig.UpstreamID(e.Upstream)]; t == nil {
			x.Problem = ReasonUnknownUpstream.String()
		} else if t.obstacle != ReasonNone {
			x.Problem = t.obstacle.String()
		}
	}
	if s == nil {
		x.Problem = ReasonUnknownService.String()
		return x
	}
	x.Service = s.name
	configured, placing := r.view.placing(s, k)
	base, zone := s.basePick(k)
	x.ConfiguredZone, x.PlacingZone = r.view.zoneName(configured), r.view.zoneName(placing)
	x.BaseZone, x.BasePick, x.CurrentPick = r.view.zoneName(zone), base.String(), s.current.upstream(k).String()
	m := r.view.members(s, k)
	if o := r.view.owner(k, placing); o != nil {
		x.Owner, x.Owned = o.ID, o.ID == r.self
		x.Replicas = append(x.Replicas, m.ids[1:m.count]...)
	} else if x.Entry == nil {
		x.Problem = ReasonNoOwner.String()
	}
	x.OwnerCertain = x.Owned && r.settled(now, s, k)
	return x
}

func (r *Router) explainEntry(now time.Time, e *bvflow.Entry) *EntryExplanation {
	return &EntryExplanation{
		Upstream:   r.view.upstreams[bvconfig.UpstreamID(e.Upstream)].String(),
		State:      e.State.String(),
		OwnerEntry: e.Has(bvflow.FlagOwner), Exception: e.Has(bvflow.FlagException),
		Adopted: e.Has(bvflow.FlagAdopted), Idle: age(r.table.Seconds(now), e.LastSeen),
		ReplicatedAt: time.Duration(e.ReplicatedAt) * time.Second,
	}
}

func (v *view) zoneName(i int) string {
	if i < 0 {
		return ""
	}
	return v.zones[i].name
}

// String returns the upstream's name, or an empty string for none.
func (t *target) String() string {
	if t == nil {
		return ""
	}
	return t.name
}

var reasonNames = [reasonCount]string{
	ReasonNone: "none", ReasonUnknownService: "unknownService", ReasonTrailFull: "trailFull",
	ReasonNoOwner: "noOwner", ReasonUpstreamRemoved: "upstreamGone", ReasonZoneOutOfService: "zoneOut",
	ReasonNoCapacity: "noCapacity", ReasonUncertainOpening: "uncertainOpening",
	ReasonRefusedBefore: "refusedBefore", ReasonPaused: "paused", ReasonOverload: "overload",
	ReasonNotConfigured: "notConfigured", ReasonUnknownUpstream: "unknownUpstream",
}

// String returns the reason's name as used in metrics and dumps.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return "unknown"
}
