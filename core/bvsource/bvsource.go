// Package bvsource chooses where a balancer reads the platform's state from.
//
// A few balancers, the seeds, read the platform's store; all others follow a
// seed. So the calls to the store do not grow with the fleet. Nobody is
// elected: each balancer goes through its own list of sources, and takes the
// first one that answers with a state that is recent enough. The store is in
// every list, so a balancer that reaches no other goes on by itself.
//
// A source that fails is left out for a delay that doubles up to a bound. When
// the delay has passed it is tried again, also if a later source still answers.
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

// DefaultMaxAge is the age of a source's state from which another source is
// tried. A source that reads the store hears from it every 1.5 s. A larger
// bound lets two sources that have both lost the store follow each other.
const DefaultMaxAge = 1800 * time.Millisecond

// Options are the constants of the rules; zero values select the defaults.
type Options struct {
	MaxAge time.Duration // DefaultMaxAge.
	// FirstDelay and MostDelay bound how long a failed source is left out.
	// 100 ms and 2 s.
	FirstDelay time.Duration
	MaxDelay   time.Duration
	Seed       uint64 // Of the jitter.
}

func (o Options) withDefaults() Options {
	o.MaxAge = cmp.Or(o.MaxAge, DefaultMaxAge)
	o.FirstDelay = cmp.Or(o.FirstDelay, 100*time.Millisecond)
	o.MaxDelay = cmp.Or(o.MaxDelay, 2*time.Second)
	return o
}

// source is what is known of one source.
type source struct {
	backoff *bvretry.Backoff
	failed  bool      // Its last answer was a failure.
	until   time.Time // It is left out until then.
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

// Next returns the source to read from, or how long to wait until there is one
// again. Sources for which skip is true are passed over, such as those that are
// asked already.
func (l *List) Next(now time.Time, skip func(i int) bool) (i int, wait time.Duration) {
	wait = l.options.MaxDelay
	for i, s := range l.sources {
		if skip(i) {
			continue
		}
		if !now.Before(s.until) {
			return i, 0
		}
		wait = min(wait, s.until.Sub(now))
	}
	return 0, wait
}

// Recent reports whether a state of that age may be used.
func (l *List) Recent(age time.Duration) bool { return age <= l.options.MaxAge }

// LastFailed reports whether the source failed last. It should be asked for a
// quick answer then: while it is asked, no other source is.
func (l *List) LastFailed(i int) bool { return l.sources[i].failed }

// Failed leaves a source out for some time.
func (l *List) Failed(now time.Time, i int) {
	l.sources[i].failed = true
	l.sources[i].until = now.Add(l.sources[i].backoff.Next())
}

// Answered takes note that a source is well.
func (l *List) Answered(i int) {
	l.sources[i].backoff.Reset()
	l.sources[i].failed = false
	l.sources[i].until = time.Time{}
}
