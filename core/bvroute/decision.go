package bvroute

import (
	"net/netip"

	"balsamvane/core/bvconfig"
)

// Limits of the tunnel options.
const (
	MaxVisited  = 4 // Nodes that a packet may visit.
	MaxReplicas = 5 // Nodes besides the owner that record an exception.
)

// Trail lists the nodes that have already had a packet, so that handing on
// ends and forms no loop. The zero value is the trail of a packet that comes
// from the fabric.
type Trail struct {
	Visited [MaxVisited]bvconfig.NodeID
	Count   uint8
}

// Contains reports whether n has had the packet.
func (t Trail) Contains(n bvconfig.NodeID) bool {
	for _, v := range t.Visited[:t.Count] {
		if v == n {
			return true
		}
	}
	return false
}

// With returns the trail extended by n. A full trail is returned unchanged.
func (t Trail) With(n bvconfig.NodeID) Trail {
	if int(t.Count) < len(t.Visited) {
		t.Visited[t.Count] = n
		t.Count++
	}
	return t
}

// RecordKind tells what a record says about a flow.
type RecordKind uint8

// The kinds of record.
const (
	RecordNone    RecordKind = iota
	RecordPlaced             // The flow is at Record.Upstream.
	RecordRefused            // The opening was refused and must not run later.
	RecordClosing            // The flow is at Record.Upstream and the caller has closed it.
)

// Record is an exception that travels with an opening packet through the
// flow's replica set. Each replica stores it before it passes the packet on
// to the next of Replicas; the last one sends the packet to the upstream or
// sends the refusal.
type Record struct {
	Kind     RecordKind
	Upstream bvconfig.UpstreamID
	Replicas [MaxReplicas]bvconfig.NodeID // Nodes still to visit.
	Count    uint8
}

// Verdict is what to do with a packet.
type Verdict uint8

// The verdicts.
const (
	VerdictDrop     Verdict = iota // Discard; Decision.Reason says why.
	VerdictUpstream                // Send to Decision.Tunnel with Decision.VNI.
	VerdictForward                 // Send to the balancer Decision.Next at Decision.Tunnel.
	VerdictRefuse                  // Answer the caller with a refusal.
)

// Reason tells why a packet was dropped, refused or handed on.
type Reason uint8

// The reasons.
const (
	ReasonNone             Reason = iota
	ReasonUnknownService          // No service has the destination address.
	ReasonTrailFull               // The packet has visited MaxVisited nodes.
	ReasonNoOwner                 // No balancer of the flow's zone can be reached.
	ReasonUpstreamRemoved         // The flow's upstream is gone.
	ReasonZoneOutOfService        // The flow's zone is out of service.
	ReasonNoCapacity              // No upstream can take a new flow.
	ReasonUncertainOpening        // Another owner may have sent the opening already.
	ReasonRefusedBefore           // The flow has been refused.
	ReasonPaused                  // The node was paused and has not refreshed yet.
	ReasonOverload                // New flows are shed.
	ReasonNotConfigured           // No configuration has been accepted yet.
	ReasonUnknownUpstream         // A record names an upstream that this node does not know.
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

// Decision is the outcome for one packet. It is a struct and not an
// interface value, so that deciding does not allocate.
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
