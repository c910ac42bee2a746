package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"
)

// outcome says how a client's attempt ended.
type outcome string

const (
	served       outcome = "served"
	notOpened    outcome = "not opened"
	refused      outcome = "reset before it opened"
	systemReset  outcome = "reset by the system while open"
	serverReset  outcome = "reset by its server"
	noAnswer     outcome = "no answer"
	maxSeqWindow         = 76800
)

// flow is one flow of a client.
type flow struct {
	w          *world
	src, dst   netip.AddrPort
	seq, ack   uint32
	echo       uint32
	in         chan received
	openedAt   time.Time
	sentAt     time.Time // When the last opening packet was sent; guarded by world.mu.
	resetBy    *balancer
	resetAt    time.Time
	openedBy   *balancer
	lastSentTo *balancer
}

type received struct {
	packet packet
	from   netip.AddrPort
}

// newFlow returns a flow from a new port to a route's address and port.
func (w *world) newFlow(port uint16) *flow {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.port++
	if w.port < 20000 {
		w.port = 20000
	}
	f := &flow{
		w: w, src: netip.AddrPortFrom(w.clientAddr, w.port), dst: netip.AddrPortFrom(w.ip(hostPlatform), port), seq: rand.Uint32(),
		in: make(chan received, 64),
	}
	w.flows[w.port] = f
	return f
}

// openingSentAt returns when a client sent the last opening packet of the flow from
// a port.
func (w *world) openingSentAt(port uint16) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.flows[port]
	if f == nil {
		return time.Time{}, false
	}
	return f.sentAt, true
}

func (f *flow) close() {
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	delete(f.w.flows, f.src.Port())
}

// receive delivers packets to the clients' flows.
func (w *world) receive() {
	b := make([]byte, 2048)
	for {
		n, from, err := w.clientConn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, err := decode(append([]byte(nil), b[:n]...))
		reset := err == nil && p.flags == flagRST && p.sum == 0 && len(p.data) == 0
		if err != nil || !reset && p.sum != p.keyedSum() {
			w.rec.breaks("MIXED: a client got a packet that its sender didn't write so")
			continue
		}
		w.mu.Lock()
		f := w.flows[p.dst.Port()]
		w.mu.Unlock()
		if f == nil || f.dst != p.src {
			continue
		}
		select {
		case f.in <- received{p, from}:
		default:
		}
	}
}

// open opens the flow: a SYN, and copies after 200 ms and 600 ms. It gives up
// after 1.4 s.
func (f *flow) open() outcome {
	waits := []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}
	for n, wait := range waits {
		f.w.mu.Lock()
		f.sentAt = time.Now()
		f.w.mu.Unlock()
		f.openedBy = f.w.forward(packet{flags: flagSYN, seq: f.seq, ack: uint32(n), src: f.src, dst: f.dst})
		end := time.After(wait)
		for waiting := true; waiting; {
			select {
			case r := <-f.in:
				switch {
				case r.packet.flags&flagRST != 0:
					return refused
				case r.packet.flags&flagSYN != 0 && r.packet.ack == f.seq+1:
					f.seq++
					f.ack, f.echo, f.openedAt = r.packet.seq+1, r.packet.echo, time.Now()
					f.send(nil, flagACK)
					return served
				}
			case <-end:
				waiting = false
			}
		}
	}
	return notOpened
}

// send sends a packet of the open flow.
func (f *flow) send(data []byte, flags byte) {
	f.lastSentTo = f.w.forward(packet{flags: flags, seq: f.seq, ack: f.ack, echo: f.echo, src: f.src, dst: f.dst, data: data})
}

// request sends a request on the open flow and waits for its answer.
func (f *flow) request(id string, deadline time.Duration) outcome {
	text := []byte(fmt.Sprintf("POST /work HTTP/1.1\r\nHost: review\r\nX-Balsamvane-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id))
	end, wait := time.After(deadline), firstResend
	f.send(text, flagACK)
	resend := time.After(wait)
	for {
		select {
		case r := <-f.in:
			switch p := r.packet; {
			case p.flags&flagSYN != 0:
			case p.flags == flagRST && p.sum == 0:
				if d := int32(p.seq - f.ack); d > maxSeqWindow || d < -maxSeqWindow {
					continue
				}
				f.resetBy, f.resetAt = f.w.balancerAt(r.from), time.Now()
				return systemReset
			case p.flags&flagRST != 0:
				return serverReset
			case len(p.data) > 0 && p.seq == f.ack:
				f.echo = p.echo
				f.ack += uint32(len(p.data))
				f.seq += uint32(len(text))
				f.send(nil, flagACK)
				if body := string(p.data); strings.HasSuffix(body, "\r\n\r\ndone "+id) && strings.Contains(body, "X-Balsamvane-Server-Stamp: ") {
					return served
				}
				f.w.rec.breaks("MIXED: request %s got a foreign answer", id)
				return served
			case len(p.data) > 0:
				f.echo = p.echo
				f.send(nil, flagACK)
			default:
				f.echo = p.echo
			}
		case <-resend:
			f.send(text, flagACK)
			wait = min(2*wait, lastResend)
			resend = time.After(wait)
		case <-end:
			return noAnswer
		}
	}
}

// finish closes the flow.
func (f *flow) finish() {
	f.send(nil, flagFIN|flagACK)
	f.close()
}
