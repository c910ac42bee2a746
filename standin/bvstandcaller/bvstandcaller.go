// Package bvstandcaller stands in for the callers of a group of balancers: it
// opens feeds, submits tickets, downloads certificates and reads summaries,
// and checks the whole content of every answer. Its source addresses are in
// 10.0.0.0/8 (fd00::/64 for IPv6) and exist only inside the packets that it
// sends to the fabric.
//
// # Usage
//
//	c := bvstandcaller.New(options, traffic, clockwork.NewRealClock(), zap.NewNop())
//	report, err := c.Run(ctx)
//
// HTTP on the control address: POST /zone?state=out|in&health=ip:port,…&since=ms (the
// zone of the upstreams with these health addresses is taken out of service, since
// a Unix time in milliseconds, or is back in service), GET /reached?whole=N&feeds=M (200 once N requests
// are complete and M feeds are open, else 503), GET /report (the counts so
// far).
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
	// feedTimeout is the time without messages after which a feed counts as
	// broken; upstreams send one every 200 ms.
	feedTimeout = 10 * time.Second
	// zoneGrace is how long after the end of the run a flow to a zone that was
	// taken out of service may still complete before it counts as abandoned. It
	// counts as abandoned earlier if it has had no message for as long.
	zoneGrace = 4 * time.Second
)

// Options configure a [Caller].
type Options struct {
	Listen    netip.AddrPort // Receives answers of upstreams and refusals from the fabric.
	Fabric    netip.AddrPort
	Control   netip.AddrPort
	Duration  time.Duration // Time during which new requests start.
	Grace     time.Duration // Maximum wait for open requests after Duration.
	FeedRamp  time.Duration // Time over which the feeds are opened.
	WarmUp    time.Duration // Refusals of requests started later are counted separately.
	Seed      uint64
	CountsDir string // Has the counts files of stopped upstreams.
}

// Traffic is the content of the services file.
type Traffic struct {
	Services []Service `yaml:"services"`
	// Upstreams are the health addresses of the upstreams, whose counts are
	// read at the end.
	Upstreams []netip.AddrPort `yaml:"upstreams"`
}

// Service describes a service and the traffic to it.
type Service struct {
	Name                  string         `yaml:"name"`
	Address               netip.AddrPort `yaml:"address"`
	VNI                   uint32         `yaml:"vni"`
	Protocol              string         `yaml:"protocol"` // tcp (default) or udp; udp has no feeds.
	Feeds                 int            `yaml:"feeds"`
	TicketsPerSecond      float64        `yaml:"ticketsPerSecond"`
	CertificatesPerSecond float64        `yaml:"certificatesPerSecond"`
	SummariesPerSecond    float64        `yaml:"summariesPerSecond"`
	// Deadline is sent with each request other than a feed; none if 0.
	Deadline time.Duration `yaml:"deadline"`
	// RetransmitAfter is the time before the first retransmission of a UDP
	// request; 200 ms if 0.
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
	allFlows  []*flow
	streams   []*requestStream
	outages   map[netip.AddrPort]*outage // By tunnel address of upstreams.
}

// requestStream generates the requests of one verb to one service.
type requestStream struct {
	service   Service
	verb      string
	meanGap   time.Duration
	next      time.Time
	remaining int // Requests still to start; -1 for no bound.
	number    int
	// random belongs to this stream alone, so that the number of requests does
	// not depend on timing. It is nil for feeds, which open at equal intervals.
	random *rand.Rand
}

// outage is the time during which an upstream's zone was out of service.
type outage struct {
	from, to time.Time // to is zero while it lasts.
}

// New returns a caller that sends nothing before Run.
func New(o Options, t Traffic, clock clockwork.Clock, log *zap.Logger) *Caller {
	c := &Caller{
		options: o, traffic: t, clock: clock, log: log,
		random: rand.New(rand.NewPCG(o.Seed, 2)),
		flows:  map[netip.AddrPort]*flow{}, outages: map[netip.AddrPort]*outage{},
	}
	c.send = c.transmit
	return c
}

// Run starts requests for Duration, waits for the open ones and returns the
// report. If ctx ends, it does not wait for open requests.
func (c *Caller) Run(ctx context.Context) (Report, error) {
	socket, err := bvwire.Listen(c.options.Listen)
	if err != nil {
		return Report{}, err
	}
	c.socket = socket
	listener, err := net.Listen("tcp", c.options.Control.String())
	if err != nil {
		return Report{}, eris.Wrap(err, "bvstandcaller: listen on the control address")
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
		c.addStream(s, bvwire.VerbTicket, s.TicketsPerSecond)
		c.addStream(s, bvwire.VerbCertificate, s.CertificatesPerSecond)
		c.addStream(s, bvwire.VerbSummary, s.SummariesPerSecond)
		if s.Feeds > 0 {
			c.streams = append(c.streams, &requestStream{
				service: s, verb: bvwire.VerbFeed, next: c.startedAt, remaining: s.Feeds,
				meanGap: c.options.FeedRamp / time.Duration(s.Feeds),
			})
		}
	}
}

func (c *Caller) addStream(s Service, verb string, rate float64) {
	if rate <= 0 {
		return
	}
	c.streams = append(c.streams, &requestStream{
		service: s, verb: verb, next: c.startedAt, remaining: -1, meanGap: time.Duration(float64(time.Second) / rate),
		random: rand.New(rand.NewPCG(c.options.Seed, uint64(10+len(c.streams)))),
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
		c.startDueRequests(now, end)
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

// startDueRequests starts the requests that are due. The gaps between requests
// other than feeds are exponentially distributed.
func (c *Caller) startDueRequests(now, end time.Time) {
	for _, s := range c.streams {
		for s.remaining != 0 && !now.Before(s.next) && s.next.Before(end) {
			gap := s.meanGap
			if s.random != nil {
				gap = time.Duration(float64(s.meanGap) * s.random.ExpFloat64())
			}
			s.next = s.next.Add(gap)
			s.remaining--
			s.number++
			c.startRequest(now, s.service, s.verb, fmt.Sprintf("%s-%s-%d", s.service.Name, s.verb, s.number))
		}
	}
}

// newSource returns a source address that no other flow of this run has, of
// the address family of destination.
func (c *Caller) newSource(destination netip.Addr) netip.AddrPort {
	// The factor is odd, so that the low 24 bits repeat only after 2^24 flows.
	n := uint32(len(c.allFlows))*7919 + uint32(c.options.Seed)
	port := uint16(1024 + c.random.IntN(64000))
	if destination.Is4() {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), port)
	}
	return netip.AddrPortFrom(netip.AddrFrom16([16]byte{0: 0xfd, 12: byte(n >> 24), 13: byte(n >> 16), 14: byte(n >> 8), 15: byte(n)}), port)
}

func (c *Caller) startRequest(now time.Time, s Service, verb, id string) {
	f := &flow{caller: c, service: s, verb: verb, id: id, opened: now, lastMessage: now, source: c.newSource(s.Address.Addr())}
	c.allFlows = append(c.allFlows, f)
	c.flows[f.source] = f
	if s.Protocol == "udp" {
		f.sendRequest(now)
		return
	}
	f.conn = bvwire.Dial(now, f.source, s.Address, c.random.Uint32(), c.send)
}

func (c *Caller) transmit(s bvwire.Segment) {
	// VNI 0: callers and the fabric are outside the services' networks.
	b, err := bvwire.Encode(0, s)
	if err != nil {
		c.log.Error("encoding a packet failed", zap.Error(err))
		return
	}
	// A packet that is not sent is retransmitted later.
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
		c.handlePacket(from, vni, s)
		c.mu.Unlock()
	}
}

// handlePacket passes an answer to its flow. A TCP segment of an unknown flow
// is answered by RST, so that an upstream does not keep a connection that a
// delayed SYN opened.
func (c *Caller) handlePacket(from netip.AddrPort, vni uint32, s bvwire.Segment) {
	f := c.flows[s.Destination]
	switch {
	case f != nil && f.service.Address == s.Source:
		f.handle(c.clock.Now(), from, vni, s)
	case !s.UDP && !s.RST && !s.Unreachable:
		c.send(bvwire.ResetFor(s))
	}
}

// tick advances all flows and returns the number of those without a final
// outcome. sinceEnd is the time since the end of the run, negative before it.
func (c *Caller) tick(now time.Time, sinceEnd time.Duration) int {
	open := 0
	for k, f := range c.flows {
		f.tick(now)
		if f.outcome == outcomeOpen && sinceEnd > 0 && c.zoneWasOutOfService(f) && (sinceEnd > zoneGrace || now.Sub(f.lastMessage) > zoneGrace) {
			f.outcome = outcomeAbandoned
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

// takeOutOfService records that the zone of an upstream was taken out of service at a
// time. Flows that broke between that time and now are abandoned.
func (c *Caller) takeOutOfService(tunnel netip.AddrPort, since time.Time) {
	c.outages[tunnel] = &outage{from: since}
	for _, f := range c.allFlows {
		broken := f.outcome == outcomeReset || f.outcome == outcomeTimedOut || f.outcome == outcomeUnresponsive
		if broken && f.answeredBy == tunnel && !f.endedAt.Before(since) {
			f.outcome = outcomeAbandoned
		}
	}
}

// zoneWasOutOfService reports whether the zone of the flow's upstream was out
// of service at a time when the flow was open.
func (c *Caller) zoneWasOutOfService(f *flow) bool {
	o := c.outages[f.answeredBy]
	return o != nil && (o.to.IsZero() || f.opened.Before(o.to))
}
