// Package bvstandcaller stands in for the callers of a group: it opens feeds,
// submits tickets, downloads certificates and reads summaries, and checks
// every answer as a whole. Its source addresses are in 10.0.0.0/8 (fd00::/64
// for IPv6) and exist only inside the packets that it sends to the fabric.
//
// # Usage
//
//	c := bvstandcaller.New(options, traffic, clockwork.NewRealClock(), zap.NewNop())
//	report, err := c.Run(ctx)
//
// HTTP on the control address: POST /zone?state=out|in&health=ip:port,…
// (tells which upstreams a zone that is taken out has), GET
// /reached?whole=N&feeds=M (200 once N requests are whole and M feeds are
// open, else 503), GET /report (the counts so far).
package bvstandcaller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"balsamvane/standin/bvwire"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
)

const (
	tickInterval = 10 * time.Millisecond
	// feedSilence breaks a feed; upstreams send every 200 ms.
	feedSilence = 10 * time.Second
	// zoneGrace is how long after the end of the run a flow that ends in a
	// zone taken out may still complete before it counts as given up.
	zoneGrace = 4 * time.Second
)

// Options describe the caller.
type Options struct {
	Listen    netip.AddrPort // Answers of upstreams, refusals from the fabric.
	Fabric    netip.AddrPort
	Control   netip.AddrPort
	Duration  time.Duration // Time in which new requests start.
	Grace     time.Duration // Longest wait for open requests after it.
	FeedRamp  time.Duration // Time over which the feeds open.
	WarmUp    time.Duration // Refusals in this time are counted apart.
	Seed      uint64
	CountsDir string // Counts files of upstreams that have stopped.
}

// Traffic is the content of the services file.
type Traffic struct {
	Services []Service `yaml:"services"`
	// Upstreams are health addresses to read counts from at the end.
	Upstreams []netip.AddrPort `yaml:"upstreams"`
}

// Service is a service and the traffic to it.
type Service struct {
	Name                  string         `yaml:"name"`
	Address               netip.AddrPort `yaml:"address"`
	VNI                   uint32         `yaml:"vni"`
	Protocol              string         `yaml:"protocol"` // tcp (default) or udp; udp has no feeds.
	Feeds                 int            `yaml:"feeds"`
	TicketsPerSecond      float64        `yaml:"ticketsPerSecond"`
	CertificatesPerSecond float64        `yaml:"certificatesPerSecond"`
	SummariesPerSecond    float64        `yaml:"summariesPerSecond"`
	// Deadline is passed on with each request but feeds; none if 0.
	Deadline time.Duration `yaml:"deadline"`
	// RetransmitAfter is the time before a request over UDP is sent again;
	// 200 ms if 0.
	RetransmitAfter time.Duration `yaml:"retransmitAfter"`
}

// Caller is a running stand-in.
type Caller struct {
	options Options
	traffic Traffic
	clock   clockwork.Clock
	log     *zap.Logger
	random  *rand.Rand
	socket  *net.UDPConn
	send    func(bvwire.Segment) // Sends to the fabric; tests replace it.

	mu        sync.Mutex
	startedAt time.Time
	flows     map[netip.AddrPort]*flow // By source address.
	all       []*flow
	arrivals  []*arrival
	zones     map[netip.AddrPort]*outage // By tunnel address of upstreams.
}

// arrival is a stream of requests of one kind.
type arrival struct {
	service Service
	verb    string
	mean    time.Duration
	next    time.Time
	left    int // Requests still to come; -1 for no bound.
	number  int
	// random is of the arrival's own, so that the number of requests does not
	// depend on timing; nil for feeds, which open evenly.
	random *rand.Rand
}

// outage is the time in which an upstream's zone was out of service.
type outage struct {
	from, to time.Time // to is zero while it lasts.
}

// New returns a caller that has not started.
func New(o Options, t Traffic, clock clockwork.Clock, log *zap.Logger) *Caller {
	c := &Caller{
		options: o, traffic: t, clock: clock, log: log,
		random: rand.New(rand.NewPCG(o.Seed, 2)),
		flows:  map[netip.AddrPort]*flow{}, zones: map[netip.AddrPort]*outage{},
	}
	c.send = c.transmit
	return c
}

// Run makes requests for Duration, waits for the open ones and returns the
// counts. If ctx ends earlier, open requests are given no more time.
func (c *Caller) Run(ctx context.Context) (Report, error) {
	socket, err := bvwire.Listen(c.options.Listen)
	if err != nil {
		return Report{}, err
	}
	c.socket = socket
	listener, err := net.Listen("tcp", c.options.Control.String())
	if err != nil {
		return Report{}, eris.Wrap(err, "bvstandcaller: control")
	}
	server := &http.Server{Handler: c.handler(), ReadHeaderTimeout: time.Second}
	var wg conc.WaitGroup
	wg.Go(func() { _ = server.Serve(listener) })
	wg.Go(c.receive)
	c.start()
	c.tickUntilDone(ctx)
	_ = server.Close()
	_ = socket.Close()
	wg.Wait()
	r := c.report(c.clock.Now())
	c.audit(&r)
	return r, nil
}

func (c *Caller) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startedAt = c.clock.Now()
	for _, s := range c.traffic.Services {
		c.addArrival(s, bvwire.VerbTicket, s.TicketsPerSecond)
		c.addArrival(s, bvwire.VerbCertificate, s.CertificatesPerSecond)
		c.addArrival(s, bvwire.VerbSummary, s.SummariesPerSecond)
		if s.Feeds > 0 {
			c.arrivals = append(c.arrivals, &arrival{
				service: s, verb: bvwire.VerbFeed, next: c.startedAt, left: s.Feeds,
				mean: c.options.FeedRamp / time.Duration(s.Feeds),
			})
		}
	}
}

func (c *Caller) addArrival(s Service, verb string, rate float64) {
	if rate <= 0 {
		return
	}
	c.arrivals = append(c.arrivals, &arrival{
		service: s, verb: verb, next: c.startedAt, left: -1, mean: time.Duration(float64(time.Second) / rate),
		random: rand.New(rand.NewPCG(c.options.Seed, uint64(10+len(c.arrivals)))),
	})
}

func (c *Caller) tickUntilDone(ctx context.Context) {
	ticker := c.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	end := c.startedAt.Add(c.options.Duration)
	closed := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		now := c.clock.Now()
		c.mu.Lock()
		c.arrive(now, end)
		if !closed && !now.Before(end) {
			c.closeFeeds(now)
			closed = true
		}
		open := c.tick(now, now.Sub(end))
		c.mu.Unlock()
		if closed && (open == 0 || now.Sub(end) > c.options.Grace) {
			return
		}
	}
}

// arrive starts the requests that are due, with exponential gaps unless they
// are feeds.
func (c *Caller) arrive(now, end time.Time) {
	for _, a := range c.arrivals {
		for a.left != 0 && !now.Before(a.next) && a.next.Before(end) {
			gap := a.mean
			if a.random != nil {
				gap = time.Duration(float64(a.mean) * a.random.ExpFloat64())
			}
			a.next = a.next.Add(gap)
			a.left--
			a.number++
			c.begin(now, a.service, a.verb, fmt.Sprintf("%s-%s-%d", a.service.Name, a.verb, a.number))
		}
	}
}

// source returns an address that no other flow of this run has.
func (c *Caller) source(like netip.Addr) netip.AddrPort {
	// The factor is odd, so that the low 24 bits repeat only after 2^24 flows.
	n := uint32(len(c.all))*7919 + uint32(c.options.Seed)
	port := uint16(1024 + c.random.IntN(64000))
	if like.Is4() {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), port)
	}
	return netip.AddrPortFrom(netip.AddrFrom16([16]byte{0: 0xfd, 12: byte(n >> 24), 13: byte(n >> 16), 14: byte(n >> 8), 15: byte(n)}), port)
}

func (c *Caller) begin(now time.Time, s Service, verb, id string) {
	f := &flow{caller: c, service: s, verb: verb, id: id, opened: now, lastMessage: now, source: c.source(s.Address.Addr())}
	c.all = append(c.all, f)
	c.flows[f.source] = f
	if s.Protocol == "udp" {
		f.sendRequest(now)
		return
	}
	f.conn = bvwire.Dial(now, f.source, s.Address, c.random.Uint32(), c.send)
}

func (c *Caller) transmit(s bvwire.Segment) {
	// VNI 0: callers and the fabric know nothing of the services' networks.
	b, err := bvwire.Encode(0, s)
	if err != nil {
		c.log.Error("packet not encoded", zap.Error(err))
		return
	}
	// A lost packet is retransmitted.
	_, _ = c.socket.WriteToUDPAddrPort(b, c.options.Fabric)
}

func (c *Caller) receive() {
	b := make([]byte, 65536)
	for {
		n, from, err := c.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			return // Closed by Run.
		}
		vni, s, err := bvwire.Decode(b[:n])
		if err != nil {
			continue
		}
		c.mu.Lock()
		c.packet(from, vni, s)
		c.mu.Unlock()
	}
}

// packet passes an answer to its flow. A TCP segment without one gets a RST,
// so that an upstream does not keep a connection that a late SYN opened.
func (c *Caller) packet(from netip.AddrPort, vni uint32, s bvwire.Segment) {
	f := c.flows[s.Destination]
	switch {
	case f != nil && f.service.Address == s.Source:
		f.handle(c.clock.Now(), from, vni, s)
	case !s.UDP && !s.RST && !s.Unreachable:
		c.send(bvwire.ResetFor(s))
	}
}

// tick advances all flows and returns the number of those without an
// outcome. late is the time since the end of the run, negative before it.
func (c *Caller) tick(now time.Time, late time.Duration) int {
	open := 0
	for k, f := range c.flows {
		f.tick(now)
		if f.outcome == outcomeOpen && late > 0 && c.takenOut(f) && (late > zoneGrace || now.Sub(f.lastMessage) > zoneGrace) {
			f.outcome = outcomeGivenUp
		}
		switch {
		case f.outcome == outcomeOpen:
			open++
		case f.conn == nil || f.conn.Ended():
			delete(c.flows, k)
		}
	}
	return open
}

func (c *Caller) closeFeeds(now time.Time) {
	for _, f := range c.flows {
		if f.verb == bvwire.VerbFeed && f.conn != nil && f.outcome == outcomeOpen {
			f.closing = true
			f.conn.Close(now)
		}
	}
}

// takenOut reports whether the flow's upstream was in a zone taken out at a
// time when the flow was open.
func (c *Caller) takenOut(f *flow) bool {
	o := c.zones[f.location]
	return o != nil && (o.to.IsZero() || f.opened.Before(o.to))
}
