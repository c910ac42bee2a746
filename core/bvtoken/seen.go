package bvtoken

import (
	"time"

	"balsamvane/core/bvcatalog"
	"balsamvane/core/bvflow"
)

const (
	// seenSlots is the number of slots for open flows. Flows that share a slot
	// overwrite each other.
	seenSlots = 1 << 15
	// seenTimeout is the time without a packet after which a flow is forgotten. A
	// caller that reuses its port before that sends an opening packet first.
	seenTimeout = 30 * time.Second
)

// seenFlows holds when this balancer saw the first packet of each open flow. A flow
// that was overwritten, or whose packets went through another balancer, counts as open
// since its next packet here.
type seenFlows struct {
	epoch time.Time
	slots []seenFlow
}

// seenFlow is an open flow at an upstream. Times count from the epoch in milliseconds;
// only differences matter, since they overflow after 49 days.
type seenFlow struct {
	key         uint32          // Part of the flow's key that is not the slot's number.
	token       bvcatalog.Token // 0 if the slot is empty.
	first, last uint32          // First and last packet.
}

func newSeenFlows() seenFlows { return seenFlows{slots: make([]seenFlow, seenSlots)} }

// slot returns the slot of a flow and the part of its key that the slot holds.
func (s *seenFlows) slot(k bvflow.Key) (x *seenFlow, key uint32) {
	high := k.High()
	return &s.slots[high%seenSlots], uint32(high >> 32)
}

// record records a packet of an open flow, and returns for how long the flow has at
// least been open: since its first packet here.
func (s *seenFlows) record(now time.Time, k bvflow.Key, t bvcatalog.Token) time.Duration {
	if s.epoch.IsZero() {
		s.epoch = now
	}
	at := uint32(now.Sub(s.epoch) / time.Millisecond)
	x, key := s.slot(k)
	if x.key != key || x.token != t || at-x.last > uint32(seenTimeout/time.Millisecond) {
		*x = seenFlow{key: key, token: t, first: at}
	}
	x.last = at
	if at == x.first {
		return 0
	}
	return time.Duration(at-x.first-1) * time.Millisecond // Both times are rounded down.
}

// remove forgets a flow whose caller opens a new one from the same port. It reports
// whether the flow was held.
func (s *seenFlows) remove(k bvflow.Key) bool {
	x, key := s.slot(k)
	if x.key != key || x.token == 0 {
		return false
	}
	*x = seenFlow{}
	return true
}
