package bvwire

import (
	"net/netip"
	"time"
)

// Parameters of the TCP implementation.
const (
	segmentSize        = 1200                   // Payload bytes of a segment.
	windowSize         = 16 * segmentSize       // Maximum number of unacknowledged bytes.
	initialTimeout     = 200 * time.Millisecond // Before the first retransmission.
	maxTimeout         = 3200 * time.Millisecond
	maxRetransmissions = 10 // Without progress, about 22 s in all.
)

// State is the state of a connection.
type State uint8

// States of a connection. All but Opening and Open are final.
const (
	StateOpening  State = iota
	StateOpen           // Handshake completed, also after one end has sent FIN.
	StateClosed         // Both ends have sent FIN and acknowledged the other's.
	StateRefused        // The SYN was answered by RST.
	StateReset          // RST was sent, or received after the handshake or by the passive end.
	StateTimedOut       // No progress after maxRetransmissions.
)

// Conn is one end of a TCP connection: handshake, cumulative
// acknowledgement, go-back-N retransmission with a doubling timeout, FIN and
// RST. It has no congestion control and discards segments that arrive out of
// order. It is not safe for concurrent use.
type Conn struct {
	Local, Remote netip.AddrPort
	// Retransmitted counts timeouts that led to a retransmission.
	Retransmitted int

	send    func(Segment)
	state   State
	passive bool

	sendUnacked uint32 // Sequence number of the SYN, later of sendBuffer[0].
	sendBuffer  []byte // Written bytes that are not acknowledged.
	sent        int    // Bytes of sendBuffer that have been sent.
	finQueued   bool
	finSent     bool // Reset by a timeout, so that FIN is sent again.
	finSentOnce bool // FIN has been sent at least once.
	finAcked    bool

	receiveNext   uint32 // Next sequence number from the other end.
	receiveBuffer []byte
	peerClosed    bool

	retransmissions int // Since the last progress.
	timeout         time.Duration
	deadline        time.Time // Time of the next retransmission; zero if none is due.
}

// Dial returns a connection to remote and sends its SYN.
func Dial(now time.Time, local, remote netip.AddrPort, sequence uint32, send func(Segment)) *Conn {
	c := &Conn{Local: local, Remote: remote, sendUnacked: sequence, send: send}
	c.sendSYN()
	c.armTimer(now, true)
	return c
}

// Accept returns the passive end of a connection and answers the SYN.
func Accept(now time.Time, syn Segment, sequence uint32, send func(Segment)) *Conn {
	c := &Conn{
		Local: syn.Destination, Remote: syn.Source, sendUnacked: sequence,
		send: send, passive: true, receiveNext: syn.Sequence + 1,
	}
	c.sendSYN()
	c.armTimer(now, true)
	return c
}

// State returns the state of the connection.
func (c *Conn) State() State { return c.state }

// Ended reports whether the state is final.
func (c *Conn) Ended() bool { return c.state >= StateClosed }

// PeerClosed reports whether the other end has sent FIN and all bytes before
// it have arrived.
func (c *Conn) PeerClosed() bool { return c.peerClosed }

// Drained reports whether the other end has acknowledged all written bytes.
func (c *Conn) Drained() bool { return len(c.sendBuffer) == 0 }

// Read returns the bytes that have arrived in order since the last call.
func (c *Conn) Read() []byte {
	b := c.receiveBuffer
	c.receiveBuffer = nil
	return b
}

// Write queues b, and sends as much as the window allows.
func (c *Conn) Write(now time.Time, b []byte) {
	if c.finQueued || c.Ended() {
		return
	}
	c.sendBuffer = append(c.sendBuffer, b...)
	c.flush(now)
}

// Close sends FIN after all written bytes.
func (c *Conn) Close(now time.Time) {
	c.finQueued = true
	c.flush(now)
}

// Reset sends RST and ends the connection.
func (c *Conn) Reset() {
	c.send(c.segment(Segment{RST: true, ACK: true, Sequence: c.sendUnacked + uint32(c.sent)}))
	c.state = StateReset
}

// Handle processes a received segment of this connection.
func (c *Conn) Handle(now time.Time, s Segment) {
	switch {
	case c.state == StateClosed:
		c.acknowledgeData(s) // The last ACK was lost.
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
	if c.state == StateOpening && (!c.passive || !s.ACK || s.Acknowledgment != c.sendUnacked+1) {
		return
	}
	if c.state == StateOpening {
		c.establish()
	}
	c.handleACK(now, s)
	c.receive(s)
	c.acknowledgeData(s)
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
	if c.retransmissions++; c.retransmissions > maxRetransmissions {
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
	case s.Unreachable || s.Acknowledgment == c.sendUnacked+1:
		c.state = StateRefused
	}
}

func (c *Conn) handleSYN(now time.Time, s Segment) {
	switch {
	case c.passive && !s.ACK: // A retransmitted SYN.
		if c.state == StateOpening && s.Sequence+1 == c.receiveNext {
			c.sendSYN()
		}
	case !c.passive && s.ACK && c.state == StateOpening && s.Acknowledgment == c.sendUnacked+1:
		c.receiveNext = s.Sequence + 1
		c.establish()
		c.sendACK()
		c.armTimer(now, true)
		c.flush(now)
	case !c.passive && s.ACK && c.state == StateOpen:
		c.sendACK()
	}
}

func (c *Conn) establish() {
	c.state = StateOpen
	c.sendUnacked++
	c.retransmissions, c.deadline = 0, time.Time{}
}

func (c *Conn) handleACK(now time.Time, s Segment) {
	acked := int(int32(s.Acknowledgment - c.sendUnacked))
	if !s.ACK || acked <= 0 || acked > len(c.sendBuffer)+1 {
		return
	}
	n := min(acked, len(c.sendBuffer))
	if acked > n {
		if !c.finSentOnce {
			return
		}
		c.finAcked = true
	}
	c.sendBuffer = c.sendBuffer[n:]
	c.sendUnacked += uint32(n)
	c.sent = max(0, c.sent-n)
	c.armTimer(now, true)
}

// receive appends the part of s that continues the received bytes.
func (c *Conn) receive(s Segment) {
	skip := int(int32(c.receiveNext - s.Sequence))
	if skip < 0 || skip > len(s.Payload) || c.peerClosed {
		return
	}
	c.receiveBuffer = append(c.receiveBuffer, s.Payload[skip:]...)
	c.receiveNext += uint32(len(s.Payload) - skip)
	if s.FIN {
		c.receiveNext++
		c.peerClosed = true
	}
}

func (c *Conn) acknowledgeData(s Segment) {
	if len(s.Payload) > 0 || s.FIN {
		c.sendACK()
	}
}

func (c *Conn) flush(now time.Time) {
	if c.state != StateOpen {
		return
	}
	for c.sent < len(c.sendBuffer) && c.sent < windowSize {
		n := min(segmentSize, len(c.sendBuffer)-c.sent)
		c.send(c.segment(Segment{ACK: true, Sequence: c.sendUnacked + uint32(c.sent), Payload: c.sendBuffer[c.sent : c.sent+n]}))
		c.sent += n
	}
	if c.finQueued && !c.finSent && !c.finAcked && c.sent == len(c.sendBuffer) {
		c.send(c.segment(Segment{ACK: true, FIN: true, Sequence: c.sendUnacked + uint32(c.sent)}))
		c.finSent, c.finSentOnce = true, true
	}
	c.armTimer(now, false)
}

// armTimer starts the retransmission timer if something is unacknowledged, and
// stops it otherwise. restart also restarts a running timer and resets its
// backoff.
func (c *Conn) armTimer(now time.Time, restart bool) {
	outstanding := c.state == StateOpening || c.sent > 0 || (c.finSent && !c.finAcked)
	if !outstanding {
		c.deadline = time.Time{}
		return
	}
	if restart || c.deadline.IsZero() {
		c.retransmissions, c.timeout = 0, initialTimeout
		c.deadline = now.Add(c.timeout)
	}
}

func (c *Conn) sendSYN() {
	c.send(c.segment(Segment{SYN: true, ACK: c.passive, Sequence: c.sendUnacked}))
}

func (c *Conn) sendACK() {
	n := c.sendUnacked + uint32(c.sent)
	if c.finSent || c.finAcked {
		n++
	}
	c.send(c.segment(Segment{ACK: true, Sequence: n}))
}

func (c *Conn) segment(s Segment) Segment {
	s.Source, s.Destination = c.Local, c.Remote
	if s.ACK {
		s.Acknowledgment = c.receiveNext
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
