// Package bvretry bounds the retries of control calls: a jittered exponential
// backoff spreads them in time, and a budget keeps them a small part of all
// calls, so that retries do not keep a failing service down.
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

// The budget of section 3.4 of the design: a tenth of the calls, plus one
// retry a second so that a quiet client can retry at all.
const (
	retriesPerCall   = 0.1
	retriesPerSecond = 1.0
	maxSaved         = 10.0
)

// Budget counts calls and allows retries. It is safe for concurrent use. The
// zero value is ready to use. It starts with its full savings, so that a
// process can try several replicas when it starts.
type Budget struct {
	mu    sync.Mutex
	saved float64
	last  time.Time
}

// Called takes note of a first attempt.
func (b *Budget) Called(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.saved = min(b.saved+retriesPerCall, maxSaved)
}

// Allow reports whether a retry may be made now, and charges it if so.
func (b *Budget) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

func (b *Budget) refill(now time.Time) {
	if b.last.IsZero() {
		b.saved, b.last = maxSaved, now
		return
	}
	if d := now.Sub(b.last); d > 0 {
		b.saved = min(b.saved+d.Seconds()*retriesPerSecond, maxSaved)
		b.last = now
	}
}

// Backoff gives the delays between attempts. It is not safe for concurrent
// use.
type Backoff struct {
	first, most time.Duration
	next        time.Duration
	random      *rand.Rand
}

// NewBackoff returns a Backoff whose delays start at first and double up to
// most. Each is jittered over its upper half.
func NewBackoff(first, most time.Duration, seed uint64) *Backoff {
	return &Backoff{first: first, most: most, next: first, random: rand.New(rand.NewPCG(seed, 0))}
}

// Next returns the next delay.
func (b *Backoff) Next() time.Duration {
	d := b.next
	b.next = min(2*b.next, b.most)
	return b.Jitter(d)
}

// Reset starts again with the first delay.
func (b *Backoff) Reset() { b.next = b.first }

// Jitter returns a random duration between half of d and d.
func (b *Backoff) Jitter(d time.Duration) time.Duration {
	half := d / 2
	if half <= 0 {
		return d
	}
	return half + time.Duration(b.random.Int64N(int64(half)+1))
}
