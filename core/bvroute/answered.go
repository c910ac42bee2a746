package bvroute

import (
	"time"

	"balsamvane/core/bvflow"
)

const (
	// answerReordering is by how much the answers to openings may be out of order,
	// since openings reach their upstreams on different paths.
	answerReordering = 50 * time.Millisecond
	// maxSendTime is the time that sending an opening may take. If it takes longer,
	// the time at which the opening left is not known well enough.
	maxSendTime = 10 * time.Millisecond
)

// newestAnswered tracks the most recently sent opening that was answered, of those
// that one balancer got from the fabric. Openings leave in order, and so do the
// packets that answer them arrive. So an earlier opening that is retransmitted
// after that answer was not answered, however long packets wait in either balancer
// or in its links. RFC 8985 detects lost packets in this way.
type newestAnswered struct {
	// settled is older than next by at least answerReordering.
	settled, next answeredOpening
}

// answeredOpening is an opening whose answer was read.
type answeredOpening struct{ sentAt, readAt time.Time }

// record records that the packet that answers an opening was read. The packet
// arrived after arrivedAfter.
func (n *newestAnswered) record(now, arrivedAfter, sentAt time.Time) {
	if sentAt.IsZero() || !n.next.readAt.IsZero() && arrivedAfter.Sub(n.next.readAt) < answerReordering {
		return
	}
	if n.next.sentAt.After(n.settled.sentAt) {
		n.settled = n.next
	}
	n.next = answeredOpening{sentAt: sentAt, readAt: now}
}

// overtook reports whether an opening that was sent after sentAt was answered, and
// all answers that it may have overtaken had arrived before a packet that arrived
// after arrivedAfter.
func (n *newestAnswered) overtook(sentAt, arrivedAfter time.Time) bool {
	if sentAt.IsZero() {
		return false
	}
	for _, o := range [2]answeredOpening{n.next, n.settled} {
		if o.sentAt.After(sentAt) && arrivedAfter.Sub(o.readAt) >= answerReordering {
			return true
		}
	}
	return false
}

// Sent records that the opening p was sent after from and by the time by, as
// [Router.Route] had decided. Other packets are ignored.
func (r *Router) Sent(from, by time.Time, p bvflow.Packet) {
	if r.view == nil || p.Phase != bvflow.PhaseOpening || by.Sub(from) > maxSendTime {
		return
	}
	e := r.table.Lookup(r.view.hasher.Key(p.Tuple))
	if e != nil && e.State == bvflow.StateOpening && e.Has(bvflow.FlagOwner) {
		r.table.SetOpeningSent(by, e)
	}
}

// recordAnswered records that the packet answers the opening of its flow. The
// packet may answer any copy of a retransmitted opening, so it tells nothing about
// the last one.
func (c *packetContext) recordAnswered(e *bvflow.Entry) {
	if e.Has(bvflow.FlagRetransmitted) {
		return
	}
	n := c.answered[c.trail.first()]
	n.record(c.now, c.packet.ArrivedAfter, c.table.OpeningSent(c.now, e))
	c.answered[c.trail.first()] = n
}

// pruneAnswered deletes the state of balancers that the view does not contain.
func (r *Router) pruneAnswered() {
	for id := range r.answered {
		if _, ok := r.view.peers[id]; !ok && id != 0 {
			delete(r.answered, id)
		}
	}
}

// recordRetransmission records that the packet is a copy of the opening that was
// last sent to t. The copy counts only if t left that opening unanswered: it may
// have been late in this process or in its links.
func (c *packetContext) recordRetransmission(e *bvflow.Entry, t *target) {
	n := c.answered[c.trail.first()]
	if n.overtook(c.table.OpeningSent(c.now, e), c.packet.ArrivedAfter) {
		c.limiter.Retransmitted(c.now, t.id)
	}
	e.Flags |= bvflow.FlagRetransmitted
	c.table.SetOpeningSent(time.Time{}, e) // The copy is not sent yet.
}
