package bvdaemon

import (
	"time"

	"balsamvane/core/bvflow"
	"balsamvane/core/bvroute"
	"balsamvane/io/bvtunnel"
)

// maxDecisionAge is the age above which decisions are discarded. The process was
// then paused between deciding and sending, and the configuration or membership
// may have changed since.
const maxDecisionAge = time.Second

// packetSender collects packets to send on one socket.
type packetSender struct {
	socket *bvtunnel.Socket
	batch  *bvtunnel.OutBatch
}

// worker gets the node's decisions on queued packets and carries them out.
type worker struct {
	daemon       *Daemon
	queue        *queue
	fabric, peer packetSender
	codec        *bvtunnel.Codec
	refuser      *bvtunnel.Refuser
	decisions    []bvroute.Decision
}

func newWorker(d *Daemon, q *queue, fabric, peer *bvtunnel.Socket) *worker {
	return &worker{
		daemon: d, queue: q,
		fabric:    packetSender{socket: fabric, batch: bvtunnel.NewOutBatch()},
		peer:      packetSender{socket: peer, batch: bvtunnel.NewOutBatch()},
		codec:     bvtunnel.NewCodec(d.keys),
		refuser:   bvtunnel.NewRefuser(),
		decisions: make([]bvroute.Decision, 0, bvtunnel.BatchSize),
	}
}

// run processes batches until the queue is closed and empty.
func (w *worker) run() {
	for b := range w.queue.filled {
		w.queue.queued.Add(-int64(len(b.packets)))
		w.process(b.packets)
		w.queue.free <- b
	}
}

// process gets the decisions for a batch with the node locked once, then carries
// them out.
func (w *worker) process(items []parsedPacket) {
	w.decisions = w.decisions[:0]
	w.daemon.mu.Lock()
	now := w.daemon.clock.Now() // Events handled during the wait for the lock have earlier times.
	for i := range items {
		it := &items[i]
		w.decisions = append(w.decisions, w.daemon.node.Packet(now, it.packet, it.trail, it.record))
	}
	w.daemon.mu.Unlock()
	if w.daemon.clock.Since(now) > maxDecisionAge {
		counterOf(w.daemon.counters.droppedBy, bvroute.ReasonPaused).Inc(int64(len(items)))
		return
	}
	for i := range items {
		w.carryOut(&items[i], &w.decisions[i])
	}
	from := w.daemon.clock.Now()
	if failed := w.flush(&w.fabric) + w.flush(&w.peer); failed == 0 {
		w.recordSent(from, items)
	}
}

// flush sends the packets of o. It returns the number that the kernel did not
// accept.
func (w *worker) flush(o *packetSender) (failed int) {
	failed = o.socket.Write(o.batch)
	if failed > 0 {
		w.daemon.counters.sendFailed.Inc(int64(failed))
	}
	return failed
}

// recordSent tells the node when the openings of a batch were sent. It locks the
// node only if there are any.
func (w *worker) recordSent(from time.Time, items []parsedPacket) {
	locked, by := false, time.Time{}
	for i := range items {
		v := w.decisions[i].Verdict
		if items[i].packet.Phase != bvflow.PhaseOpening || v != bvroute.VerdictUpstream && v != bvroute.VerdictForward {
			continue
		}
		if !locked {
			by = w.daemon.clock.Now()
			w.daemon.mu.Lock()
			defer w.daemon.mu.Unlock()
			locked = true
		}
		w.daemon.node.Sent(from, by, items[i].packet)
	}
}

// carryOut carries out the decision on one packet. Each packet causes at most
// one outgoing packet, so a packetSender never exceeds its batch.
func (w *worker) carryOut(in *parsedPacket, decision *bvroute.Decision) {
	c := w.daemon.counters
	switch decision.Verdict {
	case bvroute.VerdictDrop:
		counterOf(c.droppedBy, decision.Reason).Inc(1)
	case bvroute.VerdictUpstream:
		b, err := bvtunnel.AppendPlain(w.fabric.batch.Buffer(), decision.VNI, in.inner)
		if err != nil {
			c.encodeFailed.Inc(1)
			return
		}
		w.fabric.batch.Add(b, decision.Tunnel)
		c.toUpstream.Inc(1)
	case bvroute.VerdictForward:
		b, err := w.codec.AppendForwarded(w.peer.batch.Buffer(), bvtunnel.ForwardedPacket{
			VNI: in.vni, Sender: w.daemon.self, Incarnation: w.daemon.incarnation(),
			Trail: decision.Trail, Record: decision.Record, Inner: in.inner,
		})
		if err != nil {
			c.encodeFailed.Inc(1)
			return
		}
		w.peer.batch.Add(b, decision.Tunnel)
		c.forwarded.Inc(1)
	case bvroute.VerdictRefuse:
		w.refuse(in, decision)
	}
}

func (w *worker) refuse(in *parsedPacket, decision *bvroute.Decision) {
	c := w.daemon.counters
	refusal, err := w.refuser.Refuse(in.inner, in.packet)
	if err != nil {
		c.encodeFailed.Inc(1)
		return
	}
	vni := decision.VNI
	if vni == 0 {
		vni = in.vni
	}
	b, err := bvtunnel.AppendPlain(w.fabric.batch.Buffer(), vni, refusal)
	if err != nil {
		c.encodeFailed.Inc(1)
		return
	}
	w.fabric.batch.Add(b, w.daemon.returnAddress())
	c.refused.Inc(1)
	counterOf(c.refusedBy, decision.Reason).Inc(1)
}
