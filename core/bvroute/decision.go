package bvroute

import (
	"net/netip"

	"balsamvane/core/bvconfig"
)

// Limits on the contents of the tunnel options.
const (
	MaxVisited  = 4 // Nodes that a packet may visit.
	MaxReplicas = 5 // Nodes besides the owner that record an exception.
)

// Trail lists the nodes that a forwarded packet has visited. It bounds the
// number of hops and prevents loops. The zero value is the trail of a packet
// from the fabric.
type Trail struct {
	Visited [MaxVisited]bvconfig.NodeID
	Count   uint8
}

// Contains reports whether the packet has visited n.
func (t Trail) Contains(n bvconfig.NodeID) bool {
	for _, v := range t.Visited[:t.Count] {
		if v == n {
			return true
		}
	}
	return false
}

// first returns the balancer that got the packet from the fabric, or 0 if the
// packet was not forwarded.
func (t Trail) first() bvconfig.NodeID {
	if t.Count == 0 {
		return 0
	}
	return t.Visited[0]
}

// With returns the trail extended by n. A full trail is returned unchanged.
func (t Trail) With(n bvconfig.NodeID) Trail {
	if int(t.Count) < len(t.Visited) {
		t.Visited[t.Count] = n
		t.Count++
	}
	return t
}

// RecordKind is the state of a flow in a [Record].
type RecordKind uint8

// The kinds of record.
const (
	RecordNone    RecordKind = iota
	RecordPlaced             // The flow was placed at Record.Upstream.
	RecordRefused            // The opening was refused and must not reach an upstream later.
	RecordClosing            // The flow was placed at Record.Upstream and the caller has closed it.
)

// Record is an exception or tombstone that is forwarded with a packet through
// the flow's replica set. Each replica stores it before it forwards the packet
// to the next of Replicas. The last replica delivers the packet to the
// upstream or sends the refusal.
type Record struct {
	Kind     RecordKind
	Upstream bvconfig.UpstreamID
	Replicas [MaxReplicas]bvconfig.NodeID // Nodes still to visit.
	Count    uint8
}

// Verdict is the action to take on a packet.
type Verdict uint8

// The verdicts.
const (
	VerdictDrop     Verdict = iota // Discard; see Decision.Reason.
	VerdictUpstream                // Send to Decision.Tunnel with Decision.VNI.
	VerdictForward                 // Send to the balancer Decision.Next at Decision.Tunnel.
	VerdictRefuse                  // Answer the caller with a refusal.
)

// Reason is why a packet was dropped, refused or forwarded.
type Reason uint8

// The reasons.
const (
	ReasonNone             Reason = iota
	ReasonUnknownService          // No service has the destination address.
	ReasonTrailFull               // The packet has visited MaxVisited nodes.
	ReasonNoOwner                 // No reachable balancer can act as the flow's owner.
	ReasonUpstreamRemoved         // The flow's upstream has been removed.
	ReasonZoneOutOfService        // The flow's zone is out of service.
	ReasonNoCapacity              // No upstream can take a new flow.
	ReasonUncertainOpening        // Another owner may have sent the opening already.
	ReasonRefusedBefore           // The flow was refused before.
	ReasonPaused                  // The node was paused and has not refreshed its snapshot since.
	ReasonOverload                // New flows are shed, or the flow table is full.
	ReasonNotConfigured           // No configuration has been accepted yet.
	ReasonUnknownUpstream         // The upstream of the packet's flow is not in this node's snapshot.
	reasonCount
)

// Reasons returns all reasons in ascending order, for the names of counters.
func Reasons() []Reason {
	rs := make([]Reason, 0, reasonCount)
	for r := range reasonCount {
		rs = append(rs, r)
	}
	return rs
}

// Decision is the outcome for one packet. It is a struct rather than an
// interface value to avoid an allocation per packet.
type Decision struct {
	Verdict  Verdict
	Reason   Reason
	Tunnel   netip.AddrPort
	VNI      uint32
	Upstream bvconfig.UpstreamID
	Next     bvconfig.NodeID
	Trail    Trail
	Record   Record
}
