package bvpick

import (
	"encoding/binary"
	"fmt"
	"math"
	"testing"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/zeebo/xxh3"
)

func key(i int) (k bvflow.Key) {
	binary.BigEndian.PutUint64(k[:8], xxh3.HashString(fmt.Sprint("key", i)))
	return k
}

// TestCost guards against an inaccurate logarithm, which would favor a range of
// hashes.
func TestCost(t *testing.T) {
	for i := range 10000 {
		h := xxh3.HashString(fmt.Sprint(i)) >> (i % 50)
		want := 64 - math.Log2(float64(h|1))
		assert.InDelta(t, want, float64(cost(h))/(1<<fractionBits), 1e-6, "h=%x", h)
	}
}

// TestWeights guards against shares that are not proportional to the weights.
func TestWeights(t *testing.T) {
	const flows = 60000
	cs := []Candidate{Upstream(1, 1), Upstream(2, 2), Upstream(3, 3), Upstream(4, 0)}
	var got [4]int
	for i := range flows {
		got[Best(key(i), cs)]++
	}
	for i, w := range []float64{1, 2, 3, 0} {
		assert.InDelta(t, flows*w/6, got[i], flows*0.01)
	}
}

// TestMinimalDisruption guards against a change of one candidate that moves
// flows between other candidates.
func TestMinimalDisruption(t *testing.T) {
	for n := 2; n <= 20; n++ {
		cs := make([]Candidate, n)
		for i := range cs {
			cs[i] = Upstream(bvconfig.UpstreamID(i), uint32(1+i%4))
		}
		changed := append([]Candidate(nil), cs...)
		changed[n/2].weight = uint64(n % 3) // Removed, lowered or raised.
		for i := range 500 {
			a, b := Best(key(i), cs), Best(key(i), changed)
			if a != b {
				require.True(t, a == n/2 || b == n/2, "flow moved from %d to %d", a, b)
			}
		}
	}
}

// TestRankAgreesWithNext guards against a Rank order that differs from
// repeated calls of Next.
func TestRankAgreesWithNext(t *testing.T) {
	cs := make([]Candidate, 14)
	for i := range cs {
		cs[i] = Upstream(bvconfig.UpstreamID(i), uint32(i%5))
	}
	for i := range 500 {
		var order [16]int
		n := Rank(key(i), cs, order[:])
		require.Equal(t, 11, n)
		require.Equal(t, Best(key(i), cs), order[0])
		for j := 1; j < n; j++ {
			require.Equal(t, Next(key(i), cs, order[j-1]), order[j])
		}
		require.Equal(t, -1, Next(key(i), cs, order[n-1]))
		var two [2]int
		require.Equal(t, 2, Rank(key(i), cs, two[:]))
		require.Equal(t, order[:2], two[:])
	}
}

func BenchmarkRank14(b *testing.B) {
	cs := make([]Candidate, 14)
	for i := range cs {
		cs[i] = Upstream(bvconfig.UpstreamID(i), uint32(1+i%3))
	}
	k := key(1)
	b.ReportAllocs()
	for b.Loop() {
		var order [4]int
		Rank(k, cs, order[:])
	}
}
