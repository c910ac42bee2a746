package bvnode

import (
	"slices"

	"balsamvane/core/bvconfig"
)

// safeguard is a set of mechanisms that prevent failures. Tests switch them off
// to show that they detect the failure that each one prevents.
type safeguard uint16

const (
	refreshAfterPause    safeguard = 1 << iota // A node that was paused reads the configuration first.
	recordTransfer                             // Exceptions are pulled by joining nodes and pushed after changes.
	fetchFromPeers                             // Newer configurations are fetched from peers.
	versionOrder                               // Only a configuration of a higher version replaces the accepted one.
	separateVNIs                               // Each service has its own VNI.
	zonesOutOfService                          // Zones that are out of service get no packets.
	leavingUpstreams                           // Draining upstreams get no new flows.
	fixedShares                                // Shares follow the published list, not the live nodes.
	openingPayload                             // Openings with a request go to one upstream only.
	refusalRecords                             // Refusals are recorded by the replica set.
	syncTokens                                 // Only the answer to the last sync request advances the sync.
	syncLivePeersOnly                          // Only live peers get records in sync answers.
	awaitUncontacted                           // A new node waits for uncontacted peers.
	transferBaseRemovals                       // A joining node gets the removed entries of base lists.
)

func (n *Node) enabled(s safeguard) bool { return n.options.disabled&s == 0 }

// withoutDisabledSafeguards returns c changed so that the disabled safeguards
// have no effect.
func (n *Node) withoutDisabledSafeguards(c bvconfig.Config) bvconfig.Config {
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
		c.Zones[i].OutOfService = c.Zones[i].OutOfService && n.enabled(zonesOutOfService)
	}
	for i := range c.Upstreams {
		c.Upstreams[i].Leaving = c.Upstreams[i].Leaving && n.enabled(leavingUpstreams)
	}
	return c
}
