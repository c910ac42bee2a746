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

// parsedPacket is one parsed packet of a batch.
type parsedPacket struct {
	packet bvflow.Packet
	inner  []byte
	vni    uint32
	trail  bvroute.Trail
	record bvroute.Record
}

// packetBatch is a batch that a reader passes to its worker. The parsed packets
// point into the buffers of in.
type packetBatch struct {
	in      *bvtunnel.InBatch
	packets []parsedPacket
}

// queue connects one reader and one worker. One worker per socket keeps the
// order of a flow's packets, because the kernel delivers all packets of a
// source to the same socket.
type queue struct {
	free       chan *packetBatch
	filled     chan *packetBatch
	queued     atomic.Int64 // Number of packets in filled.
	maxPackets int64
}

// newQueue returns one of the daemon's 2*socketsPerAddress queues, which share
// the given number of packets.
func newQueue(packets int) *queue {
	maxPackets := max(packets/(2*socketsPerAddress), 1)
	// The worker holds one batch besides those in the queue.
	batches := max(maxPackets/bvtunnel.BatchSize, 2) + 1
	q := &queue{free: make(chan *packetBatch, batches), filled: make(chan *packetBatch, batches), maxPackets: int64(maxPackets)}
	for range batches {
		q.free <- &packetBatch{in: bvtunnel.NewInBatch(), packets: make([]parsedPacket, 0, bvtunnel.BatchSize)}
	}
	return q
}

// busy reports whether the queue is at least half full; openings are then
// dropped.
func (q *queue) busy() bool { return 2*q.queued.Load() >= q.maxPackets }

// packetLoops are the running readers and workers.
type packetLoops struct {
	sockets []*bvtunnel.Socket
	readers conc.WaitGroup
	workers conc.WaitGroup
}

// startPackets starts a reader and a worker for each socket.
func (d *Daemon) startPackets() *packetLoops {
	p := &packetLoops{}
	start := func(s *bvtunnel.Socket, i int, decode func(*reader, []byte) (parsedPacket, bool)) {
		q := newQueue(d.settings.Limits.PacketQueue)
		r := &reader{daemon: d, socket: s, queue: q, codec: bvtunnel.NewCodec(d.keys), decode: decode}
		w := newWorker(d, q, d.fabricSockets[i], d.peerSockets[i])
		p.sockets = append(p.sockets, s)
		p.readers.Go(func() {
			defer d.exitOnPanic()
			defer close(q.filled)
			if err := r.run(); err != nil {
				d.spawn(func(context.Context) error { return err })
			}
		})
		p.workers.Go(func() {
			defer d.exitOnPanic()
			w.run()
		})
	}
	for i, s := range d.fabricSockets {
		start(s, i, (*reader).fromFabric)
	}
	for i, s := range d.peerSockets {
		start(s, i, (*reader).fromPeer)
	}
	return p
}

// drain lets the readers empty the socket buffers for drainTime, and returns
// when all packets are processed.
func (p *packetLoops) drain() {
	for _, s := range p.sockets {
		_ = s.SetReadDeadline(time.Now().Add(drainTime))
	}
	p.readers.Wait()
	p.workers.Wait()
}

// reader reads packets from one socket, decodes and queues them.
type reader struct {
	daemon *Daemon
	socket *bvtunnel.Socket
	queue  *queue
	codec  *bvtunnel.Codec
	parser bvflow.Parser
	decode func(*reader, []byte) (parsedPacket, bool)
}

// run reads until the socket is closed or its deadline has passed. When all
// batches are in use it waits, and arriving packets stay in the socket buffer.
// While the queue is busy, a batch that holds only openings is not queued, so
// a flood of openings does not make the buffer overflow.
func (r *reader) run() error {
	w := <-r.queue.free
	for {
		if err := r.socket.Read(w.in); err != nil {
			if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
				return nil
			}
			return eris.Wrap(err, "bvdaemon: reading packets")
		}
		if r.fill(w); len(w.packets) == 0 {
			continue
		}
		r.queue.queued.Add(int64(len(w.packets)))
		r.queue.filled <- w
		w = <-r.queue.free
	}
}

// fill decodes the packets of a batch. While the queue is busy it drops
// openings, so that established flows keep their packets.
func (r *reader) fill(w *packetBatch) {
	w.packets = w.packets[:0]
	busy := r.queue.busy()
	for i := range w.in.Len() {
		it, ok := r.decode(r, w.in.Packet(i))
		if !ok {
			continue
		}
		p, err := r.parser.Parse(it.inner)
		if err != nil {
			r.daemon.counters.countMalformed(err)
			continue
		}
		if busy && p.Phase == bvflow.PhaseOpening {
			r.daemon.counters.openingsDropped.Inc(1)
			continue
		}
		it.packet = p
		it.packet.ArrivedAfter = w.in.ArrivedAfter()
		w.packets = append(w.packets, it)
	}
}

func (r *reader) fromFabric(b []byte) (parsedPacket, bool) {
	r.daemon.counters.fabricIn.Inc(1)
	vni, inner, err := bvtunnel.DecodeFabric(b)
	if err != nil {
		r.daemon.counters.countMalformed(err)
		return parsedPacket{}, false
	}
	return parsedPacket{vni: vni, inner: inner}, true
}

// fromPeer decodes a forwarded packet. It passes heartbeats to the node without
// queueing them, so that a full queue does not cause peers to be marked dead.
func (r *reader) fromPeer(b []byte) (parsedPacket, bool) {
	c := r.daemon.counters
	if bvtunnel.IsHeartbeat(b) {
		h, err := r.codec.DecodeHeartbeat(b)
		switch {
		case err != nil:
			c.countMalformed(err)
		case !r.daemon.peers.accept(h.Node, h.Incarnation):
			c.oldIncarnation.Inc(1)
		default:
			c.heartbeatIn.Inc(1)
			r.daemon.handle(bvnode.HeartbeatReceived{Heartbeat: h})
		}
		return parsedPacket{}, false
	}
	c.peerIn.Inc(1)
	p, err := r.codec.DecodeForwarded(b)
	if err != nil {
		c.countMalformed(err)
		return parsedPacket{}, false
	}
	if !r.daemon.peers.accept(p.Sender, p.Incarnation) {
		c.oldIncarnation.Inc(1)
		return parsedPacket{}, false
	}
	return parsedPacket{vni: p.VNI, inner: p.Inner, trail: p.Trail, record: p.Record}, true
}
