package main

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// fabric stands in for the platform's routers and for the clients' hosts.
type fabric struct {
	balancers []*balancer
	record    *record
	port      uint16
	probes    *http.Client
	done      chan struct{}
	mu        sync.Mutex
	hosts     map[netip.Addr]*host
}

// host is a client's address in a zone.
type host struct {
	fabric *fabric
	ip     netip.Addr
	zone   string
	conn   *net.UDPConn
	mu     sync.Mutex
	flows  map[uint16]*clientFlow
	next   uint16
}

func newFabric(bs []*balancer, r *record, port uint16) *fabric {
	f := &fabric{balancers: bs, record: r, port: port, probes: &http.Client{Timeout: 450 * time.Millisecond}, done: make(chan struct{}), hosts: map[netip.Addr]*host{}}
	go f.probe()
	return f
}

func (f *fabric) probe() {
	t := time.NewTicker(500 * time.Millisecond)
	defer t.Stop()
	for {
		for _, b := range f.balancers {
			go b.probe(f.probes)
		}
		select {
		case <-f.done:
			return
		case <-t.C:
		}
	}
}

// choose returns the balancer for a flow of a client in a zone: by a hash that moves only
// the flows of a balancer that leaves the rotation.
func (f *fabric) choose(zone string, source, destination netip.AddrPort) *balancer {
	for _, inZone := range []bool{true, false} {
		var all, rotating []*balancer
		for _, b := range f.balancers {
			if (b.zone == zone) != inZone {
				continue
			}
			all = append(all, b)
			if b.rotates() {
				rotating = append(rotating, b)
			}
		}
		if 2*len(rotating) < len(all) && len(rotating) > 0 {
			rotating = all
		}
		if len(rotating) == 0 {
			continue
		}
		return highest(rotating, source, destination)
	}
	return highest(f.balancers, source, destination)
}

func highest(bs []*balancer, source, destination netip.AddrPort) *balancer {
	var best *balancer
	var most uint64
	for _, b := range bs {
		h := fnv.New64a()
		fmt.Fprintf(h, "%s|%s|%s", source, destination, b.name)
		x := h.Sum64()
		x ^= x >> 31
		x *= 0x9e3779b97f4a7c15
		x ^= x >> 29
		if best == nil || x > most {
			best, most = b, x
		}
	}
	return best
}

func (f *fabric) addHost(ip netip.Addr, zone string) (*host, error) {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, f.port)))
	if err != nil {
		return nil, err
	}
	h := &host{fabric: f, ip: ip, zone: zone, conn: c, flows: map[uint16]*clientFlow{}, next: 20000}
	f.hosts[ip] = h
	go h.read()
	return h, nil
}

func (f *fabric) close() {
	close(f.done)
	for _, h := range f.hosts {
		_ = h.conn.Close()
	}
}

func (h *host) read() {
	b := make([]byte, 4096)
	for {
		n, err := h.conn.Read(b)
		if err != nil {
			return
		}
		p, ok := decode(b[:n])
		if !ok {
			continue
		}
		h.mu.Lock()
		x := h.flows[p.destination.Port()]
		h.mu.Unlock()
		if x != nil {
			select {
			case x.in <- p:
			default:
			}
		}
	}
}

// clientFlow is one flow of a client.
type clientFlow struct {
	host          *host
	source, route netip.AddrPort
	in            chan packet
	isn, sent     uint32
	serverISN     uint32
	received      uint32
	echo          uint32
	isOpen        bool
	opener        uint32 // Sum of the server that opened it.
	buffer        []byte
	// resetBy is who has reset the open flow: "a balancer", or the sum of a server.
	resetBy string
}

func (h *host) newFlow(route netip.AddrPort) *clientFlow {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next++
	x := &clientFlow{host: h, source: netip.AddrPortFrom(h.ip, h.next), route: route, in: make(chan packet, 64), isn: rand.Uint32()}
	x.sent = x.isn + 1
	h.flows[h.next] = x
	return x
}

func (x *clientFlow) send(p packet) {
	p.source, p.destination, p.sum = x.source, x.route, 0xc11e47
	b := x.host.fabric.choose(x.host.zone, x.source, x.route)
	_, _ = x.host.conn.WriteToUDPAddrPort(p.encode(nil), b.at(b.ports.data))
}

// open opens the flow. It sends the opening again after 200 and 600 ms, and gives up after
// 1.4 s or at a reset.
func (x *clientFlow) open() bool {
	start := time.Now()
	for n, end := range []time.Duration{200, 600, 1400} {
		x.host.fabric.record.add("client sends the opening of flow %s to %s (copy %d)", x.source, x.route, n)
		x.send(packet{sequence: x.isn, ack: uint32(n), flags: flagSyn})
		for !x.isOpen {
			select {
			case p := <-x.in:
				if p.has(flagRst) {
					x.host.fabric.record.add("flow %s is refused by %s", x.source, sender(p))
					return false
				}
				x.receive(p)
				continue
			case <-time.After(time.Until(start.Add(end * time.Millisecond))):
			}
			break
		}
		if x.isOpen {
			return true
		}
	}
	x.host.fabric.record.add("flow %s does not open", x.source)
	return false
}

// receive handles a packet, and returns false if the flow was reset.
func (x *clientFlow) receive(p packet) bool {
	switch {
	case p.has(flagRst):
		if d := int32(p.sequence - x.received); x.isOpen && (d > 76800 || d < -76800) {
			return true
		}
		x.resetBy = sender(p)
		x.host.fabric.record.add("flow %s, open at %s, is reset by %s", x.source, sumName(x.opener), x.resetBy)
		return false
	case p.has(flagSyn) && !x.isOpen:
		x.isOpen, x.serverISN, x.received, x.opener = true, p.sequence, p.sequence+1, p.sum
		x.host.fabric.record.add("flow %s opens at %s, echo %08x", x.source, sender(p), p.echo)
	case p.has(flagSyn):
		x.host.fabric.record.add("flow %s gets another answer to its opening, of %s, echo %08x", x.source, sender(p), p.echo)
	case len(p.data) > 0 && p.sequence == x.received:
		x.received += uint32(len(p.data))
		x.buffer = append(x.buffer, p.data...)
	}
	x.echo = p.echo // Both ends place the last echo that they received on a flow.
	return true
}

// request sends a request on the open flow and waits for the answer: "" if it came.
func (x *clientFlow) request(id string, work, deadline time.Duration) (failure string) {
	r := x.host.fabric.record
	text := fmt.Sprintf("POST / HTTP/1.1\r\nX-Balsamvane-Request-Id: %s\r\nX-Work: %s\r\n\r\n", id, work)
	at := x.sent
	x.sent += uint32(len(text))
	r.add("client sends request %s on flow %s, echo %08x", id, x.source, x.echo)
	end, wait := time.Now().Add(deadline), firstRetransmit
	for n := 0; ; n++ {
		x.send(packet{sequence: at, ack: x.received, flags: flagAck, echo: x.echo, data: []byte(text)})
		again := time.After(min(wait, time.Until(end)))
		wait = min(2*wait, maxRetransmit)
		for waiting := true; waiting; {
			select {
			case p := <-x.in:
				if !x.receive(p) {
					return "reset by " + x.resetBy
				}
				head, rest, ok := bytes.Cut(x.buffer, []byte("\r\n\r\n"))
				if !ok {
					continue
				}
				x.buffer = rest
				x.send(packet{sequence: x.sent, ack: x.received, flags: flagAck, echo: x.echo})
				if !strings.Contains(string(head), "X-Balsamvane-Request-Id: "+id) {
					return "foreign answer"
				}
				r.add("client gets the answer to request %s", id)
				return ""
			case <-again:
				waiting = false
			}
		}
		if !time.Now().Before(end) {
			r.add("request %s has no answer by its deadline", id)
			return "no answer"
		}
	}
}

// pause keeps the flow open for a time and handles what arrives.
func (x *clientFlow) pause(d time.Duration) bool {
	end := time.After(d)
	for {
		select {
		case p := <-x.in:
			if !x.receive(p) {
				return false
			}
		case <-end:
			return true
		}
	}
}

func (x *clientFlow) close() {
	x.send(packet{sequence: x.sent, ack: x.received, flags: flagAck | flagFin, echo: x.echo})
	x.host.mu.Lock()
	delete(x.host.flows, x.source.Port())
	x.host.mu.Unlock()
}

// sumNames tells the servers' sums apart.
var sumNames sync.Map

func sumName(sum uint32) string {
	if v, ok := sumNames.Load(sum); ok {
		return v.(string)
	}
	return fmt.Sprintf("%08x", sum)
}

func sender(p packet) string {
	if p.sum == 0 {
		return "a balancer"
	}
	return "server " + sumName(p.sum)
}
