package bvtoken

import (
	"container/heap"
	"time"

	"balsamvane/core/bvflow"
)

// selectionState is whether an upstream may be selected for new flows. It also
// says which list of its service holds the upstream.
type selectionState uint8

const (
	stateNone         selectionState = iota // Takes no new flows; in no list.
	stateUsable                             // May be selected.
	stateUnresponsive                       // Ejected because it does not answer.
	stateColdLimited                        // Suspended because its cold budget is used up.
)

// pool is an unordered list of upstreams. Each upstream stores its own index.
type pool []*target

func (p *pool) add(t *target) {
	t.index = len(*p)
	*p = append(*p, t)
}

func (p *pool) remove(t *target) {
	last := len(*p) - 1
	(*p)[t.index] = (*p)[last]
	(*p)[t.index].index = t.index
	(*p)[last] = nil
	*p = (*p)[:last]
}

// suspendedHeap holds the upstreams that are suspended until some time, the
// earliest on top. It implements [heap.Interface].
type suspendedHeap []*target

func (h suspendedHeap) Len() int           { return len(h) }
func (h suspendedHeap) Less(i, j int) bool { return h[i].suspendedUntil.Before(h[j].suspendedUntil) }

func (h suspendedHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements [heap.Interface].
func (h *suspendedHeap) Push(x any) { (*pool)(h).add(x.(*target)) }

// Pop implements [heap.Interface].
func (h *suspendedHeap) Pop() any {
	t := (*h)[len(*h)-1]
	(*pool)(h).remove(t)
	return t
}

// upstreamPools holds the upstreams of a service that may take new flows, by
// selectionState. A suspended upstream is not examined before its suspension ends, so
// the cost of an opening does not depend on the number of unresponsive or cold
// upstreams.
type upstreamPools struct {
	local, remote             pool // Usable upstreams in the own zone and in other zones.
	unresponsive, coldLimited suspendedHeap
}

// makeUsable marks an upstream usable. It must not be in any list.
func (c *upstreamPools) makeUsable(t *target) {
	t.state = stateUsable
	c.usablePool(t).add(t)
}

func (c *upstreamPools) usablePool(t *target) *pool {
	if t.inZone {
		return &c.local
	}
	return &c.remote
}

// suspend takes an upstream out of use until a time.
func (c *upstreamPools) suspend(t *target, s selectionState, until time.Time) {
	c.remove(t)
	t.state, t.suspendedUntil = s, until
	heap.Push(c.suspendedIn(s), t)
}

func (c *upstreamPools) suspendedIn(s selectionState) *suspendedHeap {
	if s == stateUnresponsive {
		return &c.unresponsive
	}
	return &c.coldLimited
}

// remove removes an upstream from its list.
func (c *upstreamPools) remove(t *target) {
	switch t.state {
	case stateUsable:
		c.usablePool(t).remove(t)
	case stateUnresponsive, stateColdLimited:
		heap.Remove(c.suspendedIn(t.state), t.index)
	case stateNone:
	}
	t.state = stateNone
}

// resume makes the upstreams usable whose suspension has ended.
func (c *upstreamPools) resume(now time.Time) {
	for _, h := range []*suspendedHeap{&c.unresponsive, &c.coldLimited} {
		for len(*h) > 0 && !now.Before((*h)[0].suspendedUntil) {
			t := (*h)[0]
			c.remove(t)
			c.makeUsable(t)
		}
	}
}

// restore makes the unresponsive upstreams usable for which responsive returns
// true.
func (c *upstreamPools) restore(responsive func(*target) bool) {
	var restored []*target
	for _, t := range c.unresponsive {
		if responsive(t) {
			restored = append(restored, t)
		}
	}
	for _, t := range restored {
		c.remove(t)
		c.makeUsable(t)
	}
}

const (
	// maxCandidates bounds the upstreams that are compared for one flow, and
	// maxLocal those of the own zone among them. The best of that many random
	// upstreams is hardly worse than the best of all.
	maxCandidates = 40
	maxLocal      = 32
)

// candidates holds the upstreams that are compared for one flow, with their
// costs. Where complete is false, the cost holds only the terms of
// setFixedCosts, which it is never below.
type candidates struct {
	targets  [maxCandidates]*target
	costs    [maxCandidates]float64
	complete [maxCandidates]bool
	n        int
}

// draw selects upstreams of the own zone and of others, starting at an offset
// that depends on the flow. Each window covers another part of the upstreams.
func (cs *candidates) draw(c *upstreamPools, k bvflow.Key, window int) {
	cs.n = 0
	start := k.High() * 0x9e3779b97f4a7c15 >> 32
	cs.add(c.local, start+uint64(window*maxLocal), maxLocal)
	cs.add(c.remote, start+uint64(window*maxLocal), maxCandidates-cs.n)
}

// add adds up to limit upstreams of p.
func (cs *candidates) add(p pool, start uint64, limit int) {
	if len(p) == 0 {
		return
	}
	at := int(start % uint64(len(p)))
	for range min(len(p), limit) {
		cs.targets[cs.n] = p[at]
		cs.n++
		if at++; at == len(p) {
			at = 0
		}
	}
}

// remove removes and returns a candidate.
func (cs *candidates) remove(i int) *target {
	t := cs.targets[i]
	cs.n--
	cs.targets[i], cs.costs[i], cs.complete[i] = cs.targets[cs.n], cs.costs[cs.n], cs.complete[cs.n]
	return t
}
