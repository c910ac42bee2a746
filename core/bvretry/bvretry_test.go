package bvretry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestBudget guards against retries that exceed a tenth of the calls plus one
// a second.
func TestBudget(t *testing.T) {
	now := time.Unix(100, 0)
	var b Budget
	for range int(maxTokens) {
		assert.True(t, b.Allow(now), "a new budget is full")
	}
	assert.False(t, b.Allow(now))
	for range 11 {
		b.Called(now)
	}
	assert.True(t, b.Allow(now), "ten calls earn one retry")
	assert.False(t, b.Allow(now))
	assert.True(t, b.Allow(now.Add(time.Second)))
	now = now.Add(time.Hour)
	n := 0
	for b.Allow(now) {
		n++
	}
	assert.Equal(t, int(maxTokens), n, "the budget is bounded")
}

// TestBackoff guards against delays that do not grow, are not bounded or have
// no jitter.
func TestBackoff(t *testing.T) {
	b := NewBackoff(time.Second, 8*time.Second, 1)
	for _, want := range []time.Duration{1, 2, 4, 8, 8} {
		got := b.Next()
		assert.LessOrEqual(t, got, want*time.Second)
		assert.GreaterOrEqual(t, got, want*time.Second/2)
	}
	b.Reset()
	assert.LessOrEqual(t, b.Next(), time.Second)
}

// TestBudgetRate guards against retries that multiply the load on a peer over
// a long time.
func TestBudgetRate(t *testing.T) {
	const calls, step = 10_000, 10 * time.Millisecond
	var b Budget
	retries := 0
	for i := range calls {
		now := time.Unix(100, 0).Add(time.Duration(i) * step)
		b.Called(now)
		for b.Allow(now) {
			retries++
		}
	}
	assert.InDelta(t, calls/10+100+maxTokens, retries, 2)
}

// TestBackoffSpread guards against clients that retry simultaneously, and against
// delays that differ between runs with the same seed.
func TestBackoffSpread(t *testing.T) {
	seen := map[time.Duration]bool{}
	for seed := range uint64(50) {
		d := NewBackoff(time.Second, 8*time.Second, seed).Next()
		assert.Equal(t, d, NewBackoff(time.Second, 8*time.Second, seed).Next())
		seen[d] = true
	}
	assert.Greater(t, len(seen), 45)
}
