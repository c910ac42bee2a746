package bvsource

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func skipNone(int) bool { return false }

var start = time.Unix(1000, 0)

// TestOrder guards against a balancer that reads the store although a preferred
// source is healthy, and against one that waits although some source is healthy.
func TestOrder(t *testing.T) {
	const seed, other, store = 0, 1, 2
	l := New(3, Options{})
	next := func(now time.Time) int {
		i, wait := l.Next(now, skipNone)
		assert.Zero(t, wait)
		return i
	}
	assert.Equal(t, seed, next(start))
	l.Failed(start, seed)
	assert.Equal(t, other, next(start))
	assert.True(t, l.LastFailed(seed))
	l.Failed(start, other)
	assert.Equal(t, store, next(start))
	assert.Equal(t, seed, next(start.Add(150*time.Millisecond)), "it is tried again")
	l.Answered(seed)
	assert.False(t, l.LastFailed(seed))
	assert.Equal(t, seed, next(start))
}

// TestAllFail guards against calls in a tight loop while every source fails,
// and against delays that grow without bound.
func TestAllFail(t *testing.T) {
	l := New(2, Options{})
	now, calls := start, 0
	for now.Before(start.Add(time.Minute)) {
		i, wait := l.Next(now, skipNone)
		if wait > 0 {
			assert.LessOrEqual(t, wait, 2*time.Second)
			now = now.Add(wait)
			continue
		}
		l.Failed(now, i)
		calls++
	}
	assert.Less(t, calls, 2*60+20)
	assert.Greater(t, calls, 60)
}

// TestRecent guards against two sources that can't reach the store any more and
// each accept the other's state as recent.
func TestRecent(t *testing.T) {
	l := New(1, Options{})
	assert.True(t, l.Recent(1500*time.Millisecond), "the age between two answers of the store")
	assert.False(t, l.Recent(2*time.Second))
}
