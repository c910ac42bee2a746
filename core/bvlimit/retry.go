package bvlimit

import (
	"math/rand/v2"
	"time"
)

const (
	retryRatio     = 0.1 // Retries per call.
	retryPerSecond = 1.0
	// retryBurst bounds the retries saved up in quiet times.
	retryBurst = 10.0

	backoffBase = 100 * time.Millisecond
	backoffMax  = 10 * time.Second
)

// RetryBudget bounds the retries of control calls to a tenth of the calls plus
// one a second, so that a peer that fails is not met with a multiple of the
// load. The zero value is ready to use.
type RetryBudget struct {
	tokens float64
	last   time.Time
}

func (b *RetryBudget) refill(now time.Time) {
	if b.last.IsZero() {
		b.tokens = 1
	} else if gap := now.Sub(b.last); gap > 0 {
		b.tokens = min(b.tokens+gap.Seconds()*retryPerSecond, retryBurst)
	}
	if now.After(b.last) {
		b.last = now
	}
}

// Called records a call that is not a retry.
func (b *RetryBudget) Called(now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens+retryRatio, retryBurst)
}

// Allow reports whether a retry may be made now, and takes it from the budget.
func (b *RetryBudget) Allow(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the wait before a retry: a random part, fixed by the seed,
// of an interval that doubles with each attempt (counted from 0) up to 10 s.
// The random part covers the whole interval, which spreads callers that failed
// together.
func Backoff(seed uint64, attempt int) time.Duration {
	limit := backoffMax
	if attempt < 7 {
		limit = min(backoffBase<<max(attempt, 0), backoffMax)
	}
	r := rand.New(rand.NewPCG(seed, uint64(attempt)))
	return time.Duration(r.Int64N(int64(limit))) + time.Millisecond
}
