package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat   = 1200 * time.Millisecond
	firstResend = 200 * time.Millisecond
	lastResend  = 1600 * time.Millisecond
	maxResends  = 8
)

// entry is what a server writes about itself into the store.
type entry struct {
	Service  string `json:"service"`
	Addr     string `json:"addr"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	ColdLeft int64  `json:"cold_left_ms"`
	Seq      int    `json:"seq"`
	Born     int64  `json:"born"`
}

// serverFlow is a flow at a server. It is open once the client has acknowledged
// the server's sequence number.
type serverFlow struct {
	first, next uint32 // The server's first and next sequence numbers.
	received    uint32 // The client's next sequence number.
	acked       uint32 // What the client has acknowledged.
	open        bool
	echo        uint32
	src, dst    netip.AddrPort
}

// server stands in for one server.
type server struct {
	w       *world
	id      uint64
	service string
	addr    netip.AddrPort
	conn    *net.UDPConn
	born    time.Time
	coldFor time.Duration
	work    time.Duration
	slots   chan struct{}
	onOpen  func(s *server, p packet, from *balancer, at time.Time) // A server has taken an opening packet.

	mu     sync.Mutex
	seq    int
	state  string
	ended  bool
	flows  map[netip.AddrPort]*serverFlow
	ran    map[string]int
	stopCh chan struct{}
}

// newServer starts a server and registers it. It is cold for coldFor.
func (w *world) newServer(service string, coldFor, work time.Duration, onOpen func(*server, packet, *balancer, time.Time)) (*server, error) {
	w.mu.Lock()
	host := hostServer + w.hosts
	w.hosts++
	w.mu.Unlock()
	s := &server{
		w: w, id: 1 + uint64(rand.Uint32()), service: service, addr: netip.AddrPortFrom(w.ip(host), portServer), born: time.Now(), coldFor: coldFor,
		work: work, slots: make(chan struct{}, 4), onOpen: onOpen, state: "ready", flows: map[netip.AddrPort]*serverFlow{}, ran: map[string]int{},
		stopCh: make(chan struct{}),
	}
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.addr))
	if err != nil {
		return nil, err
	}
	_ = c.SetReadBuffer(4 << 20)
	s.conn = c
	w.mu.Lock()
	w.servers[s.id] = s
	w.mu.Unlock()
	go s.run()
	s.write()
	w.rec.line("server %s of %s at %s is registered, cold for %s", s.name(), service, s.addr, coldFor)
	go s.beat()
	return s, nil
}

func (s *server) name() string { return fmt.Sprintf("i-%08x", s.id) }

// write writes the server's entry.
func (s *server) write() {
	s.mu.Lock()
	s.seq++
	left := max(s.coldFor-time.Since(s.born), 0)
	e := entry{
		Service: s.service, Addr: s.addr.String(), Zone: zone, Version: "v1", Slots: cap(s.slots), State: s.state, ColdLeft: left.Milliseconds(),
		Seq: s.seq, Born: s.born.UnixMilli(),
	}
	s.mu.Unlock()
	b, _ := json.Marshal(e)
	s.w.store.put("servers/"+s.name(), b)
}

// beat writes the entry while more than its seq changes: while the server is cold,
// and once it is no longer.
func (s *server) beat() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	wasCold := s.coldFor > 0
	for {
		select {
		case <-t.C:
		case <-s.stopCh:
			return
		}
		if wasCold {
			wasCold = time.Since(s.born) < s.coldFor
			s.write()
		}
	}
}

// drain reports that the server is draining, and returns the time of the store's
// acknowledgement.
func (s *server) drain() time.Time {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.write()
	s.w.rec.line("server %s is draining; acknowledged", s.name())
	return time.Now()
}

// leave ends a server that has drained.
func (s *server) leave() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	close(s.stopCh)
	_ = s.conn.Close()
	s.w.store.remove("servers/" + s.name())
	s.w.rec.line("server %s has left", s.name())
}

// alive reports whether the server serves.
func (s *server) alive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.ended
}

// has reports whether the server has a flow open.
func (s *server) has(src netip.AddrPort) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[src]
	return f != nil && f.open && !s.ended
}

func (s *server) run() {
	b := make([]byte, 2048)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		at := time.Now()
		if n < 8 {
			continue
		}
		if target := binary.BigEndian.Uint64(b); target != s.id && target != 0 {
			continue // Not the intended server.
		}
		p, err := decode(append([]byte(nil), b[8:n]...))
		if err != nil || p.sum != p.keyedSum() {
			s.w.rec.breaks("UNASKED: server %s got a packet that its sender didn't write so", s.name())
			continue
		}
		s.handle(p, s.w.balancerAt(from), at)
	}
}

func (s *server) handle(p packet, via *balancer, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[p.src]
	if p.flags&flagSYN != 0 {
		if f == nil {
			f = &serverFlow{first: rand.Uint32(), received: p.seq + 1, src: p.src, dst: p.dst}
			f.next, f.acked = f.first+1, f.first+1
			s.flows[p.src] = f
			if s.onOpen != nil {
				s.onOpen(s, p, via, at)
			}
		}
		f.echo = p.echo
		s.send(packet{flags: flagSYN | flagACK, seq: f.first, ack: f.received, echo: f.echo, src: f.dst, dst: f.src})
		return
	}
	if f == nil || !f.open && p.ack != f.first+1 {
		if p.flags&flagRST == 0 {
			s.send(packet{flags: flagRST, seq: p.ack, ack: p.seq, echo: p.echo, src: p.dst, dst: p.src})
		}
		delete(s.flows, p.src)
		return
	}
	f.open, f.echo = true, p.echo
	if int32(p.ack-f.acked) > 0 {
		f.acked = p.ack
	}
	switch {
	case p.flags&flagRST != 0:
		delete(s.flows, p.src)
	case p.flags&flagFIN != 0:
		s.send(packet{flags: flagFIN | flagACK, seq: f.next, ack: p.seq + 1, echo: f.echo, src: f.dst, dst: f.src})
		delete(s.flows, p.src)
	case len(p.data) > 0 && p.seq == f.received:
		f.received += uint32(len(p.data))
		go s.serve(f, string(p.data))
	case len(p.data) > 0:
		s.send(packet{flags: flagACK, seq: f.next, ack: f.received, echo: f.echo, src: f.dst, dst: f.src})
	}
}

// serve runs a request and answers it, until the answer is acknowledged.
func (s *server) serve(f *serverFlow, request string) {
	s.slots <- struct{}{}
	id := between(request, "X-Balsamvane-Request-Id: ", "\r\n")
	s.mu.Lock()
	s.ran[id]++
	s.mu.Unlock()
	time.Sleep(s.work)
	<-s.slots
	body := "done " + id
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Balsamvane-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", s.name(), len(body), body)
	s.mu.Lock()
	p := packet{flags: flagACK, seq: f.next, src: f.dst, dst: f.src, data: []byte(text)}
	f.next += uint32(len(text))
	s.mu.Unlock()
	wait := firstResend
	for range maxResends {
		s.mu.Lock()
		_, open := s.flows[f.src]
		finished := !open || s.ended || int32(f.acked-f.next) >= 0
		if !finished {
			p.ack, p.echo = f.received, f.echo
			s.send(p)
		}
		s.mu.Unlock()
		if finished {
			return
		}
		time.Sleep(wait)
		wait = min(2*wait, lastResend)
	}
}

// send sends a packet to the client directly.
func (s *server) send(p packet) {
	_, _ = s.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(p.dst.Addr(), portData))
}

func between(s, before, after string) string {
	_, s, _ = strings.Cut(s, before)
	s, _, _ = strings.Cut(s, after)
	return s
}
