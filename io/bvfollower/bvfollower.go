// Package bvfollower keeps a catalog up to date from sources that can be
// listed and watched: the platform's store, or other balancers that follow it.
//
// A watch is a call that waits for changes. It may go silent for good, miss
// its answer or be refused. The follower asks for short waits and bounds each
// call from outside, so the age of the catalog stays within the wait and the
// margin as long as a source answers new connections. After a failure it goes
// on from the revision that it has, on a new connection or at the next source;
// it lists all entries again only if the source has forgotten that part of the
// history.
//
// A source that has enough followers names some of them, and the follower
// follows one of these as long as it is well; then it comes back to its own
// sources.
//
// # Usage
//
//	f := bvfollower.New(sources, clock, log, bvfollower.Options{})
//	err := f.Run(ctx, func(e bvfollower.Event) { apply(e) })
package bvfollower

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"balsamvane/core/bvcatalog"
	"balsamvane/core/bvsource"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// ErrCompacted is returned by a watch whose start is no longer in the source's
// history.
var ErrCompacted = errors.New("bvfollower: history is no longer available")

// Redirect is returned by a watch of a source that has enough followers. It
// names sources to follow instead, the first one preferred.
type Redirect struct{ Others []netip.AddrPort }

// Error implements error.
func (r *Redirect) Error() string {
	return fmt.Sprintf("bvfollower: source has enough followers and names %v", r.Others)
}

// errOld is a failure of a source that has lost its own source.
var errOld = errors.New("bvfollower: source has not heard of the store for too long")

// errCycle is a failure of a source that follows this balancer itself.
var errCycle = errors.New("bvfollower: source follows this balancer")

// Listing holds all entries, or the changes up to a revision.
type Listing struct {
	Revision bvcatalog.Revision
	Changes  []bvcatalog.Change
	// Age is how long ago the store answered that this is complete.
	Age time.Duration
	// Path are the control addresses of the balancers that this came through,
	// that of the source last; it is empty if the source is the store.
	Path []netip.AddrPort
}

// Position is what a follower has already.
type Position struct {
	Revision bvcatalog.Revision
	// Age is how long ago the store answered that this is complete. A source
	// whose state is clearly more recent answers at once.
	Age time.Duration
}

// Store is something to follow. Its calls end with their context. After
// Disconnect calls use new connections.
type Store interface {
	// List reads all entries. It calls part after each part that it has read
	// of a listing that comes in several.
	List(ctx context.Context, part func()) (Listing, error)
	Watch(ctx context.Context, after Position, wait time.Duration) (Listing, error)
	Disconnect()
}

// Source is a store with the name that log lines use.
type Source struct {
	Name  string
	Store Store
	// Wait is the wait that a watch asks for; 1.5 s. A source that is cheap to
	// ask may have a shorter one.
	Wait time.Duration
	// Direct is true for the platform's store.
	Direct bool
}

// Options bound the calls; zero values select the defaults.
type Options struct {
	// ListTimeout bounds a whole listing; sources bound its parts. 10 s.
	ListTimeout time.Duration
	// WatchMargin is how much longer than its wait a watch may be silent
	// before its connection is given up; 500 ms.
	WatchMargin time.Duration
	// Pause is the time between an answer with changes and the next watch, so
	// that changes in quick succession come in one answer; 300 ms.
	Pause time.Duration
	Seed  uint64 // Of the jitter.
	// Self is the own control address.
	Self netip.AddrPort
	// Peer returns the balancer with a control address as a source, for
	// balancers that a source names. Without it they are not followed.
	Peer func(netip.AddrPort) Source
}

// defaultWait is the wait of a source that sets none.
const defaultWait = 1500 * time.Millisecond

func (o Options) withDefaults() Options {
	o.ListTimeout = cmp.Or(o.ListTimeout, 10*time.Second)
	o.WatchMargin = cmp.Or(o.WatchMargin, 500*time.Millisecond)
	o.Pause = cmp.Or(o.Pause, 300*time.Millisecond)
	return o
}

// Event is what the follower has learned. The set of events is closed.
type Event interface{ event() }

// Listed is a listing of all entries.
type Listed struct{ Listing Listing }

// Changed are the changes since the last event, possibly none.
type Changed struct{ Listing Listing }

func (Listed) event()  {}
func (Changed) event() {}

// Follower follows the first of its sources that is well.
type Follower struct {
	sources []Source
	list    *bvsource.List
	clock   clockwork.Clock
	log     *zap.Logger
	options Options

	mu      sync.Mutex
	next    []Source      // Sources to take over; nil if none have been set.
	changed chan struct{} // Holds a value when next has been set.
	path    []netip.AddrPort

	started  bool // A first listing was read.
	listed   bool
	revision bvcatalog.Revision
	contact  time.Time // When the store has confirmed the state last.
	paused   bool      // A pause came before the next call.
	current  string    // Source of the last answer; empty if there was none.

	named named
}

// New returns a follower of the sources, the first one preferred.
func New(sources []Source, clock clockwork.Clock, log *zap.Logger, o Options) *Follower {
	f := &Follower{clock: clock, log: log, options: o.withDefaults(), changed: make(chan struct{}, 1)}
	f.use(sources)
	return f
}

func (f *Follower) use(sources []Source) {
	f.sources, f.current = sources, ""
	f.named.clear()
	f.list = bvsource.New(len(sources), bvsource.Options{Seed: f.options.Seed})
}

// SetSources replaces the sources after the call in progress.
func (f *Follower) SetSources(sources []Source) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = sources
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// takeSources takes over sources that were set meanwhile.
func (f *Follower) takeSources() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next == nil {
		return
	}
	for _, s := range f.sources {
		s.Store.Disconnect()
	}
	f.use(f.next)
	f.next = nil
}

// Run follows the sources until ctx ends and reports to sink. It returns the
// error of ctx.
func (f *Follower) Run(ctx context.Context, sink func(Event)) error {
	for ctx.Err() == nil {
		f.takeSources()
		if !f.started {
			f.begin(ctx, sink)
			continue
		}
		l, err := f.round(ctx, sink)
		if err == nil && len(l.Changes) > 0 {
			f.sleep(ctx, f.options.Pause) // Changes in quick succession come in one answer.
			f.paused = true
		}
	}
	return ctx.Err()
}

// round asks a source that was named, or else the first of the own sources that
// is well. It waits if none is.
func (f *Follower) round(ctx context.Context, sink func(Event)) (Listing, error) {
	if s, ok := f.named.first(); ok {
		l, err := f.step(ctx, s, false, sink)
		f.settleNamed(ctx, s, err)
		return l, err
	}
	i, wait := f.list.Next(f.clock.Now())
	if wait > 0 {
		f.sleep(ctx, wait)
		return Listing{}, nil
	}
	s := f.sources[i]
	l, err := f.step(ctx, s, f.list.Doubtful(i), sink)
	f.settle(ctx, i, s, err)
	return l, err
}

// settle takes note of the outcome of a call to one of the own sources.
func (f *Follower) settle(ctx context.Context, i int, s Source, err error) {
	var r *Redirect
	switch {
	case ctx.Err() != nil:
	case errors.As(err, &r):
		f.redirected(i, s, r)
	case err != nil:
		f.failed(s, err)
		f.list.Failed(f.clock.Now(), i)
	default:
		f.list.Answered(i)
		f.answered(s)
	}
}

// step makes one call to a source. A doubtful source is asked for a quick answer.
func (f *Follower) step(ctx context.Context, s Source, doubtful bool, sink func(Event)) (Listing, error) {
	if !f.listed {
		l, err := f.call(ctx, f.options.ListTimeout, func(ctx context.Context) (Listing, error) {
			return s.Store.List(ctx, func() {})
		})
		if err != nil {
			return l, err
		}
		f.listed, f.revision = true, l.Revision
		f.confirmed(l)
		sink(Listed{Listing: l})
		return Listing{}, nil
	}
	wait := cmp.Or(s.Wait, defaultWait)
	if f.paused {
		wait = max(wait-f.options.Pause, 0) // Together they are as long as a wait.
	}
	if doubtful {
		wait = 0
	}
	f.paused = false
	l, err := f.call(ctx, wait+f.options.WatchMargin, func(ctx context.Context) (Listing, error) {
		return s.Store.Watch(ctx, Position{f.revision, f.clock.Since(f.contact)}, wait)
	})
	if errors.Is(err, ErrCompacted) {
		f.log.Info("source has forgotten the history since the last answer; listing again",
			zap.String("source", s.Name), zap.Int64("revision", int64(f.revision)))
		f.listed = false
		return l, nil
	}
	if err != nil {
		return l, err
	}
	f.revision = max(f.revision, l.Revision)
	f.confirmed(l)
	sink(Changed{Listing: l})
	return l, nil
}

// Path returns the control addresses of the balancers that the state comes
// through, that of the source last.
func (f *Follower) Path() []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.path
}

// confirmed takes note of when the store has confirmed an answer, and of the
// way that it came.
func (f *Follower) confirmed(l Listing) {
	f.mu.Lock()
	f.path = l.Path
	f.mu.Unlock()
	if at := f.clock.Now().Add(-l.Age); at.After(f.contact) {
		f.contact = at
	}
}

// call makes a bounded call. An answer that is too old, or that this balancer
// has given itself, is a failure, but a listing is used in any case: it is
// better than none.
func (f *Follower) call(ctx context.Context, limit time.Duration, do func(context.Context) (Listing, error)) (Listing, error) {
	l, err := f.bounded(ctx, limit, do)
	switch {
	case err != nil || !f.listed:
		return l, err
	case !f.list.Recent(l.Age):
		return l, eris.Wrapf(errOld, "age %s", l.Age)
	case slices.Contains(l.Path, f.options.Self):
		return l, eris.Wrapf(errCycle, "path %v", l.Path)
	}
	return l, nil
}

func (f *Follower) bounded(ctx context.Context, limit time.Duration, do func(context.Context) (Listing, error)) (Listing, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, f.clock, limit)
	defer cancel()
	return do(ctx)
}

// failed gives up the connection, which may be silent for good.
func (f *Follower) failed(s Source, err error) {
	s.Store.Disconnect()
	f.log.Warn("source does not answer", zap.String("source", s.Name), zap.String("error", err.Error()),
		zap.Int64("revision", int64(f.revision)))
}

func (f *Follower) answered(s Source) {
	if f.current != s.Name {
		f.log.Info("following source", zap.String("source", s.Name), zap.Int64("revision", int64(f.revision)))
		f.current = s.Name
	}
}

// sleep reports whether d has passed; ctx has ended otherwise.
func (f *Follower) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-f.clock.After(d):
		return true
	}
}
