package bvtoken

// Reason is why a packet went where it went.
type Reason uint8

// The reasons.
const (
	ReasonPlaced         Reason = iota // An opening at the preferred upstream.
	ReasonPlacedFarther                // An opening in another zone.
	ReasonPlacedAgain                  // A repeated opening at another upstream.
	ReasonPlacedSilent                 // An opening at an upstream that did not answer before, since all others are out.
	ReasonToken                        // The token names the upstream.
	ReasonIncomplete                   // The catalog is not complete yet.
	ReasonNoRoute                      // No route has the address.
	ReasonNoUpstream                   // No upstream can take the flow.
	ReasonBusy                         // The upstreams that have registered so far are busy.
	ReasonColdBudget                   // All upstreams are cold and have their share of new flows.
	ReasonUnknownToken                 // No upstream has the token.
	ReasonNoToken                      // A packet of an open flow without a token.
	ReasonUpstreamGone                 // The upstream has left.
	ReasonUpstreamSilent               // The upstream does not acknowledge packets, while others do.
	ReasonUnreadable                   // The upstream's entry cannot be read, so its address is not known.
	ReasonMalformed                    // The packet cannot be read.
	ReasonInternal                     // The decision failed by a fault in this program.
	numReasons
)

var reasonNames = [numReasons]string{
	"placed", "placedFarther", "placedAgain", "placedSilent", "token", "incomplete", "noRoute", "noUpstream",
	"busy", "coldBudget", "unknownToken", "noToken", "upstreamGone", "upstreamSilent", "unreadable", "malformed", "internal",
}

// String returns the reason as a word in camel case.
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
	"an upstream in another zone was better by more than the cost of that",
	"the caller repeated its opening, so another upstream got it",
	"no upstream had answered openings lately, and this one was tried all the same",
	"the token in the packet names the upstream",
	"the balancer had not read the store yet",
	"no route had the address",
	"the service had no upstream that takes new flows",
	"the upstreams that had registered so far were busy, and others were expected to register",
	"all upstreams that take new flows were cold and had got this balancer's share",
	"no upstream had the token",
	"the packet belonged to no opening and had no token",
	"the upstream had left, so the flow had ended",
	"the upstream did not acknowledge packets while others did, and the request may be repeated",
	"the upstream's entry could not be read, so its address was not known",
	"the packet could not be read",
	"the decision failed by a fault in the balancer; see the line about the panic",
}

// Explanation returns what the reason means, as the end of a sentence.
func (r Reason) Explanation() string {
	if r < numReasons {
		return explanations[r]
	}
	return "of an unknown reason"
}
