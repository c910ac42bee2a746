package bvlog

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Budget bounds the lines of one kind. It is safe for concurrent use.
type Budget struct {
	clock clockwork.Clock
	most  float64 // Lines a second; twice that may be saved.

	mu      sync.Mutex
	saved   float64
	at      time.Time
	leftOut int64
}

// NewBudget returns a budget of lines a second.
func NewBudget(clock clockwork.Clock, perSecond int) *Budget {
	return &Budget{clock: clock, most: float64(perSecond), saved: 2 * float64(perSecond), at: clock.Now()}
}

// Allow reports whether a line may be written, and charges it if so.
func (b *Budget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.saved = min(b.saved+max(now.Sub(b.at).Seconds(), 0)*b.most, 2*b.most)
	b.at = now
	if b.saved < 1 {
		b.leftOut++
		return false
	}
	b.saved--
	return true
}

// TakeSuppressed returns the number of lines left out since the last call.
func (b *Budget) TakeSuppressed() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.leftOut
	b.leftOut = 0
	return n
}
