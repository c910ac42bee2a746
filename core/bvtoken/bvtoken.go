// Package bvtoken decides where a packet goes if its header has a field that
// both ends of a flow return: the token of the flow's upstream.
//
// The balancer that gets an opening packet chooses the upstream and writes its
// token into the packet. Every later packet of the flow carries the token, so
// any balancer can send it to the same upstream without an entry for the flow
// and without messages between balancers. Restarts, joins and losses of
// balancers move no flow. core/bvroute decides for packets without such a
// field, from entries at owners and replicas.
//
// What the router keeps is only for better choices: which openings wait for an
// answer, and how many requests each upstream has got from this balancer. It
// can be lost at any time.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	r := bvtoken.New(bvtoken.Options{Zone: "zone-a"}, catalog)
//	d := r.Route(now, packet)
//	switch d.Verdict {
//	case bvtoken.VerdictForward: // Send to d.Address for d.Upstream, with d.Token.
//	case bvtoken.VerdictReset: // Answer the caller with a reset.
//	case bvtoken.VerdictDrop: // Count d.Reason.
//	}
package bvtoken

import (
	"cmp"
	"net/netip"
	"time"

	"balsamvane/core/bvcatalog"
	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvlimit"
)

// Packet is what the decision needs to know of a caller's packet.
type Packet struct {
	bvflow.Packet
	// Token is 0 in the opening packet.
	Token bvcatalog.Token
	// Acknowledged is the caller's acknowledgement number.
	Acknowledged uint32
	// Retransmissions counts the repetitions of an opening packet by the caller.
	Retransmissions uint32
}

// Verdict is what to do with a packet.
type Verdict uint8

// The verdicts.
const (
	VerdictDrop Verdict = iota
	VerdictForward
	VerdictReset
)

// String returns the verdict as a word.
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

// Decision tells what to do with a packet and why.
type Decision struct {
	Verdict  Verdict
	Reason   Reason
	Upstream bvconfig.UpstreamID
	Address  netip.AddrPort
	Token    bvcatalog.Token
	// Sequence is the sequence number for a reset.
	Sequence uint32
}

// Options are the constants of the rules; zero values select the defaults.
type Options struct {
	// Zone is the balancer's own zone, whose upstreams come first.
	Zone string
	// Seed is the seed of the flow hash.
	Seed uint64
	// MaxStaleness is the age of the catalog up to which a missing route or
	// upstream shows that there is none. 2.8 s.
	MaxStaleness time.Duration
	// AnswerTimeout is how long a caller waits for the answer to an opening.
	// 1.4 s.
	AnswerTimeout time.Duration
	// RequestTimeout is how long a request may wait for its answer until it is
	// no longer counted. 3 s.
	RequestTimeout time.Duration
	// MaxPending bounds the openings of known callers, those of others, and the
	// requests that are remembered until they are answered. 4,096 each.
	MaxPending int
	// ColdBalancers is the number of balancers that share the budget of a cold
	// upstream; 0 if this one places no flows there.
	ColdBalancers int
	// ColdFactor and ColdSlack give the flows per second that a cold upstream
	// bears at most, from the rate that is declared for it. 1 and 0.
	ColdFactor float64
	ColdSlack  float64
}

func (o Options) withDefaults() Options {
	o.MaxStaleness = cmp.Or(o.MaxStaleness, 2800*time.Millisecond)
	o.AnswerTimeout = cmp.Or(o.AnswerTimeout, 1400*time.Millisecond)
	o.RequestTimeout = cmp.Or(o.RequestTimeout, 3*time.Second)
	o.MaxPending = cmp.Or(o.MaxPending, 4096)
	o.ColdFactor = cmp.Or(o.ColdFactor, 1)
	return o
}

// target is an upstream as the router sees it.
type target struct {
	entry   *bvcatalog.Entry
	service *serviceTargets
	zone    *zoneSigns
	load    load
	signs   signs
	// unfollowed counts the openings in a row whose callers did not go on.
	unfollowed int
	inZone     bool
	coldSeen   time.Time // ColdUntil that the limiter was told.
	standing   standing
	index      int       // In the list that standing tells.
	until      time.Time // Until when it is left out.
}

// serviceTargets are the upstreams of a service.
type serviceTargets struct {
	all    []*target
	choice choice // Of those that may take new flows.
	// usual is the mean latency of the service's requests; 0 if none was
	// measured.
	usual time.Duration
}

// Router decides for one balancer. It is not safe for concurrent use.
type Router struct {
	options    Options
	catalog    *bvcatalog.Catalog
	limiter    *bvlimit.Limiter
	hasher     bvflow.Hasher
	generation uint64
	built      bool
	targets    map[bvconfig.UpstreamID]*target
	services   map[string]*serviceTargets
	pending    openings
	requests   requests
	handshake  handshake
	followUps  followUps
	recent     recent
	unknowns   map[bvcatalog.Token]time.Time // When a token without upstream was seen first.
	evidence   evidence
	// compared counts the upstreams that were compared for new flows, which is
	// what openings cost.
	compared uint64
	zones    map[string]*zoneSigns
}

// New returns a router that decides by the catalog, which its user keeps up to
// date.
func New(o Options, c *bvcatalog.Catalog) *Router {
	o = o.withDefaults()
	return &Router{
		options: o, catalog: c,
		limiter: bvlimit.New(bvlimit.Options{EjectFraction: 1}),
		hasher:  bvflow.NewHasher(o.Seed),
		targets: map[bvconfig.UpstreamID]*target{}, services: map[string]*serviceTargets{},
		unknowns: map[bvcatalog.Token]time.Time{}, zones: map[string]*zoneSigns{},
		pending: newOpenings(o.MaxPending), requests: newRequests(o.MaxPending),
	}
}
