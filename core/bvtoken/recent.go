package bvtoken

import (
	"encoding/binary"
	"net/netip"

	"balsamvane/core/bvflow"
)

const (
	// callerSlots is the number of slots for callers. Callers that share a slot
	// overwrite each other.
	callerSlots = 1024
	// openingsPerCaller is the number of openings that are kept of a caller.
	openingsPerCaller = 2
)

// recentOpenings holds the last openings of each caller. A caller whose opening
// was reset by the upstream repeats it with another port at once, so the key of the
// new flow does not show that the two are related.
type recentOpenings struct {
	slots [callerSlots]recentCaller
}

type recentCaller struct {
	address netip.Addr
	keys    [openingsPerCaller]bvflow.Key
}

func (r *recentOpenings) slot(a netip.Addr) *recentCaller { return &r.slots[slotOf(a, callerSlots)] }

// slotOf returns the slot of an address in a table of n slots.
func slotOf(a netip.Addr, n uint64) uint64 {
	b := a.As16()
	x := binary.BigEndian.Uint64(b[:8]) ^ binary.BigEndian.Uint64(b[8:])
	return (x * 0x9e3779b97f4a7c15) >> 32 % n
}

// put adds an opening.
func (r *recentOpenings) put(a netip.Addr, k bvflow.Key) {
	s := r.slot(a)
	if s.address != a {
		*s = recentCaller{address: a}
	}
	copy(s.keys[1:], s.keys[:])
	s.keys[0] = k
}

// openings returns the keys of the last openings of a caller, or zero keys.
func (r *recentOpenings) openings(a netip.Addr) [openingsPerCaller]bvflow.Key {
	if s := r.slot(a); s.address == a {
		return s.keys
	}
	return [openingsPerCaller]bvflow.Key{}
}

// callerSet holds callers that have completed an opening. Callers that share a
// slot overwrite each other.
type callerSet struct {
	slots [callerSlots]netip.Addr
}

func (c *callerSet) put(a netip.Addr) { c.slots[slotOf(a, callerSlots)] = a }

func (c *callerSet) contains(a netip.Addr) bool { return c.slots[slotOf(a, callerSlots)] == a }
