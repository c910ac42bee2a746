// Package bvpick ranks availability zones, balancers and upstreams for a flow
// by weighted rendezvous hashing.
//
// Each candidate gets a pseudo-random number u in (0, 1] from the flow key and
// its own identity, and the score -log2(u)/weight; the lowest score wins (the
// logarithm method of Schindelhauer and Schomaker, "Weighted Distributed Hash
// Tables", 2005). A change of one candidate's weight moves flows only to or
// from that candidate. The logarithm is computed with integers and the scores
// are compared exactly, so that balancers on all architectures agree.
//
// # Usage
//
//	cs := []bvpick.Candidate{bvpick.Upstream(a, 2), bvpick.Upstream(b, 1)}
//	first := bvpick.Best(key, cs) // index into cs, or -1
//	var order [8]int
//	n := bvpick.Rank(key, cs, order[:])
//	for _, i := range order[:n] {
//		// cs[i] in descending preference
//	}
package bvpick

import (
	"math/bits"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"

	"github.com/zeebo/xxh3"
)

// The domain constants make the picks of zone, balancer and upstream for one
// key independent of each other.
const (
	domainZone     = 0x9e3779b97f4a7c15
	domainBalancer = 0xc2b2ae3d27d4eb4f
	domainUpstream = 0x165667b19e3779f9
)

// Candidate is a zone, balancer or upstream that can be picked. Candidates
// with weight 0 are never picked.
type Candidate struct {
	seed   uint64
	weight uint64
}

// Zone returns the candidate for the zone of that name.
func Zone(name string, weight uint64) Candidate {
	return Candidate{seed: mix(xxh3.HashString(name) ^ domainZone), weight: weight}
}

// Balancer returns the candidate for a balancer. All balancers have the same
// weight.
func Balancer(id bvconfig.NodeID) Candidate {
	return Candidate{seed: mix(uint64(id) ^ domainBalancer), weight: 1}
}

// Upstream returns the candidate for an upstream.
func Upstream(id bvconfig.UpstreamID, weight uint32) Candidate {
	return Candidate{seed: mix(uint64(id) ^ domainUpstream), weight: uint64(weight)}
}

// Weight returns the candidate's weight.
func (c Candidate) Weight() uint64 { return c.weight }

// mix is the 64-bit finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// score represents the fraction cost/weight. The cost is computed only when
// two different weights are compared. Equal weights are ordered by the hashes.
type score struct {
	hash, weight, seed uint64
	cost               uint64 // 0 until it is needed.
}

func (c Candidate) score(high uint64) score {
	return score{hash: mix(high ^ c.seed), weight: c.weight, seed: c.seed}
}

func (s *score) less(t *score) bool {
	if s.weight != t.weight {
		sh, sl := bits.Mul64(s.cachedCost(), t.weight)
		th, tl := bits.Mul64(t.cachedCost(), s.weight)
		if sh != th {
			return sh < th
		}
		if sl != tl {
			return sl < tl
		}
	}
	return s.hash > t.hash || s.hash == t.hash && s.seed < t.seed
}

func (s *score) cachedCost() uint64 {
	if s.cost == 0 {
		s.cost = cost(s.hash)
	}
	return s.cost
}

// Best returns the index of the highest-ranked candidate, or -1 if there is
// none.
func Best(k bvflow.Key, cs []Candidate) int {
	high := k.High()
	best := -1
	var lowest score
	for i, c := range cs {
		if c.weight == 0 {
			continue
		}
		if s := c.score(high); best < 0 || s.less(&lowest) {
			best, lowest = i, s
		}
	}
	return best
}

// maxRank is the maximum number of candidates that [Rank] ranks in one pass.
const maxRank = 16

// Rank writes the indexes of the highest-ranked candidates into order, best
// first, and returns their number: at most len(order) and at most 16.
func Rank(k bvflow.Key, cs []Candidate, order []int) int {
	var top [maxRank]score
	limit := min(len(order), maxRank)
	high, n := k.High(), 0
	for i, c := range cs {
		if c.weight == 0 {
			continue
		}
		s := c.score(high)
		if n == limit && (n == 0 || !s.less(&top[n-1])) {
			continue
		}
		j := n
		if n == limit {
			j = n - 1
		} else {
			n++
		}
		for ; j > 0 && s.less(&top[j-1]); j-- {
			top[j], order[j] = top[j-1], order[j-1]
		}
		top[j], order[j] = s, i
	}
	return n
}

// Next returns the index of the candidate that is ranked directly after the
// candidate with index after, or -1 if that one is the last.
func Next(k bvflow.Key, cs []Candidate, after int) int {
	high := k.High()
	bound := cs[after].score(high)
	best := -1
	var lowest score
	for i, c := range cs {
		if c.weight == 0 || i == after {
			continue
		}
		if s := c.score(high); bound.less(&s) && (best < 0 || s.less(&lowest)) {
			best, lowest = i, s
		}
	}
	return best
}
