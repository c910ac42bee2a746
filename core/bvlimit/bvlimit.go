// Package bvlimit decides whether an upstream can take a new flow from this
// balancer.
//
// Each balancer of a zone has a fixed share of the limits of the zone's
// upstreams: the limit divided by the published number of balancers. Balancers
// do not coordinate, and the sum of their flows stays within the limit even
// when a partition makes each side see only its own balancers.
//
// A cold upstream gets new flows at a rate that rises over its warm-up. An
// upstream that appears unhealthy is ejected, unless more than a third of its
// service appears unhealthy. Under overload openings are shed by class.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	l := bvlimit.New(bvlimit.Options{})
//	l.SetUpstreams(now, "zone-a", upstreams, store.Balancers(now, "zone-a"))
//	l.SetShareEnabled(true)
//	if !l.Shed(service.Class) && l.Admit(now, u) {
//		l.Opened(now, u) // A flow has been placed on u.
//	}
//
// [Limiter.Opened] and [Limiter.Closed] are called for every entry of the
// flow table, also for one that was computed for a mid-flow packet. The flows
// of a failed balancer then count for the balancer that takes over.
package bvlimit

import (
	"cmp"
	"slices"
	"time"

	"balsamvane/core/bvconfig"
)

// Options configure a Limiter; zero values select the defaults.
type Options struct {
	RetransmitWindow   time.Duration // 5 s, over which retransmitted openings are counted.
	RetransmitMin      int           // 4: fewer retransmitted openings are ignored.
	RetransmitFraction float64       // 0.25: above it an upstream counts as cold.
	UnansweredFraction float64       // 0.75: above it an upstream counts as unhealthy.
	ProbeFailures      int           // 3 failed probes in a row.
	EjectFor           time.Duration // 10 s for unanswered openings.
	ReportAge          time.Duration // 6 s: older load reports are ignored.
	Burst              time.Duration // 500 ms of the share's rate, at least one flow.
	// EjectFraction is the largest part of a service that is ejected as
	// unhealthy. 1/3. A balancer whose only health signal is its own openings
	// may eject more, as long as other upstreams answer.
	EjectFraction float64

	// Tests switch off one mechanism each.
	liveBalancers  int  // Divide limits by this number instead of the published one.
	noRamp         bool // Cold upstreams get the warm rate.
	noRetransmits  bool // Retransmitted openings are ignored.
	trustReports   bool // A report of a warm upstream ends its ramp.
	shareAlways    bool // A joining balancer uses its share.
	noPanic        bool // Any number of upstreams may be ejected.
	noSpare        bool // Shares of connections are never exceeded.
	exemptIfNoWarm bool // Rates are not bounded if all upstreams are cold.
}

func (o Options) withDefaults() Options {
	o.RetransmitWindow = cmp.Or(o.RetransmitWindow, 5*time.Second)
	o.RetransmitMin = cmp.Or(o.RetransmitMin, 4)
	o.RetransmitFraction = cmp.Or(o.RetransmitFraction, 0.25)
	o.UnansweredFraction = cmp.Or(o.UnansweredFraction, 0.75)
	o.ProbeFailures = cmp.Or(o.ProbeFailures, 3)
	o.EjectFor = cmp.Or(o.EjectFor, 10*time.Second)
	o.ReportAge = cmp.Or(o.ReportAge, 6*time.Second)
	o.Burst = cmp.Or(o.Burst, 500*time.Millisecond)
	o.EjectFraction = cmp.Or(o.EjectFraction, 1.0/3)
	return o
}

// coldGrowth is the factor by which the rate of a cold upstream rises over its
// warm-up if the service sets no bound for warm upstreams.
const coldGrowth = 10

// Upstream describes an upstream and the limits of its service.
type Upstream struct {
	ID          bvconfig.UpstreamID
	Service     string
	Slots       uint32
	Connections uint32 // 0 sets no bound.
	// ColdRate and WarmRate bound the new flows per second over all balancers
	// at the start and at the end of WarmUp. A WarmRate of 0 sets no bound once
	// the upstream is warm.
	ColdRate float64
	WarmRate float64
	WarmUp   time.Duration
	// ConstantRate keeps the bound at ColdRate for the whole of WarmUp, and
	// applies it to each interval of a second. A balancer whose share is below
	// one flow then places none.
	ConstantRate bool
	Leaving      bool // The upstream is draining: it takes no new flows.
}

// UpstreamsOf returns the upstreams of a zone for [Limiter.SetUpstreams].
func UpstreamsOf(c bvconfig.Config, zone string) []Upstream {
	services := make(map[string]bvconfig.Service, len(c.Services))
	for _, s := range c.Services {
		services[s.Name] = s
	}
	var us []Upstream
	for _, u := range c.Upstreams {
		if u.Zone != zone {
			continue
		}
		s := services[u.Service]
		us = append(us, Upstream{
			ID: u.ID(), Service: u.Service, Slots: u.Slots, Connections: u.Connections, Leaving: u.Leaving,
			ColdRate: s.ColdFlowsPerSecond, WarmRate: s.WarmFlowsPerSecond, WarmUp: s.WarmUp,
		})
	}
	return us
}

// service holds the upstreams of a service in the zone.
type service struct {
	all       []*upstream
	available []*upstream // The upstreams that are not draining.
}

func (s *service) remove(x *upstream) {
	matches := func(o *upstream) bool { return o == x }
	s.all = slices.DeleteFunc(s.all, matches)
	s.available = slices.DeleteFunc(s.available, matches)
}

// upstream is the state of one upstream. Times count from Limiter.epoch.
type upstream struct {
	Upstream
	service      *service
	share        int // Share of Connections; -1 sets no bound.
	openFlows    int
	rampStart    time.Duration // Start of the ramp, the rise of the rate over WarmUp.
	tokens       float64       // New flows that the rate allows now.
	refilled     time.Duration // Time of the last update of tokens.
	rampAssumed  bool          // The ramp start is assumed and may be replaced by a peer's warm state.
	rampFromPeer bool
	window       [2]openings
	windowStart  time.Duration // Start of window[0].
	failures     int           // Failed probes in a row.
	ejectUntil   time.Duration
	reportedAt   time.Duration
	report       Report
	reported     bool
	unhealthy    bool
	// unanswered counts the openings in a row that were not answered.
	unanswered        int
	retransmits       int // The unanswered openings that the caller retransmitted.
	unresponsiveUntil time.Duration
	// placedAt holds the times of the flows in the last interval, if
	// ConstantRate is set.
	placedAt []time.Duration
}

// openings counts the openings sent to an upstream in one half of the window.
type openings struct {
	sent          int
	retransmitted int
}

// Limiter applies this balancer's share of the limits of the upstreams in its
// zone. It is not safe for concurrent use.
type Limiter struct {
	options             Options
	epoch               time.Time
	zone                string
	balancers           float64
	enabled             bool
	upstreams           map[bvconfig.UpstreamID]*upstream
	services            map[string]*service
	tableLevel          int // Classes that are shed because of the flow table's fill.
	queueTicks          int // Rises while the packet queue is over its bound, and falls otherwise.
	unansweredThreshold int
}

// New returns a limiter without upstreams. Its share is not enabled.
func New(o Options) *Limiter {
	return &Limiter{
		options: o.withDefaults(), balancers: 1, unansweredThreshold: DefaultUnansweredThreshold,
		upstreams: map[bvconfig.UpstreamID]*upstream{}, services: map[string]*service{},
	}
}

func (l *Limiter) sinceEpoch(now time.Time) time.Duration { return now.Sub(l.epoch) }

// SetUpstreams replaces the upstreams of this balancer's zone and the largest
// number of balancers recently published for the zone. New upstreams start
// cold; the others keep their state.
func (l *Limiter) SetUpstreams(now time.Time, zone string, us []Upstream, balancersInZoneMax int) {
	l.SetZone(now, zone, balancersInZoneMax)
	old := l.upstreams
	l.upstreams, l.services = make(map[bvconfig.UpstreamID]*upstream, len(us)), map[string]*service{}
	for _, u := range us {
		x := old[u.ID]
		if x == nil {
			x = l.newUpstream(now)
		}
		l.addToService(x, l.service(u.Service), u)
	}
}

// SetZone sets the balancer's zone and the number of balancers that share the
// limits of each upstream. [Limiter.SetUpstreams] calls it; otherwise call it
// before the first [Limiter.SetService].
func (l *Limiter) SetZone(now time.Time, zone string, balancers int) {
	if l.epoch.IsZero() {
		l.epoch = now
	}
	l.zone = zone
	n := max(balancers, 1)
	if l.options.liveBalancers > 0 {
		n = l.options.liveBalancers
	}
	l.balancers = float64(n)
}

// SetService replaces the upstreams of one service. Its cost does not depend on
// the other services. An upstream that was in another service keeps its state.
func (l *Limiter) SetService(now time.Time, name string, us []Upstream) {
	s := l.service(name)
	before := s.all
	s.all, s.available = nil, nil
	for _, x := range before {
		x.service = nil
	}
	for _, u := range us {
		x := l.upstreams[u.ID]
		if x == nil {
			x = l.newUpstream(now)
		} else if x.service != nil {
			x.service.remove(x)
		}
		l.addToService(x, s, u)
	}
	for _, x := range before {
		if x.service == nil {
			delete(l.upstreams, x.ID)
		}
	}
	if len(us) == 0 {
		delete(l.services, name)
	}
}

func (l *Limiter) service(name string) *service {
	s := l.services[name]
	if s == nil {
		s = &service{}
		l.services[name] = s
	}
	return s
}

func (l *Limiter) newUpstream(now time.Time) *upstream {
	at := l.sinceEpoch(now)
	return &upstream{rampStart: at, refilled: at, rampAssumed: true}
}

// addToService adds an upstream to a service and sets its limits.
func (l *Limiter) addToService(x *upstream, s *service, u Upstream) {
	x.Upstream, x.service = u, s
	x.share = -1
	if u.Connections > 0 {
		x.share = int(float64(u.Connections) / l.balancers)
	}
	s.all = append(s.all, x)
	if !u.Leaving {
		s.available = append(s.available, x)
	}
	l.upstreams[u.ID] = x
}

// SetShareEnabled sets whether this balancer may use its share. A joining
// balancer may not until its peers have reduced theirs.
func (l *Limiter) SetShareEnabled(enabled bool) {
	l.enabled = enabled
}
