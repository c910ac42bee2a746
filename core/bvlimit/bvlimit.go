// Package bvlimit decides whether an upstream can take a new flow from this
// balancer.
//
// Each balancer of a zone has a fixed share of the limits of the zone's
// upstreams: the limit divided by the published number of balancers. No
// balancer needs to know what the others do, and the sum stays within the
// limit also when a partition lets each side believe that it is alone.
//
// A cold upstream gets new flows at a rate that rises over its warm-up. An
// upstream that appears unhealthy is ejected, unless more than a third of its
// service appears so. Under overload openings are shed by class.
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
// flow table, also for one that was computed for a mid-flow packet: the flows
// of a balancer that is gone then count for the one that takes over.
package bvlimit

import (
	"cmp"
	"slices"
	"time"

	"balsamvane/core/bvconfig"
)

// Options are the constants of the rules; zero values select the defaults.
type Options struct {
	RetransmitWindow   time.Duration // 5 s.
	RetransmitMin      int           // 4: fewer retransmitted openings say nothing.
	RetransmitFraction float64       // 0.25: above it an upstream counts as cold.
	UnansweredFraction float64       // 0.75: above it an upstream counts as unhealthy.
	ProbeFailures      int           // 3 failed probes in a row.
	EjectFor           time.Duration // 10 s for unanswered openings.
	ReportAge          time.Duration // 6 s: older load reports are ignored.
	Burst              time.Duration // 500 ms of the share's rate, at least one flow.
	// EjectFraction is the largest part of a service that is left out as
	// unhealthy. 1/3; a balancer that judges only by its own openings may
	// leave out more, as long as others answer.
	EjectFraction float64

	// Tests switch off one mechanism each.
	liveBalancers  int  // Share by this number instead of the published one.
	noRamp         bool // Cold upstreams get the warm rate.
	noRetransmits  bool // Retransmitted openings are ignored.
	trustReports   bool // A report of a warm upstream ends its ramp.
	shareAlways    bool // A joining balancer uses its share.
	noPanic        bool // Any number of upstreams may be ejected.
	noSpare        bool // Shares of connections are never exceeded.
	exemptIfNoWarm bool // The budget is lifted if all upstreams are cold.
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

// coldGrowth is how far the rate of a cold upstream rises over its warm-up if
// the service sets no bound for warm ones.
const coldGrowth = 10

// Upstream is what the limiter needs to know of an upstream and its service.
type Upstream struct {
	ID          bvconfig.UpstreamID
	Service     string
	Slots       uint32
	Connections uint32 // 0 sets no bound.
	// ColdRate and Warm bound the new flows per second over all balancers at the
	// start and at the end of WarmUp. A Warm of 0 sets no bound once warm.
	ColdRate float64
	WarmRate float64
	WarmUp   time.Duration
	// ConstantRate keeps the bound at Cold for the whole of WarmUp, and in each span of
	// a second, so that a balancer whose share is below one flow places none.
	ConstantRate bool
	Leaving      bool
}

// UpstreamsOf returns the upstreams of a zone in the form that
// [Limiter.SetUpstreams] takes.
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
	all     []*upstream
	members []*upstream // Those that are not leaving.
}

func (s *service) remove(x *upstream) {
	is := func(o *upstream) bool { return o == x }
	s.all = slices.DeleteFunc(s.all, is)
	s.members = slices.DeleteFunc(s.members, is)
}

// upstream is the state of one upstream. Times are since Limiter.epoch.
type upstream struct {
	Upstream
	service    *service
	share      int // Of the connections; -1 sets no bound.
	open       int
	rampStart  time.Duration
	tokens     float64
	refilled   time.Duration
	learnable  bool // The ramp may be replaced by what peers know.
	learned    bool
	window     [2]openings
	windowAt   time.Duration // Start of window[0].
	failures   int
	ejectUntil time.Duration
	reportedAt time.Duration
	report     Report
	reported   bool
	bad        bool
	// silent counts the last openings in a row that stayed unanswered.
	silent      int
	repeated    int // Those among them that the caller repeated.
	silentUntil time.Duration
	// placed are the times of the flows in the last span, if the bound is flat.
	placed []time.Duration
}

// openings counts the openings sent to an upstream in a part of the window.
type openings struct {
	sent          int
	retransmitted int
}

// Limiter holds the limits, as far as this balancer's share of them goes, of
// the upstreams in its zone. It is not safe for concurrent use.
type Limiter struct {
	options    Options
	epoch      time.Time
	zone       string
	balancers  float64
	enabled    bool
	upstreams  map[bvconfig.UpstreamID]*upstream
	services   map[string]*service
	tableLevel int
	queueTicks int
	silentMin  int
}

// New returns a limiter without upstreams. Its share is not enabled.
func New(o Options) *Limiter {
	return &Limiter{
		options: o.withDefaults(), balancers: 1, silentMin: DefaultUnansweredThreshold,
		upstreams: map[bvconfig.UpstreamID]*upstream{}, services: map[string]*service{},
	}
}

func (l *Limiter) since(now time.Time) time.Duration { return now.Sub(l.epoch) }

// SetUpstreams takes the upstreams of this balancer's zone and the largest
// number of balancers published for it recently. New upstreams start cold;
// the others keep their state.
func (l *Limiter) SetUpstreams(now time.Time, zone string, us []Upstream, balancersInZoneMax int) {
	l.SetZone(now, zone, balancersInZoneMax)
	old := l.upstreams
	l.upstreams, l.services = make(map[bvconfig.UpstreamID]*upstream, len(us)), map[string]*service{}
	for _, u := range us {
		x := old[u.ID]
		if x == nil {
			x = l.newUpstream(now)
		}
		l.set(x, l.service(u.Service), u)
	}
}

// SetZone takes the balancer's zone and the number of balancers that share the
// limits of each upstream. [Limiter.SetUpstreams] does so as well; it comes
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

// SetService takes the upstreams of one service. Its cost does not depend on
// the other services. An upstream that was in another service keeps its state.
func (l *Limiter) SetService(now time.Time, name string, us []Upstream) {
	s := l.service(name)
	before := s.all
	s.all, s.members = nil, nil
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
		l.set(x, s, u)
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
	at := l.since(now)
	return &upstream{rampStart: at, refilled: at, learnable: true}
}

// set enters an upstream in its service.
func (l *Limiter) set(x *upstream, s *service, u Upstream) {
	x.Upstream, x.service = u, s
	x.share = -1
	if u.Connections > 0 {
		x.share = int(float64(u.Connections) / l.balancers)
	}
	s.all = append(s.all, x)
	if !u.Leaving {
		s.members = append(s.members, x)
	}
	l.upstreams[u.ID] = x
}

// SetShareEnabled tells whether this balancer may use its share. A joining
// balancer may not until its peers know of it.
func (l *Limiter) SetShareEnabled(enabled bool) {
	l.enabled = enabled
}
