package bvroute

import (
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
)

// known decides on a packet whose entry may be used.
func (c *packetContext) known(e *bvflow.Entry) Decision {
	if e.State == bvflow.StateRefused {
		return c.refusedBefore(e)
	}
	t := c.target(e)
	reason := ReasonNone
	switch {
	case t == nil:
		return c.delegate(e)
	case t.service != c.service && c.enabled(serviceChecks):
		reason = ReasonUpstreamRemoved
	default:
		reason = t.obstacle
	}
	if reason != ReasonNone {
		if c.opening() && !c.runsTwice() && c.selfOwns() {
			return c.place(e)
		}
		return drop(reason)
	}
	if c.opening() && c.renewable(e) && c.selfOwns() {
		return c.place(e)
	}
	if c.opening() && e.State == bvflow.StateOpening && e.Has(bvflow.FlagCounted) {
		c.limiter.Retransmitted(c.now, t.id)
	}
	if !e.Has(bvflow.FlagOwner|bvflow.FlagCounted) && c.selfOwns() {
		e.Flags |= bvflow.FlagOwner
		if e.State <= bvflow.StateEstablished {
			c.count(c.now, e)
		}
	}
	c.advance(e)
	return c.send(e, t)
}

// delegate hands the packet of an exception whose upstream this node does not
// know yet to the balancer with the newest configuration. The record goes
// along, so that the receiver need not know the flow, and may have had the
// packet before.
func (c *packetContext) delegate(e *bvflow.Entry) Decision {
	if c.view.newest == nil {
		return drop(ReasonUnknownUpstream)
	}
	return c.handRecord(c.view.newest, Record{Kind: RecordPlaced, Upstream: bvconfig.UpstreamID(e.Upstream)})
}

// renewable reports whether an opening packet for a closed flow starts a new
// flow. Within the opening window it may be a late copy of the old opening.
func (c *packetContext) renewable(e *bvflow.Entry) bool {
	if e.State != bvflow.StateClosing && e.State != bvflow.StateClosed {
		return false
	}
	if e.State == bvflow.StateClosed && !c.runsTwice() {
		return true
	}
	return c.idle(e) > c.options.OpeningWindow
}

// advance notes the packet in its entry.
func (c *packetContext) advance(e *bvflow.Entry) {
	e.LastSeen = c.seconds
	switch c.packet.Phase {
	case bvflow.PhaseEstablished:
		if e.State == bvflow.StateOpening {
			e.State = bvflow.StateEstablished
		}
	case bvflow.PhaseDatagram:
		if e.State == bvflow.StateOpening && age(c.seconds, e.ReplicatedAt) > datagramGrace {
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

// renewAfter returns the time after which an exception is renewed at its
// replicas: a quarter of what they keep it for.
func (c *packetContext) renewAfter(e *bvflow.Entry) time.Duration {
	if e.State >= bvflow.StateClosing {
		return c.table.Lifetime(e) / 4
	}
	return c.options.IdleTimeout / 4
}
