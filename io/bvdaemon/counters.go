package bvdaemon

import (
	"balsamvane/core/bvroute"
	"balsamvane/io/bvtunnel"

	"github.com/uber-go/tally/v4"
)

// counters are the packet counters. They are made once, so that counting takes
// no look-up by name.
type counters struct {
	fabricIn, peerIn, heartbeatIn  tally.Counter
	toUpstream, handedOn, refused  tally.Counter
	queueOpenings                  tally.Counter
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
		handedOn:         s.Counter("packetsHandedOn"),
		refused:          s.Counter("packetsRefused"),
		queueOpenings:    s.Tagged(map[string]string{"reason": "queueOpening"}).Counter("packetsDropped"),
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

func (c *counters) bad(err error) { c.malformed[bvtunnel.KindOf(err)].Inc(1) }

// reasonOf returns the counter of r.
func reasonOf(l []tally.Counter, r bvroute.Reason) tally.Counter { return l[r] }
