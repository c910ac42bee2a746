// Package bvfollower keeps a catalog up to date from a platform whose store
// can be listed and watched.
//
// A watch is a call that waits for changes. It may go silent for good, miss
// its answer or be refused. The follower asks for short waits and bounds each
// call from outside, so the age of the catalog stays within the wait and the
// margin as long as the store answers new connections. After a failure it goes
// on from the revision that it has, on a new connection; it lists all entries
// again only if the store has forgotten that part of its history.
//
// # Usage
//
//	f := bvfollower.New(store, clock, log, bvfollower.Options{})
//	err := f.Run(ctx, func(e bvfollower.Event) { apply(e) })
package bvfollower

import (
	"cmp"
	"context"
	"errors"
	"time"

	"balsamvane/core/bvcatalog"
	"balsamvane/core/bvretry"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

// ErrCompacted is returned by a watch whose start is no longer in the store's
// history.
var ErrCompacted = errors.New("bvfollower: history is no longer available")

// Listing holds all entries of the store, or the changes up to a revision.
type Listing struct {
	Revision bvcatalog.Revision
	Changes  []bvcatalog.Change
}

// Store is the platform's store. Its calls end with their context. After
// [Store.Disconnect] calls use new connections.
type Store interface {
	List(ctx context.Context) (Listing, error)
	Watch(ctx context.Context, after bvcatalog.Revision, wait time.Duration) (Listing, error)
	Disconnect()
}

// Options bound the calls; zero values select the defaults.
type Options struct {
	ListTimeout time.Duration // 1 s.
	WatchWait   time.Duration // The wait that a watch asks for; 1.5 s.
	// WatchMargin is how much longer than WatchWait a watch may be silent
	// before its connection is given up; 500 ms.
	WatchMargin time.Duration
	// Pause is the time between an answer with changes and the next watch, so
	// that changes in quick succession come in one answer; 300 ms.
	Pause      time.Duration
	FirstDelay time.Duration // First delay after a failure; 50 ms.
	MostDelay  time.Duration // Longest delay after a failure; 800 ms.
	Seed       uint64        // Of the jitter.
}

func (o Options) withDefaults() Options {
	o.ListTimeout = cmp.Or(o.ListTimeout, time.Second)
	o.WatchWait = cmp.Or(o.WatchWait, 1500*time.Millisecond)
	o.WatchMargin = cmp.Or(o.WatchMargin, 500*time.Millisecond)
	o.Pause = cmp.Or(o.Pause, 300*time.Millisecond)
	o.FirstDelay = cmp.Or(o.FirstDelay, 50*time.Millisecond)
	o.MostDelay = cmp.Or(o.MostDelay, 800*time.Millisecond)
	return o
}

// Event is what the follower has learned. The set of events is closed.
type Event interface{ event() }

// Listed is a listing of all entries.
type Listed struct{ Listing Listing }

// Changed are the changes since the last event, possibly none.
type Changed struct{ Listing Listing }

// Failed is a call that failed.
type Failed struct{ Err error }

func (Listed) event()  {}
func (Changed) event() {}
func (Failed) event()  {}

// Follower follows one store.
type Follower struct {
	store   Store
	clock   clockwork.Clock
	log     *zap.Logger
	options Options

	listed   bool
	revision bvcatalog.Revision
	lostAt   time.Time // Zero while the store answers.
}

// New returns a follower that has not listed anything yet.
func New(s Store, clock clockwork.Clock, log *zap.Logger, o Options) *Follower {
	return &Follower{store: s, clock: clock, log: log, options: o.withDefaults()}
}

// Run follows the store until ctx ends and reports to sink. It returns the
// error of ctx.
func (f *Follower) Run(ctx context.Context, sink func(Event)) error {
	backoff := bvretry.NewBackoff(f.options.FirstDelay, f.options.MostDelay, f.options.Seed)
	for ctx.Err() == nil {
		changes, err := f.step(ctx, sink)
		if ctx.Err() != nil {
			break
		}
		pause := time.Duration(0)
		switch {
		case err != nil:
			f.failed(err)
			sink(Failed{Err: err})
			pause = backoff.Next()
		case changes > 0:
			f.answered()
			backoff.Reset()
			pause = f.options.Pause
		default:
			f.answered()
			backoff.Reset()
		}
		f.sleep(ctx, pause)
	}
	return ctx.Err()
}

// step makes one call and returns the number of changes.
func (f *Follower) step(ctx context.Context, sink func(Event)) (int, error) {
	if !f.listed {
		l, err := f.call(ctx, f.options.ListTimeout, f.store.List)
		if err != nil {
			return 0, err
		}
		f.listed, f.revision = true, l.Revision
		sink(Listed{Listing: l})
		return 0, nil
	}
	l, err := f.call(ctx, f.options.WatchWait+f.options.WatchMargin, func(ctx context.Context) (Listing, error) {
		return f.store.Watch(ctx, f.revision, f.options.WatchWait)
	})
	if errors.Is(err, ErrCompacted) {
		f.log.Info("store has forgotten the history since the last answer; listing again",
			zap.Int64("revision", int64(f.revision)))
		f.listed = false
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	f.revision = max(f.revision, l.Revision)
	sink(Changed{Listing: l})
	return len(l.Changes), nil
}

func (f *Follower) call(ctx context.Context, limit time.Duration, do func(context.Context) (Listing, error)) (Listing, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, f.clock, limit)
	defer cancel()
	return do(ctx)
}

// failed gives up the connection, which may be silent for good.
func (f *Follower) failed(err error) {
	f.store.Disconnect()
	if f.lostAt.IsZero() {
		f.lostAt = f.clock.Now()
		f.log.Warn("store does not answer", zap.Error(err), zap.Int64("revision", int64(f.revision)))
	}
}

func (f *Follower) answered() {
	if f.lostAt.IsZero() {
		return
	}
	f.log.Info("store answers again", zap.Duration("after", f.clock.Since(f.lostAt)),
		zap.Int64("revision", int64(f.revision)))
	f.lostAt = time.Time{}
}

func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-f.clock.After(d):
	}
}
