package bvtoken

import (
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvhedge"
)

// Hedge is the decision to send an opening to a second upstream.
type Hedge struct {
	Decision
	Tuple bvflow.Tuple
	// Slot is the HedgeSlot of the decision on the opening.
	Slot int
	// First is the upstream that has not answered the opening within Waited.
	First  bvconfig.UpstreamID
	Waited time.Duration
}

// HedgeCounts are the counters of hedged openings.
type HedgeCounts struct {
	bvhedge.Counts
	// Won and Lost count the hedges after which the caller's first packet had the
	// token of the second and of the first upstream. Unanswered counts those whose
	// caller repeated or abandoned its opening, or whose opening was evicted.
	Won, Lost, Unanswered uint64
}

// hedgeSlots bounds the openings that may be hedged. When there are more, the oldest
// of them are not.
const hedgeSlots = 1024

// hedgeCandidate is an opening that may be hedged.
type hedgeCandidate struct {
	key      bvflow.Key
	at       time.Time // When it was placed.
	tuple    bvflow.Tuple
	sequence uint32
}

// hedging is the state of hedged openings. The candidates are a ring in the order of
// their time.
type hedging struct {
	budget     *bvhedge.Budget
	counts     HedgeCounts // Without those of the budget.
	candidates [hedgeSlots]hedgeCandidate
	head, size int
	flows      hedgedFlows
	// unsent holds the flows whose hedge has not been sent yet. Hedges do not count as
	// the newest packet sent: the next opening would then not be suspected in time.
	unsent []bvflow.Key
}

// newHedging returns nil if the options allow no hedges.
func newHedging(o Options) *hedging {
	b := bvhedge.Options{Fraction: o.HedgeFraction, Burst: o.HedgeBurst}
	if !b.Enabled() {
		return nil
	}
	return &hedging{budget: bvhedge.New(b), flows: newHedgedFlows()}
}

// push adds a candidate and returns its slot, counted from 1.
func (h *hedging) push(c hedgeCandidate) int {
	if h.size == hedgeSlots {
		h.pop()
	}
	i := (h.head + h.size) % hedgeSlots
	h.candidates[i] = c
	h.size++
	return i + 1
}

func (h *hedging) pop() {
	h.head = (h.head + 1) % hedgeSlots
	h.size--
}

// offerHedge adds the opening p, which has been placed on t, to the budget, and to the
// candidates if it may be hedged. It returns its slot, or 0. idempotent tells whether the
// requests of its route may be repeated. repeated is true if the flow may have been opened
// before: by the same opening, or from the same port.
//
// An upstream may run the data of an opening, so an opening with data is not hedged.
func (r *Router) offerHedge(now time.Time, k bvflow.Key, p Packet, t *target, idempotent, repeated bool) int {
	h := r.hedging
	if h == nil {
		return 0
	}
	h.flows.recordOpening(now, k, p, t.entry.Token)
	if repeated || p.Retransmissions > 0 {
		return 0
	}
	h.budget.Offer()
	if !idempotent || p.Payload > 0 {
		return 0
	}
	return h.push(hedgeCandidate{key: k, at: now, tuple: p.Tuple, sequence: p.Sequence})
}

// awaited returns the pending opening of a candidate, if it may still be hedged.
func (r *Router) awaited(now time.Time, c *hedgeCandidate) (opening, bool) {
	o, ok := r.pending.get(c.key)
	ok = ok && o.at.Equal(c.at) && !o.repeated && o.hedge == 0 && now.Sub(o.at) < r.options.AnswerTimeout
	return o, ok
}

// nextCandidate returns the slot and the opening of the oldest candidate that may still
// be hedged, and removes those before it.
func (r *Router) nextCandidate(now time.Time) (i int, o opening, ok bool) {
	for h := r.hedging; h.size > 0; h.pop() {
		if o, ok = r.awaited(now, &h.candidates[h.head]); ok {
			return h.head, o, true
		}
	}
	return 0, opening{}, false
}

// AppendHedges appends the hedges of the openings that were not answered within the
// usual time of a handshake. All packets that had arrived by routedUntil must have been
// routed: an answer that waits to be read is not a missing one. Each hedge must be sent.
func (r *Router) AppendHedges(out []Hedge, now, routedUntil time.Time) []Hedge {
	if r.hedging == nil || r.hedging.size == 0 {
		return out
	}
	r.refresh(now)
	for {
		i, o, ok := r.nextCandidate(now)
		if !ok || !r.suspected(o.sentAt, routedUntil) {
			return out
		}
		c := r.hedging.candidates[i]
		r.hedging.pop()
		if d, ok := r.hedge(now, c, o); ok {
			out = append(out, Hedge{Decision: d, Tuple: c.tuple, Slot: i + 1, First: o.upstream, Waited: now.Sub(o.sentAt)})
		}
	}
}

// HedgeDue returns when the oldest opening that may be hedged is due, or false if
// there is none.
func (r *Router) HedgeDue(now time.Time) (time.Time, bool) {
	if r.hedging == nil {
		return time.Time{}, false
	}
	_, o, ok := r.nextCandidate(now)
	if o.sentAt.IsZero() {
		o.sentAt = o.at
	}
	return o.sentAt.Add(r.handshake.timeout()), ok
}

// HedgeCounts returns the counters of hedged openings.
func (r *Router) HedgeCounts() HedgeCounts {
	if r.hedging == nil {
		return HedgeCounts{}
	}
	c := r.hedging.counts
	c.Counts = r.hedging.budget.Counts()
	return c
}

// hedge chooses a second upstream for an opening. It reports false if there is none
// that is likely to answer, or if the budget is used up.
func (r *Router) hedge(now time.Time, c hedgeCandidate, o opening) (Decision, bool) {
	first, ok := r.targets[o.upstream]
	route, routed := r.catalog.Route(c.tuple.Destination)
	if !ok || !routed || !route.Idempotent || !r.catalog.GracePeriodOver() || r.shortOfCapacity(now, first.service) {
		return Decision{}, false
	}
	// The limiter counts the choice of an upstream as an opening, so it comes last.
	if !r.hedging.flows.hasRoom(now, c.key) || !r.hedging.budget.Take() {
		return Decision{}, false
	}
	f := newFlow{key: c.key, service: first.service, unansweredBy: o.upstream, awaiting: r.awaitedUpstreams(c.tuple.Source.Addr()), policy: route.RequestPolicy}
	t := r.pickHedge(now, f)
	if t == nil {
		r.hedging.budget.Return()
		return Decision{}, false
	}
	t.load.opening++
	r.hedging.unsent = append(r.hedging.unsent, c.key)
	r.pending.recordHedge(c.key, r.hedging.flows.add(now, c, first.entry.Token, t.entry))
	return forward(t.entry, ReasonHedged), true
}

// shortOfCapacity reports whether admission control finds a service short of capacity.
func (r *Router) shortOfCapacity(now time.Time, s *serviceTargets) bool {
	return r.options.Admission && s.admission().Short(now)
}

// pickHedge returns the usable upstream with the lowest cost for the hedge of a flow,
// or nil. A hedge takes no capacity that is scarce: it goes to no cold upstream and to
// none whose slots this balancer uses up.
func (r *Router) pickHedge(now time.Time, f newFlow) *target {
	f.setUsual()
	f.service.pools.resume(now)
	var cs candidates
	cs.draw(&f.service.pools, f.key, 0)
	r.compared += uint64(cs.n)
	r.setFixedCosts(now, &f, &cs)
	for t := r.popBest(now, &f, &cs); t != nil; t = r.popBest(now, &f, &cs) {
		id := t.entry.ID
		if id == f.unansweredBy || t.entry.Cold(now) || t.busy() || t.zone.down(now) || r.limiter.Unresponsive(id) {
			continue
		}
		if r.limiter.Admit(now, id) {
			return t
		}
	}
	return nil
}

// avoidHedged makes the repeated opening of a flow avoid the upstream of its hedge, as
// well as the first upstream.
func (r *Router) avoidHedged(f *newFlow) {
	if r.hedging == nil || f.unansweredBy == 0 {
		return
	}
	if o, _ := r.pending.get(f.key); o.hedge != 0 {
		f.awaiting[openingsPerCaller-1] = r.hedging.flows.slots[o.hedge-1].second
	}
}

// routeCopy forwards a late copy of the opening of a hedged flow to the flow's upstream.
func (r *Router) routeCopy(now time.Time, k bvflow.Key, p Packet) (Decision, bool) {
	if r.hedging == nil {
		return Decision{}, false
	}
	t, ok := r.hedging.flows.isCopy(now, k, p, r.options.AnswerTimeout)
	if !ok {
		return Decision{}, false
	}
	e := r.catalog.ByToken(t)
	if e == nil || !e.Address.IsValid() || e.Removed() {
		return Decision{}, false
	}
	return forward(e, ReasonToken), true
}

// releaseHedge removes the hedge of an opening that is no longer awaited from the load
// of the second upstream.
func (r *Router) releaseHedge(o opening) {
	if o.hedge == 0 {
		return
	}
	x := &r.hedging.flows.slots[o.hedge-1]
	x.awaited = false
	if t := r.targets[x.second]; t != nil {
		t.load.opening = max(t.load.opening-1, 0)
	}
	if !o.completed {
		r.hedging.counts.Unanswered++
	}
}

// recordHedgesSent records that all hedges were sent by now.
func (r *Router) recordHedgesSent(now time.Time) {
	if r.hedging == nil {
		return
	}
	for _, k := range r.hedging.unsent {
		if x := r.hedging.flows.get(now, k); x != nil {
			x.sentAt = now
		}
	}
	r.hedging.unsent = r.hedging.unsent[:0]
}

// recordHedgeOutcome records that the caller of an opening has sent its first packet p
// to the upstream t, which therefore has answered. The upstream of a hedge that was not
// answered first is not at fault: it had less time.
func (r *Router) recordHedgeOutcome(now time.Time, t *target, o opening, p Packet) {
	if o.hedge == 0 {
		return
	}
	x := &r.hedging.flows.slots[o.hedge-1]
	switch t.entry.ID {
	case x.second:
		r.hedging.counts.Won++
		t.load.add(now, 1) // The request that the opening counts for.
		if !x.sentAt.IsZero() {
			r.recordAnswered(t, x.sentAt)
		}
		if first := r.targets[o.upstream]; first != nil {
			r.recordRetransmission(now, first, p, o.sentAt, o.counted)
		}
	case o.upstream:
		r.hedging.counts.Lost++
	default:
		r.hedging.counts.Unanswered++
	}
}
