package bvtoken

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"balsamvane/core/bvcatalog"
	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
)

// Explanation describes where an opening would go, and why.
type Explanation struct {
	Caller      netip.AddrPort `json:"caller"`
	Destination netip.AddrPort `json:"destination"`
	Zone        string         `json:"zone"` // Zone of the balancer.
	Verdict     string         `json:"verdict"`
	Reason      string         `json:"reason"`
	Explanation string         `json:"explanation"` // The reason as a clause.
	// Admission is empty if admission control is disabled or was not asked.
	Admission ExplainedAdmission `json:"admission,omitzero"`
	Route     *ExplainedRoute    `json:"route,omitempty"`
	// Service was chosen among those of the route.
	Service string `json:"service,omitempty"`
	// MeanLatency is that of the service's requests; absent if none was measured.
	MeanLatency string         `json:"meanLatency,omitempty"`
	Upstreams   UpstreamCounts `json:"upstreams,omitzero"`
	// Upstream is the chosen one; 0 if there is none.
	Upstream bvconfig.UpstreamID `json:"upstream,omitempty"`
	Address  netip.AddrPort      `json:"address,omitzero"`
	// RepeatedAt is the upstream at which an opening of the same flow already waits
	// for an answer; 0 if there is none.
	RepeatedAt bvconfig.UpstreamID `json:"repeatedAt,omitempty"`
	// Candidates are the upstreams with the lowest costs, in this order, and the
	// chosen one. Compared is the number of upstreams that were compared.
	Candidates []Candidate      `json:"candidates,omitempty"`
	Compared   int              `json:"compared"`
	Catalog    ExplainedCatalog `json:"catalog"`
}

// ExplainedAdmission is the verdict of admission control.
type ExplainedAdmission struct {
	Verdict string `json:"verdict"`
	Status  string `json:"status,omitempty"` // State of the service's admission control as text.
}

// ExplainedRoute describes the route of a destination.
type ExplainedRoute struct {
	Name       string `json:"name"`
	Idempotent bool   `json:"idempotent"`
	Objective  string `json:"objective,omitempty"` // Absent if none is configured.
	Timeout    string `json:"timeout,omitempty"`   // Absent if none is configured.
	// Priority is absent if none is configured, which is the lowest one.
	Priority *uint8             `json:"priority,omitempty"`
	Services []ExplainedBackend `json:"services"`
}

// ExplainedBackend is one service of a route.
type ExplainedBackend struct {
	Service string `json:"service"`
	Weight  uint32 `json:"weight"`
}

// UpstreamCounts counts the upstreams of a service by whether they take new flows.
type UpstreamCounts struct {
	Usable       int `json:"usable"`
	Unresponsive int `json:"unresponsive"`
	ColdLimited  int `json:"coldLimited"`
	Draining     int `json:"draining"`
	OutOfService int `json:"outOfService"` // In a zone out of service.
	// Unavailable counts entries that are unreadable or share their token with another
	// one.
	Unavailable int `json:"unavailable"`
}

// States of a candidate.
const (
	CandidateChosen       = "chosen"
	CandidateUsable       = "usable"
	CandidateBusy         = "busy"         // Skipped in the grace period, since its slots are in use.
	CandidateUnresponsive = "unresponsive" // It left the last openings unanswered.
	CandidateColdBudget   = "coldBudget"   // This balancer's share of its budget is used up.
)

// Candidate is an upstream that was compared for the flow, with the inputs of its
// cost.
type Candidate struct {
	ID      bvconfig.UpstreamID `json:"id"`
	Zone    string              `json:"zone"`
	Address netip.AddrPort      `json:"address"`
	State   string              `json:"state"`
	Cost    float64             `json:"cost"`
	Load    float64             `json:"load"` // Decaying count of requests.
	Open    int                 `json:"open"`
	Opening int                 `json:"opening"`
	Slots   uint32              `json:"slots"`
	// Latency is absent if none was measured. LatencyAge is the age of its last
	// measurement, and LatencyExcess its excess over the service's mean as it counts
	// at that age, as a fraction of the mean.
	Latency       string  `json:"latency,omitempty"`
	LatencyAge    string  `json:"latencyAge,omitempty"`
	LatencyExcess float64 `json:"latencyExcess"`
	Cold          bool    `json:"cold"`
	InZone        bool    `json:"inZone"`
	ZoneDown      bool    `json:"zoneDown"`
	// RejectionExcess is by how much its fraction of rejected requests exceeds that of
	// the service, as a part of the largest possible excess.
	RejectionExcess float64 `json:"rejectionExcess"`
	// Awaited is true if it has not answered one of the caller's last openings.
	Awaited bool `json:"awaited"`
}

// ExplainedCatalog describes the catalog that a decision is based on.
type ExplainedCatalog struct {
	Complete        bool   `json:"complete"`
	GracePeriodOver bool   `json:"gracePeriodOver"`
	Age             string `json:"age,omitempty"`          // Absent before the first listing.
	WatermarkAge    string `json:"watermarkAge,omitempty"` // Absent if no watermark is known.
	Version         uint64 `json:"version"`
	Revision        int64  `json:"revision"`
	Era             uint64 `json:"era"`
}

// maxExplained is the number of candidates in an explanation, without the chosen one.
const maxExplained = 5

// Explain returns where an opening from source to destination would go now, and why.
// It makes the decision on a copy of the router, so that it changes nothing.
func (r *Router) Explain(now time.Time, source, destination netip.AddrPort) Explanation {
	c := r.copy()
	c.trace = &trace{}
	p := Packet{Packet: bvflow.Packet{
		Tuple: bvflow.Tuple{Source: source, Destination: destination, Protocol: bvflow.ProtocolTCP},
		Phase: bvflow.PhaseOpening, ArrivedAfter: now,
	}}
	k := c.hasher.Key(p.Tuple)
	c.refresh(now)
	c.expire(now, p)
	x := Explanation{Caller: source, Destination: destination, Zone: r.options.Zone, Catalog: c.explainCatalog(now)}
	if route, ok := c.catalog.Route(destination); ok {
		x.Route, x.Service = explainRoute(route), c.pickService(k, route)
		x.describeService(now, c.services[x.Service], c.catalog)
	}
	if o, ok := c.pending.get(k); ok {
		x.RepeatedAt = o.upstream
	}
	awaited := c.awaitedUpstreams(source.Addr())
	d := c.routeOpening(now, k, p, false)
	x.Verdict, x.Reason, x.Explanation = d.Verdict.String(), d.Reason.String(), d.Reason.Explanation()
	x.Upstream, x.Address, x.Admission = d.Upstream, d.Address, c.trace.admission
	x.Compared = len(c.trace.compared)
	for _, u := range leastCosts(c.trace.compared, d.Upstream) {
		y := c.explainCandidate(now, u, d.Upstream)
		y.Awaited = slices.Contains(awaited[:], y.ID)
		x.Candidates = append(x.Candidates, y)
	}
	return x
}

// leastCosts returns the upstreams with the lowest costs, and the chosen one.
func leastCosts(us []comparedUpstream, chosen bvconfig.UpstreamID) []comparedUpstream {
	slices.SortStableFunc(us, func(a, b comparedUpstream) int { return cmp.Compare(a.cost, b.cost) })
	n := min(len(us), maxExplained)
	i := slices.IndexFunc(us, func(u comparedUpstream) bool { return u.target.entry.ID == chosen })
	if i < n {
		return us[:n]
	}
	return append(us[:n:n], us[i])
}

func (r *Router) explainCandidate(now time.Time, u comparedUpstream, chosen bvconfig.UpstreamID) Candidate {
	t, e := u.target, u.target.entry
	x := Candidate{
		ID: e.ID, Zone: e.Zone, Address: e.Address, State: r.candidateState(now, t, chosen), Cost: u.cost,
		Load: u.load.requests(now), Open: u.load.open, Opening: u.load.opening, Slots: e.Slots,
		LatencyExcess: u.load.latencyExcess(now, t.service.meanLatency),
		Cold:          e.Cold(now), InZone: t.inZone, ZoneDown: t.zone.down(now),
		RejectionExcess: r.rejectionExcess(now, t),
	}
	if u.load.latency != 0 {
		x.Latency, x.LatencyAge = describeDuration(u.load.latency), describeDuration(now.Sub(u.load.measuredAt))
	}
	return x
}

// candidateState returns whether an upstream that was compared could have been chosen.
func (r *Router) candidateState(now time.Time, t *target, chosen bvconfig.UpstreamID) string {
	id := t.entry.ID
	switch {
	case id == chosen:
		return CandidateChosen
	case !r.catalog.GracePeriodOver() && t.busy():
		return CandidateBusy
	case r.limiter.Admits(now, id):
		return CandidateUsable
	}
	if _, unresponsive := r.limiter.BlockedUntil(now, id); unresponsive {
		return CandidateUnresponsive
	}
	return CandidateColdBudget
}

// describeService sets the state of the chosen service, which is nil if it has no
// upstreams.
func (x *Explanation) describeService(now time.Time, s *serviceTargets, c *bvcatalog.Catalog) {
	if s == nil {
		return
	}
	if s.meanLatency != 0 {
		x.MeanLatency = describeDuration(s.meanLatency)
	}
	s.pools.resume(now)
	for _, t := range s.all {
		x.Upstreams.add(t, c)
	}
}

func (n *UpstreamCounts) add(t *target, c *bvcatalog.Catalog) {
	switch {
	case t.state == stateUsable:
		n.Usable++
	case t.state == stateUnresponsive:
		n.Unresponsive++
	case t.state == stateColdLimited:
		n.ColdLimited++
	case t.entry.Draining:
		n.Draining++
	case c.ZoneOutOfService(t.entry.Zone):
		n.OutOfService++
	default:
		n.Unavailable++
	}
}

func explainRoute(r bvcatalog.Route) *ExplainedRoute {
	x := &ExplainedRoute{Name: r.Name, Idempotent: r.Idempotent}
	if r.Objective > 0 {
		x.Objective = r.Objective.String()
	}
	if r.Timeout > 0 {
		x.Timeout = r.Timeout.String()
	}
	if r.Priority != bvcatalog.LowestPriority {
		x.Priority = &r.Priority
	}
	for _, b := range r.Backends {
		x.Services = append(x.Services, ExplainedBackend(b))
	}
	return x
}

func (r *Router) explainCatalog(now time.Time) ExplainedCatalog {
	c := r.catalog
	x := ExplainedCatalog{
		Complete: c.Complete(), GracePeriodOver: c.GracePeriodOver(),
		Version: c.Version(), Revision: c.Revision().Number, Era: c.Revision().Era,
	}
	if c.Complete() {
		x.Age = describeDuration(c.Age(now))
	}
	if w := c.Watermark(); !w.IsZero() {
		x.WatermarkAge = describeDuration(now.Sub(w))
	}
	return x
}

// describeDuration formats a measured duration.
func describeDuration(d time.Duration) string { return d.Round(10 * time.Microsecond).String() }
