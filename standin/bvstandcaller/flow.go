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

// outcome is how a request ended.
type outcome uint8

const (
	outcomeOpen         outcome = iota
	outcomeWhole                // The whole answer, from the right service.
	outcomeWrongService         // An answer of another service.
	outcomeRefused
	outcomeReset    // RST after the connection was open.
	outcomeTimedOut // Retransmissions without effect.
	outcomeCorrupt  // An answer that is not the request's own or not whole.
	outcomeSilent   // A feed without messages for feedSilence.
	outcomeGivenUp  // Ended in a zone taken out.
	outcomeCount
)

var outcomeNames = [outcomeCount]string{
	"open", "whole", "wrongService", "refused", "reset", "timedOut", "corrupt", "silent", "givenUp",
}

// Limits of a request over UDP.
const (
	udpTimeout    = 200 * time.Millisecond // Before the first retransmission, unless the service has its own.
	udpMaxTimeout = 3200 * time.Millisecond
	udpGiveUp     = 25 * time.Second // After the first datagram.
)

// flow is one request on a connection or a UDP exchange of its own.
type flow struct {
	caller  *Caller
	service Service
	verb    string
	id      string
	source  netip.AddrPort
	opened  time.Time
	conn    *bvwire.Conn // nil for UDP.
	outcome outcome

	location    netip.AddrPort // Tunnel address of the first upstream that answered.
	moved       bool           // Another upstream answered, too.
	asked       bool
	received    []byte
	messages    int // Of a feed.
	lastMessage time.Time
	closing     bool // A feed that this side has closed.

	timeout  time.Duration // UDP: before the next retransmission.
	deadline time.Time
}

// handle takes an answer that came from the given tunnel address.
func (f *flow) handle(now time.Time, from netip.AddrPort, vni uint32, s bvwire.Segment) {
	refusal := s.RST || s.Unreachable
	if !refusal && vni != f.service.VNI {
		f.end(outcomeWrongService)
	}
	if !refusal {
		switch {
		case !f.location.IsValid():
			f.location = from
		case f.location != from:
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
		f.end(outcomeRefused)
		return
	}
	f.received = s.Payload
	f.checkAnswer()
}

// progress sends the request once the connection is open, reads what has
// arrived and takes note of the connection's end.
func (f *flow) progress(now time.Time) {
	if f.conn.State() == bvwire.StateOpen && !f.asked {
		f.asked = true
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
		f.end(outcomeRefused)
	case bvwire.StateReset:
		f.end(outcomeReset)
	case bvwire.StateTimedOut:
		f.end(outcomeTimedOut)
	case bvwire.StateClosed:
		if f.verb == bvwire.VerbFeed && f.closing && f.messages > 0 && len(f.received) == 0 {
			f.end(outcomeWhole)
		}
		f.end(outcomeCorrupt)
	case bvwire.StateOpen:
		if f.conn.PeerClosed() && !f.closing {
			f.end(outcomeCorrupt) // The answer ended early.
			f.conn.Close(now)
		}
	}
}

// end sets the outcome if there is none yet. What breaks in a zone taken out
// is given up.
func (f *flow) end(o outcome) {
	if f.outcome != outcomeOpen {
		return
	}
	switch o {
	case outcomeReset, outcomeTimedOut, outcomeSilent:
		if f.caller.takenOut(f) {
			o = outcomeGivenUp
		}
	}
	f.outcome = o
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
		f.end(outcomeCorrupt)
	case a.Service != f.service.Name:
		f.end(outcomeWrongService)
	case a.Refusal != "":
		f.end(outcomeRefused)
	case !bytes.Equal(a.Body, bvwire.Body(f.verb, f.id)):
		f.end(outcomeCorrupt)
	default:
		f.end(outcomeWhole)
	}
}

// checkFeed takes the complete lines of a feed, whose numbers have no gaps.
func (f *flow) checkFeed(now time.Time) {
	for {
		line, rest, found := bytes.Cut(f.received, []byte("\n"))
		if !found {
			return
		}
		f.received = rest
		if strings.HasPrefix(string(line), "refused ") {
			f.end(outcomeRefused)
			return
		}
		m, err := bvwire.ParseFeedMessage(string(line))
		switch {
		case err != nil || m.ID != f.id || m.Number != f.messages+1:
			f.end(outcomeCorrupt)
		case m.Service != f.service.Name:
			f.end(outcomeWrongService)
		}
		f.messages++
		f.lastMessage = now
	}
}

func (f *flow) tick(now time.Time) {
	if f.conn == nil {
		if f.outcome == outcomeOpen && !now.Before(f.deadline) {
			f.sendRequest(now)
		}
		return
	}
	f.conn.Tick(now)
	f.progress(now)
	if f.verb == bvwire.VerbFeed && !f.closing && f.outcome == outcomeOpen && now.Sub(f.lastMessage) > feedSilence {
		f.end(outcomeSilent)
	}
}

// sendRequest sends a UDP request, also again after a timeout, which doubles.
func (f *flow) sendRequest(now time.Time) {
	if now.Sub(f.opened) > udpGiveUp {
		f.end(outcomeTimedOut)
		return
	}
	switch {
	case f.timeout > 0:
		f.timeout = min(2*f.timeout, udpMaxTimeout)
	case f.service.RetransmitAfter > 0:
		f.timeout = f.service.RetransmitAfter
	default:
		f.timeout = udpTimeout
	}
	f.deadline = now.Add(f.timeout)
	f.caller.send(bvwire.Segment{UDP: true, Source: f.source, Destination: f.service.Address, Payload: f.request()})
}
