package bvtoken

// Reason explains the decision on a packet.
type Reason uint8

// The reasons for decisions.
const (
	ReasonPlaced           Reason = iota // Opening placed on the preferred upstream.
	ReasonPlacedFarther                  // Opening placed in another zone.
	ReasonPlacedAgain                    // Repeated opening placed on another upstream.
	ReasonPlacedSilent                   // Opening placed on an ejected upstream, since no other is usable.
	ReasonToken                          // Forwarded to the upstream of the packet's token.
	ReasonTokenUnreadRoute               // The same, though the catalog has no route for the address yet.
	ReasonIncomplete                     // The catalog is not complete yet.
	ReasonNoRoute                        // No route for the address.
	ReasonNoUpstream                     // No upstream can take the flow.
	ReasonBusy                           // All upstreams registered so far are busy.
	ReasonColdBudget                     // All upstreams are cold and this balancer's share of their budget is used up.
	ReasonUnknownToken                   // No upstream for the token.
	ReasonNoToken                        // Packet of an open flow without a token.
	ReasonUpstreamRemoved                // The upstream was removed.
	ReasonUnreadable                     // The upstream's entry cannot be decoded, so its address is unknown.
	ReasonMalformed                      // The packet cannot be decoded.
	ReasonInternal                       // The decision panicked.
	ReasonNoCapacity                     // The service is short of capacity, and others go first.
	ReasonHedged                         // Opening also sent to a second upstream.
	numReasons
)

var reasonNames = [numReasons]string{
	"placed", "placedFarther", "placedAgain", "placedSilent", "token", "tokenUnreadRoute", "incomplete", "noRoute", "noUpstream",
	"busy", "coldBudget", "unknownToken", "noToken", "upstreamGone", "unreadable", "malformed", "internal", "noCapacity", "hedged",
}

// String returns the reason in camel case.
func (r Reason) String() string {
	if r < numReasons {
		return reasonNames[r]
	}
	return "unknown"
}

// Reasons returns all reasons.
func Reasons() []Reason {
	out := make([]Reason, numReasons)
	for i := range out {
		out[i] = Reason(i)
	}
	return out
}

var explanations = [numReasons]string{
	"this was the best upstream for a new flow",
	"an upstream in another zone had a lower cost, including the cost of crossing zones",
	"the caller repeated its opening, so it was placed on another upstream",
	"no upstream had answered openings recently, and this one was tried as a last resort",
	"the token in the packet names the upstream",
	"the token in the packet names the upstream, and a configuration that this balancer had not read may have added the route",
	"the balancer had not read the store yet",
	"no route existed for the address",
	"the service had no upstream that accepts new flows",
	"the upstreams that had registered so far were busy, and others were expected to register",
	"all upstreams that accept new flows were cold, and this balancer's share of their budget was used up",
	"no upstream existed for the token",
	"the packet was not an opening and had no token",
	"the upstream had been removed, after it had drained or while it did not answer, so the flow had ended",
	"the upstream's entry could not be decoded, so its address was unknown",
	"the packet could not be decoded",
	"the balancer panicked during the decision; see the log line of the panic",
	"the service was short of capacity: its requests would not have been answered within their objective",
	"the first upstream had not answered the opening within the usual time, so it was also sent to this one",
}

// Explanation returns a description of the reason in the form of a clause.
func (r Reason) Explanation() string {
	if r < numReasons {
		return explanations[r]
	}
	return "of an unknown reason"
}
