// Package bvretry bounds the retries of control calls. A jittered exponential
// backoff spreads them in time, and a budget limits them to a small part of all
// calls, so that retries do not keep a failing service from recovering.
//
// # Usage
//
//	if budget.Allow(clock.Now()) {
//		clock.Sleep(backoff.Next())
//		// call again
//	}
package bvretry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// The retry budget, from section 3.4 of the design: a tenth of the calls, plus
// one retry a second so that a client with few calls can retry at all.
const (
	retriesPerCall   = 0.1
	retriesPerSecond = 1.0
	maxTokens        = 10.0
)

// Budget is a token bucket that bounds retries. It is safe for concurrent use.
// The zero value is ready to use. The bucket starts full, so that a process can
// try several replicas of a service when it starts.
type Budget struct {
	mu         sync.Mutex
	tokens     float64
	lastRefill time.Time
}

// Called records the first attempt of a call.
func (b *Budget) Called(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.tokens+retriesPerCall, maxTokens)
}

// Allow reports whether a retry may be made now, and takes a token if so.
func (b *Budget) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) refill(now time.Time) {
	if b.lastRefill.IsZero() {
		b.tokens, b.lastRefill = maxTokens, now
		return
	}
	if d := now.Sub(b.lastRefill); d > 0 {
		b.tokens = min(b.tokens+d.Seconds()*retriesPerSecond, maxTokens)
		b.lastRefill = now
	}
}

// Backoff gives the delays between attempts. It is not safe for concurrent
// use.
type Backoff struct {
	firstDelay, maxDelay time.Duration
	next                 time.Duration
	random               *rand.Rand
}

// NewBackoff returns a Backoff whose delays start at firstDelay and double up to
// maxDelay. Each delay is jittered over its upper half.
func NewBackoff(firstDelay, maxDelay time.Duration, seed uint64) *Backoff {
	return &Backoff{firstDelay: firstDelay, maxDelay: maxDelay, next: firstDelay, random: rand.New(rand.NewPCG(seed, 0))}
}

// Next returns the next delay.
func (b *Backoff) Next() time.Duration {
	d := b.next
	b.next = min(2*b.next, b.maxDelay)
	return b.Jitter(d)
}

// Reset restarts the sequence with the first delay.
func (b *Backoff) Reset() { b.next = b.firstDelay }

// Jitter returns a random duration between half of d and d.
func (b *Backoff) Jitter(d time.Duration) time.Duration {
	half := d / 2
	if half <= 0 {
		return d
	}
	return half + time.Duration(b.random.Int64N(int64(half)+1))
}
