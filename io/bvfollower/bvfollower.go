// Package bvfollower keeps a catalog up to date from sources that can be
// listed and watched: the platform's store, or other balancers that follow it.
//
// A watch is a call that waits for changes. It may never be answered, lose its
// answer or be refused. The follower requests short waits and sets a timeout on
// each call. When the state grows old, it calls further sources one after the
// other while earlier calls are still in flight, so the age of the state stays
// bounded as long as any source answers new connections. After a failure it
// resumes from its current revision, on a new connection or at the next source.
// It lists all entries again only if the source has compacted that part of the
// history.
//
// A source that has enough followers redirects the follower to some of them.
// The follower follows one of these while it is healthy, then returns to its own
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
	"balsamvane/core/bvrevision"
	"balsamvane/core/bvsource"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

// ErrCompacted is returned by a watch whose start revision is not in the source's
// history: the source has discarded that part, or the store was restored from a
// copy.
var ErrCompacted = errors.New("bvfollower: history is no longer available")

// Redirect is returned by a watch of a source that has enough followers. Others
// are sources to follow instead, the first one preferred.
type Redirect struct{ Others []netip.AddrPort }

// Error implements error.
func (r *Redirect) Error() string {
	return fmt.Sprintf("bvfollower: source has enough followers and redirects to %v", r.Others)
}

// errStale is the failure of a source whose state the store has not confirmed
// recently.
var errStale = errors.New("state of the source is stale")

// errEarlierEra is the failure of a source that does not know yet that the store was
// restored from a copy.
var errEarlierEra = errors.New("state of the source is from before the store was restored")

// errCycle is the failure of a source that follows this balancer itself.
var errCycle = errors.New("source follows this balancer")

// errOverdue is the failure of a source whose answer did not arrive when it was
// due.
var errOverdue = errors.New("bvfollower: answer is overdue")

// Listing holds all entries, or the changes up to a revision.
type Listing struct {
	Revision bvrevision.Revision
	Changes  []bvcatalog.Change
	// Age is the time since the store confirmed that this is complete. It does not
	// include the delay of the answer.
	Age time.Duration
	// Watermark is a time up to which all changes of the store are included, whatever
	// delayed the answer; the zero value if none is known.
	Watermark time.Time
	// Path holds the control addresses of the balancers that forwarded this, that
	// of the source last; it is empty if the source is the store.
	Path []netip.AddrPort
}

// Position is the revision and age of a follower's state.
type Position struct {
	Revision bvrevision.Revision
	// Age is the time since the store confirmed that the state is complete. A
	// source whose state is clearly more recent answers at once.
	Age time.Duration
}

// Store can be listed and watched. Its calls return when their context ends.
// Calls after Disconnect use new connections.
type Store interface {
	// List reads all entries. It calls part after each part of a listing that
	// arrives in several parts.
	List(ctx context.Context, part func()) (Listing, error)
	Watch(ctx context.Context, after Position, wait time.Duration) (Listing, error)
	Disconnect()
}

// Source is a store with its name in log lines.
type Source struct {
	Name  string
	Store Store
	// Wait is the wait that a watch requests; default 1.5 s. It may be shorter for a
	// source that is cheap to call.
	Wait time.Duration
	// Direct is true for the platform's store.
	Direct bool
}

// Options bound the calls; zero values select the defaults.
type Options struct {
	// ListTimeout bounds a complete listing; sources bound its parts.
	// Default 10 s.
	ListTimeout time.Duration
	// WatchMargin is how much longer than its wait a watch may take before its
	// connection is closed; default 500 ms.
	WatchMargin time.Duration
	// Pause is the time between an answer with changes and the next watch, so
	// that one answer contains changes in quick succession; default 300 ms.
	Pause time.Duration
	Seed  uint64 // Seed of the jitter.
	// StoreFallbackAge is the minimum age of the state at which a balancer that
	// prefers other sources calls the store; default 2.25 s. When a source
	// with many followers fails, most of them find another source before that.
	StoreFallbackAge time.Duration
	// Self is this balancer's control address.
	Self netip.AddrPort
	// Peer returns the balancer at a control address as a source, for redirects.
	// Without it redirects are not followed.
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

// Event is an answer of a source: Listed or Changed.
type Event interface{ event() }

// Listed is a listing of all entries.
type Listed struct{ Listing Listing }

// Changed holds the changes since the last event, possibly none.
type Changed struct{ Listing Listing }

func (Listed) event()  {}
func (Changed) event() {}

// Follower follows the first healthy source. When the state grows old, it calls
// the others too.
type Follower struct {
	sources []Source
	list    *bvsource.List
	clock   clockwork.Clock
	log     *zap.Logger
	options Options

	mu             sync.Mutex
	nextSources    []Source      // Sources set but not in use yet; nil if there are none.
	sourcesChanged chan struct{} // Holds a value when nextSources has been set.
	path           []netip.AddrPort

	started       bool // The first listing was read.
	listed        bool
	revision      bvrevision.Revision
	confirmedAt   time.Time // When the store last confirmed the state.
	currentSource string    // Source of the last answer; empty if there was none.

	redirection *redirection // Nil if the own sources are followed.
}

// New returns a follower of the sources, the first one preferred.
func New(sources []Source, clock clockwork.Clock, log *zap.Logger, o Options) *Follower {
	f := &Follower{clock: clock, log: log, options: o.withDefaults(), sourcesChanged: make(chan struct{}, 1)}
	f.useSources(sources)
	return f
}

func (f *Follower) useSources(sources []Source) {
	f.sources, f.currentSource = sources, ""
	f.endRedirection()
	f.list = bvsource.New(len(sources), bvsource.Options{Seed: f.options.Seed})
}

// SetSources replaces the sources after the calls in progress. Calls for the
// first listing are canceled.
func (f *Follower) SetSources(sources []Source) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextSources = sources
	select {
	case f.sourcesChanged <- struct{}{}:
	default:
	}
}

// applyNextSources switches to the sources that SetSources has set, if any.
func (f *Follower) applyNextSources() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.nextSources == nil {
		return
	}
	for _, s := range f.sources {
		s.Store.Disconnect()
	}
	f.useSources(f.nextSources)
	f.nextSources = nil
}

// hasNextSources reports whether sources were set that are not in use yet.
func (f *Follower) hasNextSources() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nextSources != nil
}

// Relist makes the next Run list all entries again. It must not be called while
// Run runs.
func (f *Follower) Relist() { f.listed = false }

// Run follows the sources until ctx ends and reports to sink. It returns the
// error of ctx.
func (f *Follower) Run(ctx context.Context, sink func(Event)) error {
	for ctx.Err() == nil {
		f.applyNextSources()
		if !f.started {
			f.readFirstListing(ctx, sink)
			continue
		}
		if changes := f.round(ctx, sink); changes > 0 {
			f.sleep(ctx, f.options.Pause) // The next answer contains all changes made meanwhile.
		}
	}
	return ctx.Err()
}

// Path returns the control addresses of the balancers that forwarded the state,
// that of the source last.
func (f *Follower) Path() []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.path
}

// recordConfirmation records when the store confirmed an answer, and the path of
// the answer.
func (f *Follower) recordConfirmation(l Listing) {
	f.mu.Lock()
	f.path = l.Path
	f.mu.Unlock()
	if at := f.clock.Now().Add(-l.Age); at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

func (f *Follower) withTimeout(ctx context.Context, limit time.Duration, do func(context.Context) (Listing, error)) (Listing, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, f.clock, limit)
	defer cancel()
	return do(ctx)
}

// disconnect logs the failure of a source and closes its connection, which may
// never answer again.
func (f *Follower) disconnect(s Source, err error) {
	s.Store.Disconnect()
	f.log.Warn("source does not answer", zap.String("source", s.Name), zap.String("error", err.Error()),
		zap.Int64("revision", f.revision.Number), zap.Uint64("era", f.revision.Era))
}

func (f *Follower) setCurrentSource(s Source) {
	if f.currentSource != s.Name {
		f.log.Info("following source", zap.String("source", s.Name), zap.Int64("revision", f.revision.Number), zap.Uint64("era", f.revision.Era))
		f.currentSource = s.Name
	}
}

// sleep waits for d and reports whether it has passed; otherwise ctx has ended.
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
