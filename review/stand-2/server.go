package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Retransmission of packets, by clients and servers.
const (
	firstRetransmit    = 200 * time.Millisecond
	maxRetransmit      = 1600 * time.Millisecond
	maxRetransmissions = 8
)

// server stands in for a server of the platform. It registers itself in the store.
type server struct {
	id      string // The name in the store, such as i-7f3a91c2.
	number  uint64 // Its hex digits.
	service string
	zone    string
	address netip.AddrPort
	slots   int
	store   *store
	record  *record
	// clientPort is the port of all clients' addresses.
	clientPort uint16
	// dropAnswer, if it is set, reports whether the network loses an answer to an opening.
	dropAnswer func(f netip.AddrPort, n int) bool

	conn *net.UDPConn
	mu   sync.Mutex
	// own and foreign hold when packets of each flow arrived that were intended for this
	// server, and for another one.
	own, foreign map[netip.AddrPort][]time.Time
	flows        map[netip.AddrPort]*serverFlow
	busy         int
	queue        []func()
	seq          int
	born         int64
	state        string
	ended        bool
}

// serverFlow is a flow at a server, by the address of the client's end.
type serverFlow struct {
	client, route netip.AddrPort
	clientISN     uint32
	isn           uint32
	open          bool
	received      uint32 // Next sequence number of the client.
	sent          uint32 // Next own sequence number.
	acked         uint32
	echo          uint32
	input         []byte
	unacked       int
	closed        bool
}

func (s *server) key() string { return "servers/" + s.id }

// start opens the socket, registers the server and begins to serve.
func (s *server) start() error {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.address))
	if err != nil {
		return err
	}
	s.own, s.foreign = map[netip.AddrPort][]time.Time{}, map[netip.AddrPort][]time.Time{}
	s.conn, s.flows, s.born, s.state, s.seq, s.ended = c, map[netip.AddrPort]*serverFlow{}, time.Now().UnixMilli(), "ready", 0, false
	s.register()
	s.record.add("server %s (%s, zone %s) started at %s", s.id, s.service, s.zone, s.address)
	go s.read(c)
	return nil
}

// register writes the server's entry, and returns once the store has accepted it.
func (s *server) register() {
	s.mu.Lock()
	s.seq++
	v := map[string]any{
		"service": s.service, "addr": s.address.String(), "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": s.state, "cold_left_ms": 0, "seq": s.seq, "born": s.born,
	}
	s.mu.Unlock()
	s.store.put(s.key(), v)
}

func (s *server) read(c *net.UDPConn) {
	b := make([]byte, 4096)
	for {
		n, err := c.Read(b)
		if err != nil {
			return
		}
		if n < targetSize {
			continue
		}
		target := binary.BigEndian.Uint64(b)
		p, ok := decode(b[targetSize:n])
		if !ok {
			s.record.add("server %s got bytes that are no packet", s.id)
			continue
		}
		if target != 0 && target != s.number {
			s.record.add("server %s got a packet of flow %s that is intended for %x", s.id, p.source, target)
			s.mu.Lock()
			s.foreign[p.source] = append(s.foreign[p.source], time.Now())
			s.mu.Unlock()
			continue
		}
		s.handle(p)
	}
}

func (s *server) handle(p packet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.own[p.source] = append(s.own[p.source], time.Now())
	f := s.flows[p.source]
	switch {
	case p.has(flagRst):
		delete(s.flows, p.source)
		return
	case p.has(flagSyn) && p.has(flagAck):
		return
	case p.has(flagSyn):
		s.handleSyn(f, p)
		return
	case f == nil, !f.open && p.ack != f.isn+1:
		// It does not hold the flow.
		if f != nil {
			delete(s.flows, p.source)
			f.closed = true
		}
		s.record.add("server %s does not hold flow %s and resets it (ack %d, %d bytes)", s.id, p.source, p.ack, len(p.data))
		s.send(packet{sequence: p.ack, flags: flagRst, echo: p.echo, source: p.destination, destination: p.source})
		return
	}
	if !f.open {
		f.open = true
		s.record.add("flow %s is open at server %s", p.source, s.id)
	}
	f.echo = p.echo
	if int32(p.ack-f.acked) > 0 {
		f.acked = p.ack
	}
	s.handleData(f, p)
}

func (s *server) handleSyn(f *serverFlow, p packet) {
	if f == nil || f.clientISN != p.sequence {
		f = &serverFlow{client: p.source, route: p.destination, clientISN: p.sequence, isn: uint32(time.Now().UnixNano()) | 1, received: p.sequence + 1}
		f.sent, f.acked = f.isn+1, f.isn
		s.flows[p.source] = f
	}
	f.echo = p.echo
	s.record.add("server %s got the opening of flow %s (copy %d)", s.id, p.source, p.ack)
	s.answerOpening(f, 0, firstRetransmit)
}

// answerOpening sends the answer to an opening, and repeats it while the client's end has
// not acknowledged it.
func (s *server) answerOpening(f *serverFlow, n int, wait time.Duration) {
	if f.open || f.closed || s.flows[f.client] != f || n > maxRetransmissions {
		return
	}
	if s.dropAnswer != nil && s.dropAnswer(f.client, n) {
		s.record.add("server %s answers the opening of flow %s (copy %d); the network loses the answer", s.id, f.client, n)
	} else {
		s.record.add("server %s answers the opening of flow %s (copy %d)", s.id, f.client, n)
		s.send(packet{sequence: f.isn, ack: f.clientISN + 1, flags: flagSyn | flagAck, echo: f.echo, source: f.route, destination: f.client})
	}
	time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.answerOpening(f, n+1, min(2*wait, maxRetransmit))
	})
}

func (s *server) handleData(f *serverFlow, p packet) {
	switch {
	case len(p.data) > 0 && p.sequence == f.received:
		f.received += uint32(len(p.data))
		f.input = append(f.input, p.data...)
		f.unacked++
	case len(p.data) > 0: // Repeated.
		f.unacked = 2
	}
	if p.has(flagFin) {
		f.received++
		f.closed = true
		delete(s.flows, f.client)
		s.send(packet{sequence: f.sent, ack: f.received, flags: flagAck | flagFin, echo: f.echo, source: f.route, destination: f.client})
		return
	}
	if f.unacked >= 2 {
		f.unacked = 0
		s.sendAck(f)
	}
	for {
		request, rest, ok := bytes.Cut(f.input, []byte("\r\n\r\n"))
		if !ok {
			return
		}
		f.input = rest
		s.schedule(f, string(request))
	}
}

func (s *server) sendAck(f *serverFlow) {
	s.send(packet{sequence: f.sent, ack: f.received, flags: flagAck, echo: f.echo, source: f.route, destination: f.client})
}

// schedule runs a request as soon as a slot is free. The caller holds mu.
func (s *server) schedule(f *serverFlow, request string) {
	id, work := parseRequest(request)
	run := func() {
		s.record.add("server %s runs request %s on flow %s", s.id, id, f.client)
		time.AfterFunc(work, func() { s.finish(f, id) })
	}
	if s.busy >= s.slots {
		s.queue = append(s.queue, run)
		return
	}
	s.busy++
	run()
}

func (s *server) finish(f *serverFlow, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) > 0 {
		run := s.queue[0]
		s.queue = s.queue[1:]
		run()
	} else {
		s.busy--
	}
	if s.ended || f.closed {
		return
	}
	s.record.add("server %s answers request %s on flow %s", s.id, id, f.client)
	body := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Balsamvane-Server-Stamp: %s\r\nX-Balsamvane-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id, id)
	at := f.sent
	f.sent += uint32(len(body))
	s.transmit(f, at, []byte(body), 0, firstRetransmit)
}

// transmit sends data of a flow and repeats it until it is acknowledged.
func (s *server) transmit(f *serverFlow, at uint32, b []byte, n int, wait time.Duration) {
	if s.ended || f.closed || s.flows[f.client] != f || int32(f.acked-(at+uint32(len(b)))) >= 0 || n > maxRetransmissions {
		return
	}
	f.unacked = 0
	s.send(packet{sequence: at, ack: f.received, flags: flagAck, echo: f.echo, source: f.route, destination: f.client, data: b})
	time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.transmit(f, at, b, n+1, min(2*wait, maxRetransmit))
	})
}

// send sends a packet to the client's address. The sum stands for the sender's.
func (s *server) send(p packet) {
	p.sum = uint32(s.number) | 1
	to := netip.AddrPortFrom(p.destination.Addr(), s.clientPort)
	_, _ = s.conn.WriteToUDPAddrPort(p.encode(nil), to)
}

func (s *server) stop() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	if s.conn != nil {
		_ = s.conn.Close()
	}
}

// parseRequest returns the ID of a request and the work that it takes.
func parseRequest(text string) (id string, work time.Duration) {
	for line := range strings.SplitSeq(text, "\r\n") {
		if v, ok := strings.CutPrefix(line, "X-Balsamvane-Request-Id: "); ok {
			id = v
		}
		if v, ok := strings.CutPrefix(line, "X-Work: "); ok {
			work, _ = time.ParseDuration(v)
		}
	}
	return id, work
}
