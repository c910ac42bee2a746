package bvtoken

import "time"

// newestAnswered tracks the most recently sent packet that was answered. Packets leave
// this balancer in order, and packets that arrive are read in order. So when a packet
// that was sent well after another one is answered first, the other one was not
// answered, however long packets and answers wait in this process or in its links. The
// margin allows for the paths of callers and upstreams. RFC 8985 detects lost packets in
// the same way.
type newestAnswered struct {
	sentAt time.Time // Zero if no packet was answered.
	// before is sentAt without the answers of the batch.
	before time.Time
	batch  uint64
}

// record records that a packet sent at a time was answered by one of a batch.
func (n *newestAnswered) record(batch uint64, sentAt time.Time) {
	if n.batch != batch {
		n.batch, n.before = batch, n.sentAt
	}
	if sentAt.After(n.sentAt) {
		n.sentAt = sentAt
	}
}

// beforeBatch returns when the most recently sent packet was sent that was answered
// before a batch, whose packets are not routed in the order of their arrival.
func (n *newestAnswered) beforeBatch(batch uint64) time.Time {
	if n.batch == batch {
		return n.before
	}
	return n.sentAt
}

// recordAnswered records that the packet sent to an upstream at a time was answered.
func (r *Router) recordAnswered(t *target, sentAt time.Time) {
	r.answered.record(r.batch, sentAt)
	t.zone.answered.record(r.batch, sentAt)
}

// Sent records that the packets of all decisions before were sent by now. They are a
// batch: their order need not be that of their arrival.
func (r *Router) Sent(now time.Time) {
	for _, k := range r.unsent {
		r.requests.recordSent(now, k)
		r.pending.recordSent(now, k)
	}
	if len(r.unsent) > 0 {
		r.newestSent = now
		if r.noAnswerSince.IsZero() {
			r.noAnswerSince = now
		}
	}
	r.unsent = r.unsent[:0]
	r.recordHedgesSent(now)
	r.batch++
}

// answerOverdue reports whether the time in which a packet is usually answered had
// passed between its sending and a time.
func (r *Router) answerOverdue(sentAt, at time.Time) bool {
	return !sentAt.IsZero() && at.Sub(sentAt) >= r.handshake.timeout()
}

// overtaken reports whether the newest answered packet was sent well after a time.
// Answers may be out of order by the time in which they usually come, since upstreams
// and callers are at different distances.
func (r *Router) overtaken(sentAt time.Time, newest *newestAnswered) bool {
	return newest.beforeBatch(r.batch).Sub(sentAt) >= r.handshake.timeout()
}

// maxCommonDelay is the time without any answer from which upstreams are suspected
// although answers to all packets may be late for the same reason.
const maxCommonDelay = time.Second

// unanswered reports whether the arrival of p shows that an upstream did not answer a
// packet sent at a time; newest is the newest answered packet of its zone. If other
// packets are not answered either, the answers to all of them may be late because of
// this balancer.
func (r *Router) unanswered(sentAt time.Time, p Packet, newest *newestAnswered) bool {
	if !r.answerOverdue(sentAt, p.ArrivedAfter) {
		return false
	}
	alone := len(r.requests.open)+r.pending.len() <= 1
	noAnswers := !r.noAnswerSince.IsZero() && p.ArrivedAfter.Sub(r.noAnswerSince) >= maxCommonDelay
	return alone || noAnswers || r.overtaken(sentAt, newest)
}

// suspected reports whether it is likely that the upstream did not answer a packet sent
// at sentAt, given that all packets that had arrived by arrivedBy have been routed. It is
// enough to prefer other upstreams for new flows for some time, and does not need packets
// to others: all upstreams of a zone may be down.
func (r *Router) suspected(sentAt, arrivedBy time.Time) bool {
	if !r.answerOverdue(sentAt, arrivedBy) {
		return false
	}
	isNewest := r.newestSent.Sub(sentAt) < r.handshake.timeout()
	return isNewest || r.overtaken(sentAt, &r.answered)
}

// maxReadDelay is how long a packet may have waited to be read for the time of the read
// to count as the time of its arrival in a measurement.
const maxReadDelay = 100 * time.Millisecond

// readPromptly reports whether p was read soon after its arrival.
func readPromptly(now time.Time, p Packet) bool { return now.Sub(p.ArrivedAfter) <= maxReadDelay }
