// Package bvsource chooses where a balancer reads the platform's state from.
//
// A few balancers, the seeds, read the platform's store; all others follow a
// seed. So the calls to the store do not grow with the fleet. There is no
// election: each balancer tries its own list of sources in order, and uses the
// first one that answers with a state that is recent enough. The store is in
// every list, so a balancer that reaches no other balancer still has a source.
//
// A source that fails is skipped for a delay that doubles up to a bound. After
// the delay it is tried again, even if a later source still answers.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	l := bvsource.New(len(sources), bvsource.Options{Seed: seed})
//	i, wait := l.Next(now, func(i int) bool { return asked[i] })
//	if wait == 0 {
//		age, err := read(sources[i])
//		if err != nil || !l.Recent(age) {
//			l.Failed(now, i)
//		} else {
//			l.Answered(i)
//		}
//	}
package bvsource

import (
	"cmp"
	"time"

	"balsamvane/core/bvretry"
)

// DefaultMaxAge is the maximum age of a source's state; above it another source
// is tried. A source that reads the store gets an answer from it every 1.5 s. A
// larger bound lets two sources follow each other when neither can reach the
// store any more.
const DefaultMaxAge = 1800 * time.Millisecond

// Options configure a List; zero values select the defaults.
type Options struct {
	MaxAge time.Duration // Maximum age of a source's state; DefaultMaxAge.
	// FirstDelay and MaxDelay bound how long a failed source is skipped.
	// 100 ms and 2 s.
	FirstDelay time.Duration
	MaxDelay   time.Duration
	Seed       uint64 // Seed of the jitter.
}

func (o Options) withDefaults() Options {
	o.MaxAge = cmp.Or(o.MaxAge, DefaultMaxAge)
	o.FirstDelay = cmp.Or(o.FirstDelay, 100*time.Millisecond)
	o.MaxDelay = cmp.Or(o.MaxDelay, 2*time.Second)
	return o
}

// source is the state of one source.
type source struct {
	backoff *bvretry.Backoff
	failed  bool      // The last query failed.
	retryAt time.Time // The source is skipped until then.
}

// List holds the sources in the order of preference. It is not safe for
// concurrent use.
type List struct {
	options Options
	sources []source
}

// New returns a list of n sources, the first one preferred.
func New(n int, o Options) *List {
	l := &List{options: o.withDefaults(), sources: make([]source, n)}
	for i := range l.sources {
		l.sources[i].backoff = bvretry.NewBackoff(l.options.FirstDelay, l.options.MaxDelay, o.Seed+uint64(i))
	}
	return l
}

// Next returns the source to read from, or how long to wait for one. It skips
// sources for which skip returns true, such as those with a pending query.
func (l *List) Next(now time.Time, skip func(i int) bool) (i int, wait time.Duration) {
	wait = l.options.MaxDelay
	for i, s := range l.sources {
		if skip(i) {
			continue
		}
		if !now.Before(s.retryAt) {
			return i, 0
		}
		wait = min(wait, s.retryAt.Sub(now))
	}
	return 0, wait
}

// Recent reports whether a state of the given age may be used.
func (l *List) Recent(age time.Duration) bool { return age <= l.options.MaxAge }

// LastFailed reports whether the last query of the source failed. The next query
// should then ask for a quick answer, since no other source is queried meanwhile.
func (l *List) LastFailed(i int) bool { return l.sources[i].failed }

// Failed records that a source failed, so that it is skipped for some time.
func (l *List) Failed(now time.Time, i int) {
	l.sources[i].failed = true
	l.sources[i].retryAt = now.Add(l.sources[i].backoff.Next())
}

// Answered records that a source is healthy.
func (l *List) Answered(i int) {
	l.sources[i].backoff.Reset()
	l.sources[i].failed = false
	l.sources[i].retryAt = time.Time{}
}
