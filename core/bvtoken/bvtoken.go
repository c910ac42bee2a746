// Package bvtoken routes packets of protocols whose header has a field that both
// ends of a flow echo. The field carries the token of the flow's upstream.
//
// The balancer that receives an opening packet chooses the upstream and writes
// its token into the packet. Every later packet of the flow carries the token,
// so any balancer can forward it to the same upstream without a flow entry and
// without messages between balancers. Flows keep their upstream when balancers
// restart, join or fail. core/bvroute routes packets without such a field, from
// entries at owners and replicas.
//
// The router's own state only improves its choices: the openings that wait for
// an answer, and the number of requests that this balancer has sent to each
// upstream. It can be lost at any time.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	r := bvtoken.New(bvtoken.Options{Zone: "zone-a"}, catalog)
//	packet.ArrivedAfter = routedUntil
//	d := r.Route(now, packet)
//	switch d.Verdict {
//	case bvtoken.VerdictForward: // Send to d.Address for d.Upstream, with d.Token.
//	case bvtoken.VerdictReset: // Answer the caller with a reset.
//	case bvtoken.VerdictDrop: // Count d.Reason.
//	}
//	r.Sent(later) // Once the packets have been written.
//	for _, h := range r.AppendHedges(nil, now, routedUntil) {
//		// Send the opening of h.Slot to h.Address as well, with h.Token.
//	}
package bvtoken

import (
	"cmp"
	"net/netip"
	"time"

	"balsamvane/core/bvadmit"
	"balsamvane/core/bvcatalog"
	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvlimit"
)

// Packet holds the fields of a caller's packet that routing depends on.
type Packet struct {
	bvflow.Packet
	// Token is 0 in the opening packet.
	Token bvcatalog.Token
	// Acknowledged is the caller's acknowledgement number.
	Acknowledged uint32
	// Retransmissions counts how often the caller has retransmitted an opening
	// packet.
	Retransmissions uint32
}

// Verdict is the action to take on a packet.
type Verdict uint8

// The actions on a packet.
const (
	VerdictDrop Verdict = iota
	VerdictForward
	VerdictReset
)

// String returns the verdict in lower case.
func (v Verdict) String() string {
	switch v {
	case VerdictForward:
		return "forward"
	case VerdictReset:
		return "reset"
	default:
		return "drop"
	}
}

// Decision is the action to take on a packet and the reason for it.
type Decision struct {
	Verdict  Verdict
	Reason   Reason
	Upstream bvconfig.UpstreamID
	Address  netip.AddrPort
	Token    bvcatalog.Token
	// Sequence is the sequence number for a reset.
	Sequence uint32
	// Evidence is set if the flow is reset because its upstream does not answer.
	Evidence Evidence
	// HedgeSlot is the number, from 1 up to a small bound, under which an opening may
	// be hedged later; 0 if it will not be. A later opening may take over the number.
	HedgeSlot int
	// Refusal is set if admission control refused the opening.
	Refusal Refusal
}

// Refusal describes an opening that admission control refused.
type Refusal struct {
	Service  string
	Priority uint8
	Verdict  bvadmit.Verdict
}

// Options configure a Router; zero values select the defaults.
type Options struct {
	// Zone is the balancer's own zone, whose upstreams are preferred.
	Zone string
	// Seed is the seed of the flow hash.
	Seed uint64
	// MaxStaleness is the age of the catalog up to which a new flow is refused if
	// the catalog has no route for it. 2.8 s.
	MaxStaleness time.Duration
	// AnswerTimeout is how long a caller waits for the answer to an opening.
	// 1.4 s.
	AnswerTimeout time.Duration
	// RequestTimeout is how long a request counts as open without an answer.
	// 3 s.
	RequestTimeout time.Duration
	// MaxPending bounds each of three tables of unanswered packets: openings of
	// known callers, openings of other callers, and requests. 4,096 each.
	MaxPending int
	// ColdBalancers is the number of balancers that share the budget of a cold
	// upstream; 0 if this one places no flows there.
	ColdBalancers int
	// ColdFactor and ColdSlack give the maximum rate of new flows per second for
	// a cold upstream: its declared rate times ColdFactor, plus ColdSlack. 1 and 0.
	ColdFactor float64
	ColdSlack  float64
	// Admission is true if openings are refused while their service is short of
	// capacity.
	Admission bool
	// Responses is true if rejections and the latency of zones are measured and used for
	// new flows. Routes without a latency objective are not affected.
	Responses bool
	// HedgeFraction and HedgeBurst limit the openings of idempotent routes that are sent
	// to a second upstream; see [bvhedge.Options]. None are sent if one of them is 0.
	HedgeFraction float64
	HedgeBurst    int
}

func (o Options) withDefaults() Options {
	o.MaxStaleness = cmp.Or(o.MaxStaleness, 2800*time.Millisecond)
	o.AnswerTimeout = cmp.Or(o.AnswerTimeout, 1400*time.Millisecond)
	o.RequestTimeout = cmp.Or(o.RequestTimeout, 3*time.Second)
	o.MaxPending = cmp.Or(o.MaxPending, 4096)
	o.ColdFactor = cmp.Or(o.ColdFactor, 1)
	return o
}

// target is an upstream with the router's measurements of it.
type target struct {
	entry   *bvcatalog.Entry
	service *serviceTargets
	zone    *zoneHealth
	load    load
	unacked unackedRun
	// rejections and zoneLatency are about requests of routes with an objective.
	rejections  rejections
	zoneLatency *zoneLatency
	// incompleteRun counts consecutive openings whose callers sent no further
	// packet.
	incompleteRun    int
	inZone           bool
	limiterColdUntil time.Time // ColdUntil as last passed to the limiter.
	state            selectionState
	index            int       // Position in the list that state selects.
	suspendedUntil   time.Time // End of the suspension.
}

// serviceTargets are the upstreams of a service.
type serviceTargets struct {
	name  string
	all   []*target
	pools upstreamPools // The upstreams that may take new flows.
	// meanLatency is the mean latency of the service's requests; 0 if none was
	// measured.
	meanLatency time.Duration
	controller  *bvadmit.Controller
	rejections  serviceRejections
	zones       map[string]*zoneLatency
	ownZone     *zoneLatency
	otherZones  []*zoneLatency
}

// Router makes the decisions of one balancer. It is not safe for concurrent use.
type Router struct {
	options    Options
	catalog    *bvcatalog.Catalog
	limiter    *bvlimit.Limiter
	hasher     bvflow.Hasher
	generation uint64 // The catalog's generation at the last refresh.
	built      bool   // False if the next refresh must apply all services.
	targets    map[bvconfig.UpstreamID]*target
	services   map[string]*serviceTargets
	pending    openings
	requests   requests
	responses  responses
	routes     map[netip.AddrPort]*routeResponses
	// noRoute stands for the routes that the catalog lacks.
	noRoute *routeResponses
	counts  requestCounts
	// unsent holds the flows whose last packet has not been sent yet.
	unsent     []bvflow.Key
	batch      uint64         // Number of the batch of packets that is being routed.
	newestSent time.Time      // When a packet that upstreams answer was last sent.
	answered   newestAnswered // Of the packets to all upstreams.
	// lostPacketAt is when an upstream last answered after it had left packets
	// unacknowledged, which then were lost on their way.
	lostPacketAt time.Time
	// noAnswerSince is when the first packet since the last answer was sent; zero if
	// none was.
	noAnswerSince  time.Time
	handshake      handshakeTime
	incompleteRuns incompleteRuns
	recent         recentOpenings
	refused        refusedCallers
	seen           seenFlows
	removed        removedUpstreams
	reachability   reachability
	// compared counts the upstreams that were compared for new flows. It measures
	// the cost of openings.
	compared uint64
	trace    *trace // Nil unless an opening is being explained.
	zones    map[string]*zoneHealth
	// zoneLimit is the number of zones above which those without upstreams are removed.
	zoneLimit int
	hedging   *hedging // Nil if no openings are hedged.
}

// New returns a router that reads the catalog c. The router's user keeps c up to
// date.
func New(o Options, c *bvcatalog.Catalog) *Router {
	o = o.withDefaults()
	return &Router{
		options: o, catalog: c,
		limiter: bvlimit.New(bvlimit.Options{EjectFraction: 1}),
		hasher:  bvflow.NewHasher(o.Seed),
		targets: map[bvconfig.UpstreamID]*target{}, services: map[string]*serviceTargets{},
		seen: newSeenFlows(), zones: map[string]*zoneHealth{}, zoneLimit: minZoneLimit,
		removed: removedUpstreams{},
		pending: newOpenings(o.MaxPending), requests: newRequests(o.MaxPending),
		responses: newResponses(o.MaxPending),
		routes:    map[netip.AddrPort]*routeResponses{}, noRoute: &routeResponses{RequestPolicy: bvcatalog.NewRequestPolicy(0, 0, bvcatalog.LowestPriority)},
		hedging: newHedging(o),
	}
}
