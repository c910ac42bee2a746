package bvtoken

import "time"

// newestAnswered tracks the most recently sent packet that was answered. Packets
// leave this balancer in order, and so do answers reach it. So an earlier packet that
// is repeated after that answer has arrived was not answered, however long packets
// wait in this process or in its links. RFC 8985 detects lost packets in this way.
type newestAnswered struct {
	sentAt time.Time // Zero if there is none.
	// next is answered as well, but the answers to packets sent before it may still
	// be on their way.
	next sentPacket
}

// sentPacket is a packet whose answer was read.
type sentPacket struct{ sentAt, readAt time.Time }

// record records that the answer to a packet was read. The answer arrived after a
// time. window is by how much answers may be out of order.
func (n *newestAnswered) record(now, arrivedAfter, sentAt time.Time, window time.Duration) {
	if sentAt.IsZero() {
		return
	}
	n.settle(arrivedAfter, window)
	if n.next.sentAt.IsZero() {
		n.next = sentPacket{sentAt: sentAt, readAt: now}
	}
}

// settle takes the next packet into account if all answers that it may have overtaken
// had arrived by a time.
func (n *newestAnswered) settle(arrived time.Time, window time.Duration) {
	if n.next.sentAt.IsZero() || arrived.Sub(n.next.readAt) < window {
		return
	}
	if n.next.sentAt.After(n.sentAt) {
		n.sentAt = n.next.sentAt
	}
	n.next = sentPacket{}
}

// overtook reports whether a packet that was sent after a time was answered, and every
// answer to an earlier one had arrived before a packet that arrived after another time.
func (n *newestAnswered) overtook(sentAt, arrivedAfter time.Time, window time.Duration) bool {
	n.settle(arrivedAfter, window)
	return !sentAt.IsZero() && n.sentAt.After(sentAt)
}

// recordAnswered records that the packet sent to an upstream at a time was answered by
// the packet p of its caller.
func (r *Router) recordAnswered(now time.Time, t *target, p Packet, sentAt time.Time) {
	t.zone.answered.record(now, p.ArrivedAfter, sentAt, r.handshake.timeout())
}

// Sent records that the packets of all decisions before were sent by now.
func (r *Router) Sent(now time.Time) {
	for _, k := range r.unsent {
		r.requests.recordSent(now, k)
		r.pending.recordSent(now, k)
	}
	r.unsent = r.unsent[:0]
}
