package bvwire

import (
	"net/netip"
	"time"
)

// Limits of the minimal TCP.
const (
	segmentSize    = 1200                   // Payload bytes of a segment.
	windowSize     = 16 * segmentSize       // Unacknowledged bytes.
	initialTimeout = 200 * time.Millisecond // Before the first retransmission.
	maxTimeout     = 3200 * time.Millisecond
	maxTries       = 10 // Retransmissions without progress, about 22 s.
)

// State is the stage of a connection.
type State uint8

// The states. Refused, Reset and TimedOut are final, as is Closed.
const (
	StateOpening  State = iota
	StateOpen           // Data may flow, also after one side has closed.
	StateClosed         // Both sides have closed and acknowledged it.
	StateRefused        // The SYN was answered by RST.
	StateReset          // RST came after the connection was open.
	StateTimedOut       // maxTries retransmissions had no effect.
)

// Conn is one end of a TCP connection: handshake, cumulative
// acknowledgement, go-back-N retransmission with a doubling timeout, FIN and
// RST. It has no congestion control and keeps no segments that arrive out of
// order. It is not safe for concurrent use.
type Conn struct {
	Local, Remote netip.AddrPort
	// Retransmitted counts timeouts that led to a retransmission.
	Retransmitted int

	send    func(Segment)
	state   State
	passive bool

	base      uint32 // Sequence number of the SYN, later of out[0].
	out       []byte // Bytes that are not acknowledged.
	sent      int    // Bytes of out that have been sent.
	finQueued bool
	finSent   bool
	finEver   bool
	finAcked  bool

	expect     uint32 // Next sequence number from the other end.
	in         []byte
	peerClosed bool

	tries    int
	timeout  time.Duration
	deadline time.Time
}

// Dial starts a connection and sends its SYN.
func Dial(now time.Time, local, remote netip.AddrPort, sequence uint32, send func(Segment)) *Conn {
	c := &Conn{Local: local, Remote: remote, base: sequence, send: send}
	c.sendSYN()
	c.arm(now, true)
	return c
}

// Accept answers a SYN.
func Accept(now time.Time, syn Segment, sequence uint32, send func(Segment)) *Conn {
	c := &Conn{
		Local: syn.Destination, Remote: syn.Source, base: sequence,
		send: send, passive: true, expect: syn.Sequence + 1,
	}
	c.sendSYN()
	c.arm(now, true)
	return c
}

// State returns the stage of the connection.
func (c *Conn) State() State { return c.state }

// Ended reports whether the state is final.
func (c *Conn) Ended() bool { return c.state >= StateClosed }

// PeerClosed reports whether the other end has sent FIN and all bytes before
// it have arrived.
func (c *Conn) PeerClosed() bool { return c.peerClosed }

// Drained reports whether the other end has acknowledged all written bytes.
func (c *Conn) Drained() bool { return len(c.out) == 0 }

// Read takes the bytes that have arrived in order.
func (c *Conn) Read() []byte {
	b := c.in
	c.in = nil
	return b
}

// Write sends b, as far as the window allows at once.
func (c *Conn) Write(now time.Time, b []byte) {
	if c.finQueued || c.Ended() {
		return
	}
	c.out = append(c.out, b...)
	c.flush(now)
}

// Close sends FIN after all written bytes.
func (c *Conn) Close(now time.Time) {
	c.finQueued = true
	c.flush(now)
}

// Reset sends RST and ends the connection.
func (c *Conn) Reset() {
	c.send(c.segment(Segment{RST: true, ACK: true, Sequence: c.base + uint32(c.sent)}))
	c.state = StateReset
}

// Handle takes a segment of this connection.
func (c *Conn) Handle(now time.Time, s Segment) {
	switch {
	case c.state == StateClosed:
		c.acknowledge(s) // The other end has not seen the last ACK.
		return
	case c.Ended():
		return
	case s.RST || s.Unreachable:
		c.handleReset(s)
		return
	case s.SYN:
		c.handleSYN(now, s)
		return
	}
	if c.state == StateOpening && (!c.passive || !s.ACK || s.Acknowledgment != c.base+1) {
		return
	}
	if c.state == StateOpening {
		c.open()
	}
	c.handleACK(now, s)
	c.receive(s)
	c.acknowledge(s)
	if c.finAcked && c.peerClosed {
		c.state = StateClosed
		return
	}
	c.flush(now)
}

// Tick retransmits what has not been acknowledged in time.
func (c *Conn) Tick(now time.Time) {
	if c.Ended() || c.deadline.IsZero() || now.Before(c.deadline) {
		return
	}
	if c.tries++; c.tries > maxTries {
		c.state = StateTimedOut
		return
	}
	c.Retransmitted++
	c.timeout = min(2*c.timeout, maxTimeout)
	c.deadline = now.Add(c.timeout)
	if c.state == StateOpening {
		c.sendSYN()
		return
	}
	c.sent, c.finSent = 0, false
	c.flush(now)
}

func (c *Conn) handleReset(s Segment) {
	switch {
	case c.state != StateOpening:
		c.state = StateReset
	case c.passive:
		c.state = StateReset
	case s.Unreachable || s.Acknowledgment == c.base+1:
		c.state = StateRefused
	}
}

func (c *Conn) handleSYN(now time.Time, s Segment) {
	switch {
	case c.passive && !s.ACK: // A retransmitted SYN.
		if c.state == StateOpening && s.Sequence+1 == c.expect {
			c.sendSYN()
		}
	case !c.passive && s.ACK && c.state == StateOpening && s.Acknowledgment == c.base+1:
		c.expect = s.Sequence + 1
		c.open()
		c.sendACK()
		c.arm(now, true)
		c.flush(now)
	case !c.passive && s.ACK && c.state == StateOpen:
		c.sendACK()
	}
}

func (c *Conn) open() {
	c.state = StateOpen
	c.base++
	c.tries, c.deadline = 0, time.Time{}
}

func (c *Conn) handleACK(now time.Time, s Segment) {
	acked := int(int32(s.Acknowledgment - c.base))
	if !s.ACK || acked <= 0 || acked > len(c.out)+1 {
		return
	}
	n := min(acked, len(c.out))
	if acked > n {
		if !c.finEver {
			return
		}
		c.finAcked = true
	}
	c.out = c.out[n:]
	c.base += uint32(n)
	c.sent = max(0, c.sent-n)
	c.arm(now, true)
}

// receive appends the part of s that continues the received bytes.
func (c *Conn) receive(s Segment) {
	skip := int(int32(c.expect - s.Sequence))
	if skip < 0 || skip > len(s.Payload) || c.peerClosed {
		return
	}
	c.in = append(c.in, s.Payload[skip:]...)
	c.expect += uint32(len(s.Payload) - skip)
	if s.FIN {
		c.expect++
		c.peerClosed = true
	}
}

func (c *Conn) acknowledge(s Segment) {
	if len(s.Payload) > 0 || s.FIN {
		c.sendACK()
	}
}

func (c *Conn) flush(now time.Time) {
	if c.state != StateOpen {
		return
	}
	for c.sent < len(c.out) && c.sent < windowSize {
		n := min(segmentSize, len(c.out)-c.sent)
		c.send(c.segment(Segment{ACK: true, Sequence: c.base + uint32(c.sent), Payload: c.out[c.sent : c.sent+n]}))
		c.sent += n
	}
	if c.finQueued && !c.finSent && !c.finAcked && c.sent == len(c.out) {
		c.send(c.segment(Segment{ACK: true, FIN: true, Sequence: c.base + uint32(c.sent)}))
		c.finSent, c.finEver = true, true
	}
	c.arm(now, false)
}

// arm starts the retransmission timer if something is outstanding; restart
// also resets its backoff.
func (c *Conn) arm(now time.Time, restart bool) {
	outstanding := c.state == StateOpening || c.sent > 0 || (c.finSent && !c.finAcked)
	if !outstanding {
		c.deadline = time.Time{}
		return
	}
	if restart || c.deadline.IsZero() {
		c.tries, c.timeout = 0, initialTimeout
		c.deadline = now.Add(c.timeout)
	}
}

func (c *Conn) sendSYN() {
	c.send(c.segment(Segment{SYN: true, ACK: c.passive, Sequence: c.base}))
}

func (c *Conn) sendACK() {
	n := c.base + uint32(c.sent)
	if c.finSent || c.finAcked {
		n++
	}
	c.send(c.segment(Segment{ACK: true, Sequence: n}))
}

func (c *Conn) segment(s Segment) Segment {
	s.Source, s.Destination = c.Local, c.Remote
	if s.ACK {
		s.Acknowledgment = c.expect
	}
	return s
}

// ResetFor returns the RST that answers a segment of an unknown connection
// (RFC 9293, section 3.5.2).
func ResetFor(s Segment) Segment {
	r := Segment{Source: s.Destination, Destination: s.Source, RST: true}
	if s.ACK {
		r.Sequence = s.Acknowledgment
		return r
	}
	r.ACK = true
	r.Acknowledgment = s.Sequence + uint32(len(s.Payload))
	if s.SYN || s.FIN {
		r.Acknowledgment++
	}
	return r
}
