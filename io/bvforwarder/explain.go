package bvforwarder

import (
	"net/netip"

	"balsamvane/core/bvtoken"
)

// explanation is the answer to where an opening would go now.
type explanation struct {
	Node string `json:"node"`
	// Ready is false if the platform should send no packets to this balancer.
	Ready bool `json:"ready"`
	bvtoken.Explanation
}

// explain answers the explain endpoint. Packets wait while the router copies itself.
func (w *Forwarder) explain(caller, destination netip.AddrPort) explanation {
	ready := w.isReady()
	w.mu.Lock()
	defer w.mu.Unlock()
	return explanation{Node: w.settings.Node, Ready: ready, Explanation: w.router.Explain(w.clock.Now(), caller, destination)}
}
