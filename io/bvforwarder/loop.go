package bvforwarder

import (
	"time"

	"balsamvane/core/bvflow"
	"balsamvane/core/bvtoken"
	"balsamvane/io/bvtunnel"

	"go.uber.org/zap"
)

// item is one decoded packet of a batch.
type item struct {
	raw      []byte
	packet   bvtoken.Packet
	decision bvtoken.Decision
}

// loop holds the buffers that the packet loop reuses from batch to batch.
type loop struct {
	forwarder *Forwarder
	in        *bvtunnel.InBatch
	out       *bvtunnel.OutBatch
	items     []item
	// lockWait is how long the last batch waited for the router.
	lockWait time.Duration
	// unreported is true if the router does not know yet that the last batch was written.
	unreported bool
	hedging    hedging
}

func newLoop(w *Forwarder) *loop {
	return &loop{
		forwarder: w, in: bvtunnel.NewInBatch(), out: bvtunnel.NewOutBatch(),
		items: make([]item, 0, bvtunnel.BatchSize), hedging: newHedging(w.settings),
	}
}

// process decides on a batch with the router locked once, and sends it. Each
// packet causes at most one outgoing packet, so out never overflows. Hedges are sent in
// further batches if there is no room for them.
func (l *loop) process() {
	w := l.forwarder
	l.decode()
	now := w.clock.Now()
	s := l.decideLocked(now)
	l.reportWait(now)
	for i := range l.items {
		l.tryRun(func() { l.execute(&l.items[i], s) })
	}
	for i := range l.hedging.due {
		l.tryRun(func() { l.sendHedge(&l.hedging.due[i], s) })
	}
	l.write()
	l.unreported = true
	if l.in.Len() == 0 {
		return
	}
	w.counters.batchPackets.RecordValue(float64(l.in.Len()))
	w.counters.batchDuration.RecordDuration(w.clock.Since(now))
}

// write sends the outgoing packets.
func (l *loop) write() {
	if n := l.forwarder.socket.Write(l.out); n > 0 {
		l.forwarder.counters.sendFailed.Inc(int64(n))
	}
}

// decode decodes a batch and skips malformed packets.
func (l *loop) decode() {
	l.items = l.items[:0]
	for i := range l.in.Len() {
		it := item{raw: l.in.Packet(i)}
		var err error
		if !l.tryRun(func() { it.packet, err = l.forwarder.codec.Decode(it.raw) }) || err != nil {
			l.forwarder.counters.countPacket(bvtoken.VerdictDrop, bvtoken.ReasonMalformed)
			continue
		}
		it.packet.ArrivedAfter = l.in.ArrivedAfter()
		l.items = append(l.items, it)
	}
}

// decideLocked decides on the batch with the router locked, and returns the
// state of the catalog that the decisions are based on.
func (l *loop) decideLocked(now time.Time) catalogState {
	w := l.forwarder
	w.mu.Lock()
	defer w.mu.Unlock()
	l.lockWait = w.clock.Since(now)
	l.decide(now)
	l.decideHedges(now)
	return catalogState{
		age: w.catalog.Age(now), watermarkAge: now.Sub(w.catalog.Watermark()), revision: w.catalog.Revision(), version: w.catalog.Version(),
	}
}

// decide decides on the batch, its openings last: after a pause of this process,
// the other packets show which upstreams have answered during the pause. The
// caller holds the forwarder's mutex.
func (l *loop) decide(now time.Time) {
	for _, openings := range []bool{false, true} {
		for i := range l.items {
			it := &l.items[i]
			if (it.packet.Phase == bvflow.PhaseOpening) == openings {
				l.route(now, it)
			}
		}
	}
}

// route decides on one packet. The caller holds the forwarder's mutex.
func (l *loop) route(now time.Time, it *item) {
	if !l.tryRun(func() {
		l.reportSent()
		it.decision = l.forwarder.router.Route(now, it.packet)
		l.hedging.keep(it)
	}) {
		it.decision = bvtoken.Decision{Verdict: bvtoken.VerdictDrop, Reason: bvtoken.ReasonInternal}
		l.forwarder.resetRouter()
	}
}

// reportSent tells the router that the last batch was written before this one was
// read. The caller holds the forwarder's mutex.
func (l *loop) reportSent() {
	if l.unreported {
		l.unreported = false
		l.forwarder.router.Sent(l.in.ReadStart())
	}
}

// longWait is the wait of a packet from which a line is logged. Callers repeat their
// packets after a few of these.
const longWait = 100 * time.Millisecond

// reportWait records how long the batch may have waited to be read, and for the
// router.
func (l *loop) reportWait(now time.Time) {
	w := l.forwarder
	arrivedAfter := l.in.ArrivedAfter()
	if arrivedAfter.IsZero() || l.in.Len() == 0 {
		return
	}
	wait := now.Sub(arrivedAfter)
	w.counters.readWait.RecordDuration(wait)
	w.counters.lockWait.RecordDuration(l.lockWait)
	if wait+l.lockWait >= longWait && w.decisions.waits.Allow() {
		w.log.Info("packets waited", zap.Duration("readWait", wait), zap.Duration("lockWait", l.lockWait), zap.Int("packets", l.in.Len()))
	}
}

func (l *loop) execute(it *item, s catalogState) {
	w, d := l.forwarder, it.decision
	w.counters.countPacket(d.Verdict, d.Reason)
	w.decisions.logDecision(it, s)
	switch d.Verdict {
	case bvtoken.VerdictForward:
		l.out.Add(w.codec.AppendForward(l.out.Buffer(), it.raw, d), d.Address)
	case bvtoken.VerdictReset:
		l.out.Add(w.codec.AppendReset(l.out.Buffer(), it.packet.Tuple, d), w.callerAddress(it.packet.Tuple))
	case bvtoken.VerdictDrop:
	}
}
