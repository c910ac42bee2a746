package bvdaemon

import (
	"time"

	"balsamvane/core/bvroute"
	"balsamvane/io/bvtunnel"
)

// maxDecisionAge is the age above which decisions are not carried out. The
// process was paused between deciding and sending, and the picture may have
// changed meanwhile.
const maxDecisionAge = time.Second

// outlet collects packets for one socket.
type outlet struct {
	socket *bvtunnel.Socket
	batch  *bvtunnel.OutBatch
}

// worker decides on queued packets and sends them on.
type worker struct {
	daemon       *Daemon
	queue        *queue
	fabric, peer outlet
	codec        *bvtunnel.Codec
	refuser      *bvtunnel.Refuser
	decisions    []bvroute.Decision
}

func newWorker(d *Daemon, q *queue, fabric, peer *bvtunnel.Socket) *worker {
	return &worker{
		daemon: d, queue: q,
		fabric:    outlet{socket: fabric, batch: bvtunnel.NewOutBatch()},
		peer:      outlet{socket: peer, batch: bvtunnel.NewOutBatch()},
		codec:     bvtunnel.NewCodec(d.keys),
		refuser:   bvtunnel.NewRefuser(),
		decisions: make([]bvroute.Decision, 0, bvtunnel.BatchSize),
	}
}

// run works until the queue is closed and empty.
func (w *worker) run() {
	for b := range w.queue.full {
		w.queue.depth.Add(-int64(len(b.items)))
		w.process(b.items)
		w.queue.free <- b
	}
}

// process decides on a batch with the node locked once, and then sends it.
func (w *worker) process(items []item) {
	w.decisions = w.decisions[:0]
	now := w.daemon.clock.Now()
	w.daemon.mu.Lock()
	for i := range items {
		it := &items[i]
		w.decisions = append(w.decisions, w.daemon.node.Packet(now, it.packet, it.trail, it.record))
	}
	w.daemon.mu.Unlock()
	if w.daemon.clock.Since(now) > maxDecisionAge {
		reasonOf(w.daemon.counters.droppedBy, bvroute.ReasonPaused).Inc(int64(len(items)))
		return
	}
	for i := range items {
		w.execute(&items[i], &w.decisions[i])
	}
	w.flush(&w.fabric)
	w.flush(&w.peer)
}

func (w *worker) flush(o *outlet) {
	if n := o.socket.Write(o.batch); n > 0 {
		w.daemon.counters.sendFailed.Inc(int64(n))
	}
}

// execute does what was decided for one packet. A packet leads to at most one
// other, so an outlet never gets more packets than a batch holds.
func (w *worker) execute(it *item, v *bvroute.Decision) {
	c := w.daemon.counters
	switch v.Verdict {
	case bvroute.VerdictDrop:
		reasonOf(c.droppedBy, v.Reason).Inc(1)
	case bvroute.VerdictUpstream:
		b, err := bvtunnel.AppendPlain(w.fabric.batch.Buffer(), v.VNI, it.inner)
		if err != nil {
			c.encodeFailed.Inc(1)
			return
		}
		w.fabric.batch.Add(b, v.Tunnel)
		c.toUpstream.Inc(1)
	case bvroute.VerdictForward:
		b, err := w.codec.AppendForwarded(w.peer.batch.Buffer(), bvtunnel.ForwardedPacket{
			VNI: it.vni, Sender: w.daemon.self, Incarnation: w.daemon.incarnation(),
			Trail: v.Trail, Record: v.Record, Inner: it.inner,
		})
		if err != nil {
			c.encodeFailed.Inc(1)
			return
		}
		w.peer.batch.Add(b, v.Tunnel)
		c.handedOn.Inc(1)
	case bvroute.VerdictRefuse:
		w.refuse(it, v)
	}
}

func (w *worker) refuse(it *item, v *bvroute.Decision) {
	c := w.daemon.counters
	answer, err := w.refuser.Refuse(it.inner, it.packet)
	if err != nil {
		c.encodeFailed.Inc(1)
		return
	}
	vni := v.VNI
	if vni == 0 {
		vni = it.vni
	}
	b, err := bvtunnel.AppendPlain(w.fabric.batch.Buffer(), vni, answer)
	if err != nil {
		c.encodeFailed.Inc(1)
		return
	}
	w.fabric.batch.Add(b, w.daemon.returnAddress())
	c.refused.Inc(1)
	reasonOf(c.refusedBy, v.Reason).Inc(1)
}
