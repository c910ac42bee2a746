package bvtoken

import (
	"encoding/binary"
	"net/netip"

	"balsamvane/core/bvflow"
)

const (
	// recentCallers is the number of callers that are remembered. Callers that
	// share a slot forget each other.
	recentCallers = 1024
	// recentOpenings is the number of openings that are remembered of a caller.
	recentOpenings = 2
)

// recent remembers the last openings of each caller. A caller whose opening was
// reset by the upstream repeats it with another port at once, so the new flow
// cannot be told from the first by its key.
type recent struct {
	slots [recentCallers]recentCaller
}

type recentCaller struct {
	address netip.Addr
	keys    [recentOpenings]bvflow.Key
}

func (r *recent) slot(a netip.Addr) *recentCaller { return &r.slots[slotOf(a, recentCallers)] }

// slotOf returns the slot of an address in a table of n.
func slotOf(a netip.Addr, n uint64) uint64 {
	b := a.As16()
	x := binary.BigEndian.Uint64(b[:8]) ^ binary.BigEndian.Uint64(b[8:])
	return (x * 0x9e3779b97f4a7c15) >> 32 % n
}

// put adds an opening.
func (r *recent) put(a netip.Addr, k bvflow.Key) {
	s := r.slot(a)
	if s.address != a {
		*s = recentCaller{address: a}
	}
	copy(s.keys[1:], s.keys[:])
	s.keys[0] = k
}

// openings returns the last openings of a caller, or zero keys.
func (r *recent) openings(a netip.Addr) [recentOpenings]bvflow.Key {
	if s := r.slot(a); s.address == a {
		return s.keys
	}
	return [recentOpenings]bvflow.Key{}
}

// callers remembers callers that have gone on with an opening. Callers that
// share a slot forget each other.
type callers struct {
	slots [recentCallers]netip.Addr
}

func (c *callers) put(a netip.Addr) { c.slots[slotOf(a, recentCallers)] = a }

func (c *callers) contains(a netip.Addr) bool { return c.slots[slotOf(a, recentCallers)] == a }
