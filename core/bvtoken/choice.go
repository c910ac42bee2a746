package bvtoken

import (
	"container/heap"
	"time"

	"balsamvane/core/bvflow"
)

// standing tells in which list of its service an upstream is.
type standing uint8

const (
	standingNone   standing = iota // It takes no new flows.
	standingUsable                 // It may be tried.
	standingSilent                 // It is left out, since it does not answer.
	standingCold                   // It is left out, since its cold budget is used up.
)

// pool holds upstreams in no order. Each one knows its place.
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

// resting holds upstreams that are left out until a time, the first one on
// top. It implements [heap.Interface].
type resting []*target

func (h resting) Len() int           { return len(h) }
func (h resting) Less(i, j int) bool { return h[i].until.Before(h[j].until) }

func (h resting) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements [heap.Interface].
func (h *resting) Push(x any) { (*pool)(h).add(x.(*target)) }

// Pop implements [heap.Interface].
func (h *resting) Pop() any {
	t := (*h)[len(*h)-1]
	(*pool)(h).remove(t)
	return t
}

// choice is the upstreams of a service that take new flows, by what is known of
// them. An upstream that was turned down is not looked at again before its
// time, so an opening costs the same whatever the number of upstreams that
// are silent or cold.
type choice struct {
	near, farther pool // Usable, in the own zone and in others.
	silent, cold  resting
}

// use makes an upstream usable.
func (c *choice) use(t *target) {
	t.standing = standingUsable
	c.usable(t).add(t)
}

func (c *choice) usable(t *target) *pool {
	if t.inZone {
		return &c.near
	}
	return &c.farther
}

// rest leaves an upstream out until a time.
func (c *choice) rest(t *target, s standing, until time.Time) {
	c.drop(t)
	t.standing, t.until = s, until
	heap.Push(c.resting(s), t)
}

func (c *choice) resting(s standing) *resting {
	if s == standingSilent {
		return &c.silent
	}
	return &c.cold
}

// drop removes an upstream from its list.
func (c *choice) drop(t *target) {
	switch t.standing {
	case standingUsable:
		c.usable(t).remove(t)
	case standingSilent, standingCold:
		heap.Remove(c.resting(t.standing), t.index)
	case standingNone:
	}
	t.standing = standingNone
}

// wake makes the upstreams usable whose time has come.
func (c *choice) wake(now time.Time) {
	for _, h := range []*resting{&c.silent, &c.cold} {
		for len(*h) > 0 && !now.Before((*h)[0].until) {
			t := (*h)[0]
			c.drop(t)
			c.use(t)
		}
	}
}

// restore makes the silent upstreams usable for which served is true.
func (c *choice) restore(served func(*target) bool) {
	var back []*target
	for _, t := range c.silent {
		if served(t) {
			back = append(back, t)
		}
	}
	for _, t := range back {
		c.drop(t)
		c.use(t)
	}
}

const (
	// maxCandidates bounds the upstreams that are compared for one flow, and
	// maxNear those of the own zone among them. The best of that many drawn at
	// random is hardly worse than the best of all.
	maxCandidates = 40
	maxNear       = 32
)

// candidates are the upstreams that are compared for one flow, with their
// costs.
type candidates struct {
	targets [maxCandidates]*target
	costs   [maxCandidates]float64
	n       int
}

// draw takes upstreams of the own zone and of others, beginning at a place
// that differs from flow to flow. Each window is another part of the upstreams.
func (cs *candidates) draw(c *choice, k bvflow.Key, window int) {
	cs.n = 0
	start := k.High() * 0x9e3779b97f4a7c15 >> 32
	cs.take(c.near, start+uint64(window*maxNear), maxNear)
	cs.take(c.farther, start+uint64(window*maxNear), maxCandidates-cs.n)
}

// take adds up to most upstreams of p.
func (cs *candidates) take(p pool, start uint64, most int) {
	for i := range min(len(p), most) {
		cs.targets[cs.n] = p[(start+uint64(i))%uint64(len(p))]
		cs.n++
	}
}

// best removes and returns the upstream that costs least; nil if none is left.
func (cs *candidates) best() *target {
	if cs.n == 0 {
		return nil
	}
	least := 0
	for i := range cs.n {
		if cs.costs[i] < cs.costs[least] {
			least = i
		}
	}
	t := cs.targets[least]
	cs.n--
	cs.targets[least], cs.costs[least] = cs.targets[cs.n], cs.costs[cs.n]
	return t
}
