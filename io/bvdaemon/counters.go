package bvdaemon

import (
	"balsamvane/core/bvroute"
	"balsamvane/io/bvtunnel"

	"github.com/uber-go/tally/v4"
)

// counters holds the daemon's counters. They are created once, so that
// incrementing one needs no lookup by name.
type counters struct {
	fabricIn, peerIn, heartbeatIn  tally.Counter
	toUpstream, forwarded, refused tally.Counter
	openingsDropped                tally.Counter
	oldIncarnation, sendFailed     tally.Counter
	encodeFailed, heartbeatsFailed tally.Counter
	droppedBy                      []tally.Counter
	refusedBy                      []tally.Counter
	malformed                      map[string]tally.Counter
	configRejected, callsDropped   tally.Counter
	callsRejected                  tally.Counter
}

func newCounters(s tally.Scope) *counters {
	c := &counters{
		fabricIn:         s.Counter("packetsFromFabric"),
		peerIn:           s.Counter("packetsFromPeers"),
		heartbeatIn:      s.Counter("heartbeatsIn"),
		toUpstream:       s.Counter("packetsToUpstreams"),
		forwarded:        s.Counter("packetsHandedOn"),
		refused:          s.Counter("packetsRefused"),
		openingsDropped:  s.Tagged(map[string]string{"reason": "queueOpening"}).Counter("packetsDropped"),
		oldIncarnation:   s.Tagged(map[string]string{"reason": "oldIncarnation"}).Counter("packetsDropped"),
		encodeFailed:     s.Tagged(map[string]string{"reason": "encodeFailed"}).Counter("packetsDropped"),
		sendFailed:       s.Tagged(map[string]string{"reason": "sendFailed"}).Counter("packetsDropped"),
		heartbeatsFailed: s.Counter("heartbeatsFailed"),
		malformed:        map[string]tally.Counter{},
		configRejected:   s.Counter("configurationsRejected"),
		callsDropped:     s.Counter("controlCallsDropped"),
		callsRejected:    s.Counter("controlCallsRejected"),
	}
	for _, r := range bvroute.Reasons() {
		t := s.Tagged(map[string]string{"reason": r.String()})
		c.droppedBy = append(c.droppedBy, t.Counter("packetsDropped"))
		c.refusedBy = append(c.refusedBy, t.Counter("packetsRefusedBy"))
	}
	for _, k := range bvtunnel.Kinds() {
		c.malformed[k] = s.Tagged(map[string]string{"kind": k}).Counter("packetsMalformed")
	}
	return c
}

// countMalformed increments the counter for the kind of err.
func (c *counters) countMalformed(err error) { c.malformed[bvtunnel.KindOf(err)].Inc(1) }

// counterOf returns the counter of r.
func counterOf(l []tally.Counter, r bvroute.Reason) tally.Counter { return l[r] }
