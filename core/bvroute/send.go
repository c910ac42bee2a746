package bvroute

import "balsamvane/core/bvflow"

// send delivers the packet to its upstream directly or through the replica
// set. The owner of an exception forwards packets through the replicas while
// they may lack its record, and then four times in each idle timeout to renew
// it, since the replicas see no other packets of the flow. Closing packets are
// forwarded through all members, whichever node received them. The owner then
// stops counting the flow, and a member whose table is under pressure does not
// keep it for the idle timeout.
func (c *packetContext) send(e *bvflow.Entry, t *target) Decision {
	closes := c.closesFlow() && c.enabled(closingRecords)
	if !e.Has(bvflow.FlagException) || !e.Has(bvflow.FlagOwner) && !closes || !c.enabled(replication) {
		return t.decision()
	}
	mustReplicate := e.State == bvflow.StateOpening || c.opening() || closes
	due := e.ReplicatedAt == 0 || age(c.seconds, e.ReplicatedAt) >= c.renewAfter(e)
	if !mustReplicate && (!due || !c.enabled(renewals)) {
		return t.decision()
	}
	if due {
		e.ReplicatedAt = max(c.seconds, 1)
	}
	rec := c.view.newRecord(c.service, c.key)
	rec.Kind, rec.Upstream = RecordPlaced, t.id
	if e.State >= bvflow.StateClosing && c.enabled(closingRecords) {
		rec.Kind = RecordClosing
	}
	if d, ok := c.forwardToReplica(rec); ok {
		return d
	}
	return t.decision()
}

// forwardToReplica forwards the packet with its record to the first of the
// remaining replicas that is a live peer.
func (c *packetContext) forwardToReplica(rec Record) (Decision, bool) {
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
