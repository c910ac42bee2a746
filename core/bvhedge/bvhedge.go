// Package bvhedge limits how many openings a balancer sends to a second upstream.
//
// The limit is a fraction of all openings plus a burst. A bucket of tokens
// enforces it: each opening adds a fraction of a token up to the burst, and each
// hedge takes one. The bucket is not filled by time, so hedges cannot exceed the
// fraction of the openings, whatever the rate of openings.
//
// The bucket starts empty. So the hedges of a balancer that restarts again and
// again stay within the fraction.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	b := bvhedge.New(bvhedge.Options{Fraction: 0.01, Burst: 10})
//	b.Offer() // For each opening that its caller has not repeated.
//	if b.Take() {
//		sendToSecondUpstream()
//	}
package bvhedge

import "math"

// Options configure a Budget. A zero value of either allows no hedges.
type Options struct {
	Fraction float64 // Hedges per opening, at most 1.
	Burst    int     // Maximum number of hedges that are saved up.
}

// Enabled reports whether the options allow hedges at all.
func (o Options) Enabled() bool { return o.Fraction > 0 && o.Burst > 0 }

// unit is one token. Tokens are counted in integers, since rounded sums of
// fractions could exceed the limit.
const unit = 1_000_000_000

// maxBurst keeps the number of units within an int64.
const maxBurst = 1_000_000

// Counts are the counters of a Budget.
type Counts struct {
	Offered uint64 // Openings that have added to the budget.
	Hedged  uint64 // Hedges that the budget has allowed.
	Denied  uint64 // Hedges that the budget has denied.
}

// Budget is the budget of one balancer. It is not safe for concurrent use.
type Budget struct {
	perOpening, maximum int64 // In units.
	tokens              int64 // In units.
	counts              Counts
}

// New returns an empty budget.
func New(o Options) *Budget {
	if !o.Enabled() {
		return &Budget{}
	}
	return &Budget{
		perOpening: int64(math.Floor(min(o.Fraction, 1) * unit)),
		maximum:    int64(min(o.Burst, maxBurst)) * unit,
	}
}

// Offer adds the share of an opening. Openings that callers repeat are not offered.
func (b *Budget) Offer() {
	b.counts.Offered++
	b.tokens = min(b.tokens+b.perOpening, b.maximum)
}

// Take reports whether a hedge may be sent, and takes a token for it if so.
func (b *Budget) Take() bool {
	if b.tokens < unit {
		b.counts.Denied++
		return false
	}
	b.counts.Hedged++
	b.tokens -= unit
	return true
}

// Return gives back the token of a hedge that was not sent.
func (b *Budget) Return() {
	b.counts.Hedged--
	b.tokens += unit
}

// Counts returns the counters.
func (b *Budget) Counts() Counts { return b.counts }
