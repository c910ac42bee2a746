package bvstandcaller

import (
	"bytes"
	"errors"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"balsamvane/standin/bvwire"
)

// outcome is the result of a request.
type outcome uint8

const (
	outcomeOpen         outcome = iota
	outcomeComplete             // The complete answer of the right service.
	outcomeWrongService         // An answer of another service.
	outcomeRefused
	outcomeReset        // RST after the handshake.
	outcomeTimedOut     // No progress after all retransmissions.
	outcomeCorrupt      // An answer that is damaged, incomplete or to another request.
	outcomeUnresponsive // A feed without messages for feedTimeout.
	outcomeAbandoned    // Failed because its zone was taken out of service.
	outcomeCount
)

var outcomeNames = [outcomeCount]string{
	"open", "whole", "wrongService", "refused", "reset", "timedOut", "corrupt", "silent", "givenUp",
}

// Limits of a request over UDP.
const (
	udpInitialTimeout = 200 * time.Millisecond // Before the first retransmission, unless the service configures it.
	udpMaxTimeout     = 3200 * time.Millisecond
	udpRequestTimeout = 25 * time.Second // Counted from the first datagram.
)

// flow is a request on its own connection or UDP exchange.
type flow struct {
	caller  *Caller
	service Service
	verb    string
	id      string
	source  netip.AddrPort
	opened  time.Time
	conn    *bvwire.Conn // nil for UDP.
	outcome outcome
	endedAt time.Time // When the outcome was set.

	answeredBy  netip.AddrPort // Tunnel address of the first upstream that answered.
	moved       bool           // Another upstream has also answered.
	requested   bool           // The request was written to conn.
	received    []byte
	messages    int // Messages received on a feed.
	lastMessage time.Time
	closing     bool // A feed that the caller has closed.

	timeout      time.Duration // Time between the last UDP datagram and its retransmission.
	retransmitAt time.Time
}

// handle processes an answer received from the given tunnel address.
func (f *flow) handle(now time.Time, from netip.AddrPort, vni uint32, s bvwire.Segment) {
	refusal := s.RST || s.Unreachable
	if !refusal && vni != f.service.VNI {
		f.setOutcome(outcomeWrongService)
	}
	if !refusal {
		switch {
		case !f.answeredBy.IsValid():
			f.answeredBy = from
		case f.answeredBy != from:
			f.moved = true
		}
	}
	if f.conn == nil {
		f.handleDatagram(s)
		return
	}
	f.conn.Handle(now, s)
	f.progress(now)
}

func (f *flow) handleDatagram(s bvwire.Segment) {
	if s.Unreachable {
		f.setOutcome(outcomeRefused)
		return
	}
	f.received = s.Payload
	f.checkAnswer()
}

// progress sends the request once the connection is open, checks the bytes
// that have arrived and records the outcome when the connection ends.
func (f *flow) progress(now time.Time) {
	if f.conn.State() == bvwire.StateOpen && !f.requested {
		f.requested = true
		f.conn.Write(now, f.request())
	}
	if b := f.conn.Read(); len(b) > 0 {
		f.received = append(f.received, b...)
		if f.verb == bvwire.VerbFeed {
			f.checkFeed(now)
		} else {
			f.checkAnswer()
		}
		if f.outcome != outcomeOpen {
			f.conn.Close(now)
		}
	}
	switch f.conn.State() {
	case bvwire.StateRefused:
		f.setOutcome(outcomeRefused)
	case bvwire.StateReset:
		f.setOutcome(outcomeReset)
	case bvwire.StateTimedOut:
		f.setOutcome(outcomeTimedOut)
	case bvwire.StateClosed:
		if f.verb == bvwire.VerbFeed && f.closing && f.messages > 0 && len(f.received) == 0 {
			f.setOutcome(outcomeComplete)
		}
		f.setOutcome(outcomeCorrupt)
	case bvwire.StateOpen:
		if f.conn.PeerClosed() && !f.closing {
			f.setOutcome(outcomeCorrupt) // The answer is incomplete.
			f.conn.Close(now)
		}
	}
}

// setOutcome sets the outcome if there is none yet. A flow that breaks because
// its zone was taken out of service is abandoned.
func (f *flow) setOutcome(o outcome) {
	if f.outcome != outcomeOpen {
		return
	}
	switch o {
	case outcomeReset, outcomeTimedOut, outcomeUnresponsive:
		if f.caller.zoneWasOutOfService(f) {
			o = outcomeAbandoned
		}
	}
	f.outcome, f.endedAt = o, f.caller.clock.Now()
}

func (f *flow) request() []byte {
	line := f.verb + " " + f.id
	if f.service.Deadline > 0 && f.verb != bvwire.VerbFeed {
		line += " deadline=" + strconv.FormatInt(f.service.Deadline.Milliseconds(), 10)
	}
	return []byte(line + "\n")
}

func (f *flow) checkAnswer() {
	a, err := bvwire.ParseAnswer(f.received)
	switch {
	case errors.Is(err, bvwire.ErrPartialAnswer):
	case err != nil || a.ID != f.id || a.Verb != f.verb:
		f.setOutcome(outcomeCorrupt)
	case a.Service != f.service.Name:
		f.setOutcome(outcomeWrongService)
	case a.Refusal != "":
		f.setOutcome(outcomeRefused)
	case !bytes.Equal(a.Body, bvwire.Body(f.verb, f.id)):
		f.setOutcome(outcomeCorrupt)
	default:
		f.setOutcome(outcomeComplete)
	}
}

// checkFeed checks the complete lines of a feed, which are numbered without
// gaps.
func (f *flow) checkFeed(now time.Time) {
	for {
		line, rest, found := bytes.Cut(f.received, []byte("\n"))
		if !found {
			return
		}
		f.received = rest
		if strings.HasPrefix(string(line), "refused ") {
			f.setOutcome(outcomeRefused)
			return
		}
		m, err := bvwire.ParseFeedMessage(string(line))
		switch {
		case err != nil || m.ID != f.id || m.Number != f.messages+1:
			f.setOutcome(outcomeCorrupt)
		case m.Service != f.service.Name:
			f.setOutcome(outcomeWrongService)
		}
		f.messages++
		f.lastMessage = now
	}
}

func (f *flow) tick(now time.Time) {
	if f.conn == nil {
		if f.outcome == outcomeOpen && !now.Before(f.retransmitAt) {
			f.sendRequest(now)
		}
		return
	}
	f.conn.Tick(now)
	f.progress(now)
	if f.verb == bvwire.VerbFeed && !f.closing && f.outcome == outcomeOpen && now.Sub(f.lastMessage) > feedTimeout {
		f.setOutcome(outcomeUnresponsive)
	}
}

// sendRequest sends or retransmits a UDP request. The timeout doubles with each
// retransmission.
func (f *flow) sendRequest(now time.Time) {
	if now.Sub(f.opened) > udpRequestTimeout {
		f.setOutcome(outcomeTimedOut)
		return
	}
	switch {
	case f.timeout > 0:
		f.timeout = min(2*f.timeout, udpMaxTimeout)
	case f.service.RetransmitAfter > 0:
		f.timeout = f.service.RetransmitAfter
	default:
		f.timeout = udpInitialTimeout
	}
	f.retransmitAt = now.Add(f.timeout)
	f.caller.send(bvwire.Segment{UDP: true, Source: f.source, Destination: f.service.Address, Payload: f.request()})
}
