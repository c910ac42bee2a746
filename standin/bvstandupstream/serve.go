package bvstandupstream

import (
	"bytes"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"balsamvane/standin/bvwire"
)

// processingTimes are the times for which a request occupies its slot, by verb.
var processingTimes = map[string]time.Duration{
	bvwire.VerbTicket:      20 * time.Millisecond,
	bvwire.VerbSummary:     10 * time.Millisecond,
	bvwire.VerbCertificate: 40 * time.Millisecond,
}

type flowKey struct {
	source, destination netip.AddrPort
	udp                 bool
}

// flow is a connection or a UDP exchange, with at most one request.
type flow struct {
	key      flowKey
	conn     *bvwire.Conn // nil for UDP.
	line     []byte       // The part of the request line that has arrived.
	verb     string
	id       string
	deadline time.Time // The request is not started after it; zero if there is none.
	answer   []byte    // The answer to a UDP request, sent again if it is retransmitted.
	messages int       // Messages sent on a feed.
	nextDue  time.Time // Time of the feed's next message or of the answer.
	endedAt  time.Time
}

func (u *Upstream) handleSegment(now time.Time, s bvwire.Segment) {
	k := flowKey{source: s.Source, destination: s.Destination}
	f := u.flows[k]
	switch {
	case s.SYN && !s.ACK && (f == nil || f.conn.Ended()):
		if !u.newFlowOverloads(now) {
			u.flows[k] = &flow{key: k, conn: bvwire.Accept(now, s, rand.Uint32(), u.send)}
		}
		return
	case f == nil && s.RST:
		return
	case f == nil:
		u.counts.ResetsSent++
		u.send(bvwire.ResetFor(s))
		return
	}
	f.conn.Handle(now, s)
	u.readRequest(now, f)
}

// readRequest processes the request line once it is complete, and the
// caller's FIN.
func (u *Upstream) readRequest(now time.Time, f *flow) {
	if b := f.conn.Read(); f.verb == "" {
		f.line = append(f.line, b...)
		if line, _, found := bytes.Cut(f.line, []byte("\n")); found {
			u.handleRequest(now, f, string(line))
		}
	}
	if f.conn.PeerClosed() {
		u.cancel(f)
		f.conn.Close(now)
	}
}

// handleRequest parses a request line and queues or refuses the request.
func (u *Upstream) handleRequest(now time.Time, f *flow, line string) {
	w := strings.Fields(line)
	if len(w) < 2 {
		u.finish(now, f, []byte("refused malformed - "+u.options.Service+" "+u.options.Name+" malformed\n"))
		return
	}
	f.verb, f.id = w[0], w[1]
	for _, token := range w[2:] {
		if ms, found := strings.CutPrefix(token, "deadline="); found {
			if n, err := strconv.Atoi(ms); err == nil {
				f.deadline = now.Add(time.Duration(n) * time.Millisecond)
			}
		}
	}
	switch {
	case f.verb == bvwire.VerbFeed && f.conn != nil:
		u.counts.Ran[f.id]++
		f.nextDue = now
	case processingTimes[f.verb] == 0:
		u.refuse(now, f, "unknown")
	case len(u.queue) >= u.options.Queue:
		u.counts.Shed++
		u.refuse(now, f, "shedding")
	default:
		u.queue = append(u.queue, f)
		u.startQueued(now)
	}
}

// handleDatagram processes a UDP request. A retransmitted one gets the same
// answer and is not run again.
func (u *Upstream) handleDatagram(now time.Time, s bvwire.Segment) {
	k := flowKey{source: s.Source, destination: s.Destination, udp: true}
	line := strings.TrimSuffix(string(s.Payload), "\n")
	f := u.flows[k]
	if w := strings.Fields(line); f != nil && len(w) > 1 && w[1] == f.id {
		if f.answer != nil {
			u.sendDatagram(f)
		}
		return
	}
	if u.newFlowOverloads(now) {
		return
	}
	f = &flow{key: k}
	u.flows[k] = f
	u.handleRequest(now, f, line)
}

func (u *Upstream) sendDatagram(f *flow) {
	u.send(bvwire.Segment{UDP: true, Source: f.key.destination, Destination: f.key.source, Payload: f.answer})
}

func (u *Upstream) refuse(now time.Time, f *flow, reason string) {
	a := bvwire.Answer{Verb: f.verb, ID: f.id, Service: u.options.Service, Upstream: u.options.Name, Refusal: reason}
	u.finish(now, f, a.Format())
}

// finish sends the answer and closes this end of the connection.
func (u *Upstream) finish(now time.Time, f *flow, answer []byte) {
	if f.conn == nil {
		f.answer, f.endedAt = answer, now
		u.sendDatagram(f)
		return
	}
	f.conn.Write(now, answer)
	f.conn.Close(now)
}

// cancel removes a request that waits for a slot.
func (u *Upstream) cancel(f *flow) {
	if i := slices.Index(u.queue, f); i >= 0 {
		u.queue = slices.Delete(u.queue, i, i+1)
		u.counts.Cancelled++
	}
}

// startQueued moves waiting requests to free slots.
func (u *Upstream) startQueued(now time.Time) {
	for len(u.queue) > 0 && len(u.running) < u.options.Slots {
		f := u.queue[0]
		u.queue = u.queue[1:]
		if !f.deadline.IsZero() && now.After(f.deadline) {
			u.counts.Expired++
			u.refuse(now, f, "deadline")
			continue
		}
		u.counts.Ran[f.id]++
		f.nextDue = now.Add(processingTimes[f.verb])
		u.running = append(u.running, f)
	}
}

// tick handles what is due: retransmissions, the answers to requests in
// slots, and feed messages. It also deletes flows after their retention.
func (u *Upstream) tick(now time.Time) {
	if now.Before(u.unresponsiveUntil) {
		return
	}
	u.running = slices.DeleteFunc(u.running, func(f *flow) bool {
		if now.Before(f.nextDue) {
			return false
		}
		a := bvwire.Answer{
			Verb: f.verb, ID: f.id, Service: u.options.Service, Upstream: u.options.Name,
			Body: bvwire.Body(f.verb, f.id),
		}
		u.finish(now, f, a.Format())
		return true
	})
	u.startQueued(now)
	for k, f := range u.flows {
		u.tickFlow(now, f)
		retention := closedRetention
		if f.conn == nil {
			retention = answerRetention
		}
		if !f.endedAt.IsZero() && now.Sub(f.endedAt) > retention {
			delete(u.flows, k)
		}
	}
}

func (u *Upstream) tickFlow(now time.Time, f *flow) {
	if f.conn == nil || !f.endedAt.IsZero() {
		return
	}
	f.conn.Tick(now)
	if f.conn.Ended() {
		f.endedAt = now
		if f.conn.State() != bvwire.StateClosed {
			u.cancel(f)
		}
		if f.conn.State() == bvwire.StateTimedOut {
			u.counts.TimedOut++
		}
		return
	}
	if f.verb == bvwire.VerbFeed && !f.conn.PeerClosed() && !now.Before(f.nextDue) {
		f.messages++
		m := bvwire.FeedMessage{ID: f.id, Service: u.options.Service, Upstream: u.options.Name, Number: f.messages}
		f.conn.Write(now, m.Format())
		f.nextDue = now.Add(feedInterval)
	}
}

// openFlows returns the number of flows that have not ended.
func (u *Upstream) openFlows() int {
	n := 0
	for _, f := range u.flows {
		if f.endedAt.IsZero() {
			n++
		}
	}
	return n
}
