package bvroute

import (
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
)

// routeKnown decides on a packet from its entry.
func (c *packetContext) routeKnown(e *bvflow.Entry) Decision {
	if e.State == bvflow.StateRefused {
		return c.refuseAgain(e)
	}
	t := c.target(e)
	reason := ReasonNone
	switch {
	case t == nil:
		return c.forwardToNewest(e)
	case t.service != c.service && c.enabled(serviceChecks):
		reason = ReasonUpstreamRemoved
	default:
		reason = t.blockReason
	}
	if reason != ReasonNone {
		if c.opening() && !c.unsafeToRepeat() && c.selfOwns() {
			return c.place(e)
		}
		return drop(reason)
	}
	if c.opening() && c.mayReopen(e) && c.selfOwns() {
		return c.place(e)
	}
	if c.opening() && e.State == bvflow.StateOpening && e.Has(bvflow.FlagCounted) {
		c.recordRetransmission(e, t)
	}
	if !e.Has(bvflow.FlagOwner|bvflow.FlagCounted) && c.selfOwns() {
		e.Flags |= bvflow.FlagOwner
		if e.State <= bvflow.StateEstablished {
			c.count(c.now, e)
		}
	}
	c.updateEntry(e)
	return c.send(e, t)
}

// forwardToNewest forwards a packet to the peer with the newest configuration,
// for an exception whose upstream is not in this node's configuration yet. The
// record is sent along, so the receiver needs no entry for the flow. The
// receiver may have been visited before.
func (c *packetContext) forwardToNewest(e *bvflow.Entry) Decision {
	if c.view.newestPeer == nil {
		return drop(ReasonUnknownUpstream)
	}
	return c.forwardRecord(c.view.newestPeer, Record{Kind: RecordPlaced, Upstream: bvconfig.UpstreamID(e.Upstream)})
}

// mayReopen reports whether an opening packet for a closed flow starts a new
// flow. Within the opening window it may be a late retransmission of the old
// opening. After a reset, an opening without a request starts a flow at once.
func (c *packetContext) mayReopen(e *bvflow.Entry) bool {
	if e.State != bvflow.StateClosing && e.State != bvflow.StateClosed {
		return false
	}
	if e.State == bvflow.StateClosed && !c.unsafeToRepeat() {
		return true
	}
	return c.idle(e) > c.options.OpeningWindow
}

// updateEntry updates the entry's state and time for the packet.
func (c *packetContext) updateEntry(e *bvflow.Entry) {
	e.LastSeen = c.seconds
	switch c.packet.Phase {
	case bvflow.PhaseEstablished:
		if e.State == bvflow.StateOpening {
			c.recordAnswered(e)
			e.State = bvflow.StateEstablished
		}
	case bvflow.PhaseDatagram:
		if e.State == bvflow.StateOpening && age(c.seconds, e.ReplicatedAt) > datagramReplication {
			e.State = bvflow.StateEstablished
		}
	case bvflow.PhaseClosing:
		if e.State < bvflow.StateClosing {
			e.State = bvflow.StateClosing
			c.uncount(c.now, e)
		}
	case bvflow.PhaseReset:
		e.State = bvflow.StateClosed
		c.uncount(c.now, e)
	}
}

// renewAfter returns the interval at which an exception is renewed at its
// replicas: a quarter of the time for which the owner keeps an idle entry.
func (c *packetContext) renewAfter(e *bvflow.Entry) time.Duration {
	if e.State >= bvflow.StateClosing {
		return c.table.Lifetime(e) / 4
	}
	return c.options.IdleTimeout / 4
}
