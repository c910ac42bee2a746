package bvdaemon

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"balsamvane/core/bvflow"
	"balsamvane/core/bvnode"
	"balsamvane/core/bvroute"
	"balsamvane/io/bvtunnel"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// item is one parsed packet of a batch.
type item struct {
	packet bvflow.Packet
	inner  []byte
	vni    uint32
	trail  bvroute.Trail
	record bvroute.Record
}

// work is a batch on its way from a reader to its worker. The items point into
// the buffers of in.
type work struct {
	in    *bvtunnel.InBatch
	items []item
}

// queue connects one reader and one worker. One worker for each socket keeps
// the order of a flow's packets, because the kernel gives all packets of a
// source to the same socket.
type queue struct {
	free  chan *work
	full  chan *work
	depth atomic.Int64 // Packets in full.
	bound int64
}

// newQueue returns a queue for a share of the given number of packets.
func newQueue(packets int) *queue {
	bound := max(packets/(2*readers), 1)
	// The worker holds one batch besides those in the queue.
	n := max(bound/bvtunnel.BatchSize, 2) + 1
	q := &queue{free: make(chan *work, n), full: make(chan *work, n), bound: int64(bound)}
	for range n {
		q.free <- &work{in: bvtunnel.NewInBatch(), items: make([]item, 0, bvtunnel.BatchSize)}
	}
	return q
}

// busy reports whether openings are to be dropped: half of the packets that
// the queue may hold are waiting.
func (q *queue) busy() bool { return 2*q.depth.Load() >= q.bound }

// packetLoops are the running readers and workers.
type packetLoops struct {
	sockets []*bvtunnel.Socket
	readers conc.WaitGroup
	workers conc.WaitGroup
}

// startPackets starts a reader and a worker for each socket.
func (d *Daemon) startPackets() *packetLoops {
	p := &packetLoops{}
	start := func(s *bvtunnel.Socket, i int, decode func(*reader, []byte) (item, bool)) {
		q := newQueue(d.settings.Limits.PacketQueue)
		r := &reader{daemon: d, socket: s, queue: q, codec: bvtunnel.NewCodec(d.keys), decode: decode}
		w := newWorker(d, q, d.fabric[i], d.peer[i])
		p.sockets = append(p.sockets, s)
		p.readers.Go(func() {
			defer d.guard()
			defer close(q.full)
			if err := r.run(); err != nil {
				d.spawn(func(context.Context) error { return err })
			}
		})
		p.workers.Go(func() {
			defer d.guard()
			w.run()
		})
	}
	for i, s := range d.fabric {
		start(s, i, (*reader).fromFabric)
	}
	for i, s := range d.peer {
		start(s, i, (*reader).fromPeer)
	}
	return p
}

// drain lets the readers take what is in the socket buffers, and returns when
// all packets are processed.
func (p *packetLoops) drain() {
	for _, s := range p.sockets {
		_ = s.SetReadDeadline(time.Now().Add(drainTime))
	}
	p.readers.Wait()
	p.workers.Wait()
}

// reader takes packets from one socket, decodes and queues them.
type reader struct {
	daemon *Daemon
	socket *bvtunnel.Socket
	queue  *queue
	codec  *bvtunnel.Codec
	parser bvflow.Parser
	decode func(*reader, []byte) (item, bool)
}

// run reads until the socket is closed or its deadline has passed. When all
// batches are in use it waits, and the socket's buffer holds what arrives. A
// batch of openings only needs no place in the queue while it is busy, so a
// flood of openings does not make the buffer overflow.
func (r *reader) run() error {
	w := <-r.queue.free
	for {
		if err := r.socket.Read(w.in); err != nil {
			if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
				return nil
			}
			return eris.Wrap(err, "bvdaemon: reading packets")
		}
		if r.fill(w); len(w.items) == 0 {
			continue
		}
		r.queue.depth.Add(int64(len(w.items)))
		r.queue.full <- w
		w = <-r.queue.free
	}
}

// fill decodes the packets of a batch. While the queue is busy it drops
// openings, so that established flows keep their packets.
func (r *reader) fill(w *work) {
	w.items = w.items[:0]
	busy := r.queue.busy()
	for i := range w.in.Len() {
		it, ok := r.decode(r, w.in.Packet(i))
		if !ok {
			continue
		}
		p, err := r.parser.Parse(it.inner)
		if err != nil {
			r.daemon.counters.bad(err)
			continue
		}
		if busy && p.Phase == bvflow.PhaseOpening {
			r.daemon.counters.queueOpenings.Inc(1)
			continue
		}
		it.packet = p
		w.items = append(w.items, it)
	}
}

func (r *reader) fromFabric(b []byte) (item, bool) {
	r.daemon.counters.fabricIn.Inc(1)
	vni, inner, err := bvtunnel.DecodeFabric(b)
	if err != nil {
		r.daemon.counters.bad(err)
		return item{}, false
	}
	return item{vni: vni, inner: inner}, true
}

// fromPeer decodes a handed-on packet; heartbeats go to the node at once, so
// that a full queue does not make peers look dead.
func (r *reader) fromPeer(b []byte) (item, bool) {
	c := r.daemon.counters
	if bvtunnel.IsHeartbeat(b) {
		h, err := r.codec.DecodeHeartbeat(b)
		switch {
		case err != nil:
			c.bad(err)
		case !r.daemon.peers.accept(h.Node, h.Incarnation):
			c.oldIncarnation.Inc(1)
		default:
			c.heartbeatIn.Inc(1)
			r.daemon.handle(bvnode.HeartbeatReceived{Heartbeat: h})
		}
		return item{}, false
	}
	c.peerIn.Inc(1)
	p, err := r.codec.DecodeForwarded(b)
	if err != nil {
		c.bad(err)
		return item{}, false
	}
	if !r.daemon.peers.accept(p.Sender, p.Incarnation) {
		c.oldIncarnation.Inc(1)
		return item{}, false
	}
	return item{vni: p.VNI, inner: p.Inner, trail: p.Trail, record: p.Record}, true
}
