package bvnode

import (
	"slices"

	"balsamvane/core/bvconfig"
)

// safeguard is a set of mechanisms. Tests switch them off to show that they
// detect the failure that each one prevents.
type safeguard uint16

const (
	refreshAfterPause safeguard = 1 << iota // A node that was paused reads the configuration first.
	recordTransfer                          // Exceptions are pulled by joining nodes and pushed after changes.
	learnFromPeers                          // Newer configurations are fetched from peers.
	versionOrder                            // Only a higher configuration replaces the accepted one.
	separateVNIs                            // Each service has its own VNI.
	zonesOut                                // Zones out of service get no packets.
	leavingUpstreams                        // Leaving upstreams get no new flows.
	fixedShares                             // Shares follow the published list, not the live nodes.
	openingPayload                          // Openings with a request are tied to one upstream.
	refusalRecords                          // Refusals are recorded by the replica set.
	syncTokens                              // Only the answer to the last sync request counts.
	knownAskers                             // Peers that are taken for dead get no sync answer.
	unheardPeers                            // A new node waits for peers that it has not heard.
	transferLeft                            // A joining node learns what has left the base lists.
)

func (n *Node) enabled(s safeguard) bool { return n.options.disabled&s == 0 }

// unguarded returns c as the node sees it without the safeguards that are
// switched off.
func (n *Node) unguarded(c bvconfig.Config) bvconfig.Config {
	if n.options.disabled == 0 {
		return c
	}
	c.Services, c.Zones, c.Upstreams = slices.Clone(c.Services), slices.Clone(c.Zones), slices.Clone(c.Upstreams)
	for i := range c.Services {
		if !n.enabled(separateVNIs) {
			c.Services[i].VNI = c.Services[0].VNI
		}
		c.Services[i].Idempotent = c.Services[i].Idempotent || !n.enabled(openingPayload)
	}
	for i := range c.Zones {
		c.Zones[i].OutOfService = c.Zones[i].OutOfService && n.enabled(zonesOut)
	}
	for i := range c.Upstreams {
		c.Upstreams[i].Leaving = c.Upstreams[i].Leaving && n.enabled(leavingUpstreams)
	}
	return c
}
