package bvlog

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Budget limits the rate of lines of one kind. It is safe for concurrent use.
type Budget struct {
	clock     clockwork.Clock
	perSecond float64 // Lines per second; a burst may have twice as many.

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	suppressed int64
}

// NewBudget returns a budget of perSecond lines per second.
func NewBudget(clock clockwork.Clock, perSecond int) *Budget {
	return &Budget{clock: clock, perSecond: float64(perSecond), tokens: 2 * float64(perSecond), refilledAt: clock.Now()}
}

// Allow reports whether a line may be written, and charges it to the budget if so.
func (b *Budget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.tokens = min(b.tokens+max(now.Sub(b.refilledAt).Seconds(), 0)*b.perSecond, 2*b.perSecond)
	b.refilledAt = now
	if b.tokens < 1 {
		b.suppressed++
		return false
	}
	b.tokens--
	return true
}

// TakeSuppressed returns the number of lines suppressed since the last call.
func (b *Budget) TakeSuppressed() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.suppressed
	b.suppressed = 0
	return n
}
