package bvroute

import "balsamvane/core/bvflow"

// send sends the packet to its upstream, through the replica set if that may
// not know the flow yet. Owners renew exceptions four times in the idle
// timeout in this way, since the replicas see no other packets of the flow.
// Closing packets go through all members, whoever has received them, so that
// the owner stops counting the flow and no member keeps it for the idle time.
func (c *packetContext) send(e *bvflow.Entry, t *target) Decision {
	ends := c.ends() && c.enabled(closingRecords)
	if !e.Has(bvflow.FlagException) || !e.Has(bvflow.FlagOwner) && !ends || !c.enabled(replication) {
		return t.decision()
	}
	first := e.State == bvflow.StateOpening || c.opening() || ends
	due := e.ReplicatedAt == 0 || age(c.seconds, e.ReplicatedAt) >= c.renewAfter(e)
	if !first && (!due || !c.enabled(refreshing)) {
		return t.decision()
	}
	if due {
		e.ReplicatedAt = max(c.seconds, 1)
	}
	rec := c.view.replicas(c.service, c.key)
	rec.Kind, rec.Upstream = RecordPlaced, t.id
	if e.State >= bvflow.StateClosing && c.enabled(closingRecords) {
		rec.Kind = RecordClosing
	}
	if d, ok := c.toReplica(rec); ok {
		return d
	}
	return t.decision()
}

// toReplica hands the packet and its record on to the first of the remaining
// replicas that is a live peer.
func (c *packetContext) toReplica(rec Record) (Decision, bool) {
	for rec.Count > 0 {
		next := rec.Replicas[0]
		copy(rec.Replicas[:], rec.Replicas[1:])
		rec.Count--
		rec.Replicas[rec.Count] = 0
		if n, ok := c.view.peers[next]; ok && next != c.self {
			return Decision{
				Verdict: VerdictForward, Next: next, Tunnel: n.Tunnel, Upstream: rec.Upstream,
				Trail: c.trail.With(c.self), Record: rec,
			}, true
		}
	}
	return Decision{}, false
}

func (t *target) decision() Decision {
	return Decision{Verdict: VerdictUpstream, Tunnel: t.tunnel, VNI: t.service.vni, Upstream: t.id}
}
