// Package bvpick stands in for the package of part/route until the merge.
package bvpick

import (
	"math"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"

	"github.com/zeebo/xxh3"
)

// Candidate is something that can be picked.
type Candidate struct {
	seed, weight uint64
}

// Zone returns the candidate for the zone of that name.
func Zone(name string, weight uint64) Candidate { return Candidate{xxh3.HashString(name), weight} }

// Upstream returns the candidate for an upstream.
func Upstream(id bvconfig.UpstreamID, weight uint32) Candidate {
	return Candidate{uint64(id), uint64(weight)}
}

// Best returns the index of the first-ranked candidate, or -1.
func Best(k bvflow.Key, cs []Candidate) int {
	best, low := -1, math.Inf(1)
	for i, c := range cs {
		u := float64(xxh3.HashSeed(k[:], c.seed)>>11+1) / (1 << 53)
		if s := -math.Log(u) / float64(c.weight); c.weight > 0 && s < low {
			best, low = i, s
		}
	}
	return best
}
