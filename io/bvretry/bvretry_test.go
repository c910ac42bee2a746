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
	for range int(maxSaved) {
		assert.True(t, b.Allow(now), "a new budget has its full savings")
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
	assert.Equal(t, int(maxSaved), n, "savings are bounded")
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
