package bvforwarder

import (
	"time"

	"balsamvane/core/bvhedge"
	"balsamvane/core/bvtoken"
	"balsamvane/io/bvsettings"

	"github.com/uber-go/tally/v4"
)

const (
	// idleWait is how long a read waits for packets while no opening may be hedged.
	idleWait = 50 * time.Millisecond
	// minHedgeWait bounds how often reads end without a packet. Hedges are late by up
	// to this time on a balancer that gets no packets.
	minHedgeWait = 5 * time.Millisecond
)

// hedging holds what the packet loop needs to send openings to a second upstream.
//
// Only the packet loop checks for hedges. The ticks are 250 ms apart, while a caller
// repeats its opening after 200 ms, and they do not know which answers wait in the
// socket. Instead, the loop's reads end when an opening is due.
type hedging struct {
	enabled bool
	// openings holds the packets that may be hedged, by HedgeSlot less 1. The router
	// bounds the slots, and an opening that may be hedged has no data.
	openings [][]byte
	due      []bvtoken.Hedge // Of this batch.
	wait     time.Duration   // Of the next read.
}

func newHedging(s bvsettings.Settings) hedging {
	return hedging{enabled: hedgingEnabled(s), wait: idleWait}
}

func hedgingEnabled(s bvsettings.Settings) bool {
	return bvhedge.Options{Fraction: s.Hedge.Fraction, Burst: s.Hedge.Burst}.Enabled()
}

// keep keeps an opening that may be hedged.
func (h *hedging) keep(it *item) {
	slot := it.decision.HedgeSlot
	if slot == 0 {
		return
	}
	for len(h.openings) < slot {
		h.openings = append(h.openings, nil)
	}
	h.openings[slot-1] = append(h.openings[slot-1][:0], it.raw...)
}

// read reads the next batch. With hedging the batch may be empty.
func (l *loop) read() error {
	if !l.hedging.enabled {
		return l.forwarder.socket.Read(l.in)
	}
	return l.forwarder.socket.ReadFor(l.in, l.hedging.wait)
}

// decideHedges decides which openings are hedged after a batch, and when to check again.
// The caller holds the forwarder's mutex.
func (l *loop) decideHedges(now time.Time) {
	if !l.hedging.enabled {
		return
	}
	l.hedging.due, l.hedging.wait = l.hedging.due[:0], idleWait
	if l.tryRun(func() {
		l.reportSent()
		r := l.forwarder.router
		l.hedging.due = r.AppendHedges(l.hedging.due, now, l.in.ArrivedAfter())
		if at, ok := r.HedgeDue(now); ok {
			l.hedging.wait = min(max(at.Sub(now), minHedgeWait), idleWait)
		}
	}) {
		return
	}
	l.hedging.due = l.hedging.due[:0]
	l.forwarder.resetRouter()
}

// sendHedge adds a hedge to the outgoing packets.
func (l *loop) sendHedge(h *bvtoken.Hedge, s catalogState) {
	w := l.forwarder
	if l.out.Full() {
		l.write()
	}
	w.counters.countPacket(h.Verdict, h.Reason)
	w.decisions.logHedge(h, s)
	l.out.Add(w.codec.AppendForward(l.out.Buffer(), l.hedging.openings[h.Slot-1], h.Decision), h.Address)
}

// hedgeCounters publish the router's counters of hedged openings.
type hedgeCounters struct {
	enabled                                      bool
	published                                    bvtoken.HedgeCounts
	offered, sent, denied, won, lost, unanswered tally.Counter
}

func newHedgeCounters(s tally.Scope, enabled bool) hedgeCounters {
	result := func(name string) tally.Counter {
		return s.Tagged(map[string]string{"result": name}).Counter("hedges")
	}
	return hedgeCounters{
		enabled: enabled,
		offered: s.Counter("hedgeOpenings"), sent: result("sent"), denied: result("denied"),
		won: result("won"), lost: result("lost"), unanswered: result("unanswered"),
	}
}

// update adds what was counted since the last call. The counters of a router that has
// replaced another one after a panic start at 0.
func (c *hedgeCounters) update(n bvtoken.HedgeCounts) {
	p := &c.published
	add := func(to tally.Counter, published *uint64, n uint64) {
		if n < *published {
			*published = 0
		}
		if n > *published {
			to.Inc(int64(n - *published))
		}
		*published = n
	}
	add(c.offered, &p.Offered, n.Offered)
	add(c.sent, &p.Hedged, n.Hedged)
	add(c.denied, &p.Denied, n.Denied)
	add(c.won, &p.Won, n.Won)
	add(c.lost, &p.Lost, n.Lost)
	add(c.unanswered, &p.Unanswered, n.Unanswered)
}
