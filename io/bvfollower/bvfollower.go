// Package bvfollower keeps a catalog up to date from sources that can be
// listed and watched: the platform's store, or other balancers that follow it.
//
// A watch is a call that waits for changes. It may go silent for good, miss
// its answer or be refused. The follower asks for short waits and bounds each
// call from outside. When the state has grown old it asks one more source after
// the other, while the calls before are still out, so the age of the state
// stays bounded as long as any source answers new connections. After a failure
// it goes on from the revision that it has, on a new connection or at the next
// source; it lists all entries again only if the source has forgotten that part
// of the history.
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
	"sync"
	"time"

	"balsamvane/core/bvcatalog"
	"balsamvane/core/bvsource"

	"github.com/jonboulle/clockwork"
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

// errOverdue is a failure of a source whose answer did not come when it was due.
var errOverdue = errors.New("bvfollower: answer is overdue")

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
	// StoreFallbackAge is the age of the state from which the store is asked by a
	// balancer that prefers other sources; 2.25 s. When a source fails that many
	// balancers follow, most find another one before.
	StoreFallbackAge time.Duration
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
	o.StoreFallbackAge = cmp.Or(o.StoreFallbackAge, 2250*time.Millisecond)
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

// Follower follows the first of its sources that is well. While that leaves the
// state to grow old, it asks the others too.
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
	current  string    // Source of the last answer; empty if there was none.

	named *named // Nil if the own sources are asked.
}

// New returns a follower of the sources, the first one preferred.
func New(sources []Source, clock clockwork.Clock, log *zap.Logger, o Options) *Follower {
	f := &Follower{clock: clock, log: log, options: o.withDefaults(), changed: make(chan struct{}, 1)}
	f.use(sources)
	return f
}

func (f *Follower) use(sources []Source) {
	f.sources, f.current = sources, ""
	f.leaveNamed()
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

// hasNext reports whether sources were set that are not in use yet.
func (f *Follower) hasNext() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next != nil
}

// Relist lets the next Run list all entries again. It is not called while Run
// runs.
func (f *Follower) Relist() { f.listed = false }

// Run follows the sources until ctx ends and reports to sink. It returns the
// error of ctx.
func (f *Follower) Run(ctx context.Context, sink func(Event)) error {
	for ctx.Err() == nil {
		f.takeSources()
		if !f.started {
			f.begin(ctx, sink)
			continue
		}
		if changes := f.round(ctx, sink); changes > 0 {
			f.sleep(ctx, f.options.Pause) // Changes in quick succession come in one answer.
		}
	}
	return ctx.Err()
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
