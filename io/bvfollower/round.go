package bvfollower

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"balsamvane/core/bvrevision"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"go.uber.org/zap"
)

const (
	// hedgeAge is the minimum age of the state at which one more source is called
	// while a call is in flight. A watch of a healthy source ends earlier, even if
	// the source takes 200 ms to answer.
	hedgeAge = 1800 * time.Millisecond
	// hedgeInterval is the time between two such calls. It gives a healthy source
	// time to answer before one more is called.
	hedgeInterval = 150 * time.Millisecond
	// minWait is the minimum wait of a watch. Without it, the follower would call a
	// balancer whose state is about as old as its own in a tight loop.
	minWait = 300 * time.Millisecond
	// overdueAfter is the time after its wait at which a call counts as failed if
	// another source has answered.
	overdueAfter = 200 * time.Millisecond
)

// query is one call to a source.
type query struct {
	source      Source
	ownIndex    int          // Index of an own source; -1 for the target of a redirect.
	redirection *redirection // The redirect that the source is a target of; nil for an own source.
	list        bool         // List all entries instead of watching for changes.
	wait        time.Duration
	startedAt   time.Time
}

// outcome is the result of a query.
type outcome struct {
	query   *query
	listing Listing
	err     error
}

// round is a set of calls that ends with the first usable answer.
type round struct {
	follower      *Follower
	calls         conc.WaitGroup
	results       chan outcome
	inFlight      []*query // Calls in progress.
	lastStartedAt time.Time
}

// round calls a source, and further ones while the state is old, until one
// answers. It returns the number of changes, or 0 if ctx has ended or there are
// new sources.
func (f *Follower) round(ctx context.Context, sink func(Event)) int {
	ctx, cancel := context.WithCancel(ctx)
	r := &round{follower: f, results: make(chan outcome)}
	defer r.calls.Wait()
	defer cancel()
	for ctx.Err() == nil && (len(r.inFlight) > 0 || !f.hasNextSources()) {
		q, wait := r.nextCall(f.clock.Now())
		if q != nil {
			r.startCall(ctx, q)
			continue
		}
		select {
		case o := <-r.results:
			r.inFlight = slices.DeleteFunc(r.inFlight, func(q *query) bool { return q == o.query })
			if f.handleOutcome(o) {
				f.abandonOverdue(r.inFlight)
				return f.applyAnswer(o, sink)
			}
			r.lastStartedAt = time.Time{} // The next source is called at once.
		case <-f.clock.After(wait):
		case <-f.sourcesChanged:
		case <-ctx.Done():
		}
	}
	return 0
}

// nextCall returns the call to make now, or nil and the time until nextCall
// has to be called again.
func (r *round) nextCall(now time.Time) (*query, time.Duration) {
	f := r.follower
	if len(r.inFlight) > 0 {
		due := max(hedgeAge-now.Sub(f.confirmedAt), hedgeInterval-now.Sub(r.lastStartedAt))
		if due > 0 {
			return nil, due
		}
	}
	if f.redirection != nil {
		for _, s := range f.redirection.sources {
			if !r.hasCallTo(s) {
				return r.newQuery(s, -1, len(r.inFlight) > 0), 0
			}
		}
	}
	reserved := f.options.StoreFallbackAge - now.Sub(f.confirmedAt)
	i, wait := f.list.Next(now, func(i int) bool {
		return r.hasCallTo(f.sources[i]) || f.redirection != nil && f.redirection.origin == i || f.isFallbackStore(i) && reserved > 0
	})
	if wait > 0 && reserved > 0 {
		wait = min(wait, reserved)
	}
	if wait > 0 {
		return nil, wait
	}
	quick := len(r.inFlight) > 0 || f.list.LastFailed(i) || now.Sub(f.confirmedAt) >= hedgeAge
	return r.newQuery(f.sources[i], i, quick), 0
}

// isFallbackStore reports whether an own source is the store, listed after
// preferred sources.
func (f *Follower) isFallbackStore(i int) bool { return f.sources[i].Direct && i > 0 }

func (r *round) hasCallTo(s Source) bool {
	return slices.ContainsFunc(r.inFlight, func(q *query) bool { return q.source.Store == s.Store })
}

// newQuery returns a call to a source. A quick call requests an immediate
// answer, any other call waits for changes.
func (r *round) newQuery(s Source, ownIndex int, quick bool) *query {
	f := r.follower
	q := &query{source: s, ownIndex: ownIndex, list: !f.listed}
	if ownIndex < 0 {
		q.redirection = f.redirection
	}
	if q.list || quick {
		return q
	}
	// The wait ends before the state is old.
	q.wait = max(cmp.Or(s.Wait, defaultWait)-f.clock.Since(f.confirmedAt), minWait)
	return q
}

// startCall makes a call in its own goroutine, which ends with ctx.
func (r *round) startCall(ctx context.Context, q *query) {
	f := r.follower
	q.startedAt = f.clock.Now()
	r.lastStartedAt, r.inFlight = q.startedAt, append(r.inFlight, q)
	after := Position{Revision: f.revision, Age: f.clock.Since(f.confirmedAt)}
	r.calls.Go(func() {
		l, err := recovered(func() (Listing, error) { return f.call(ctx, q, after) })
		select {
		case r.results <- outcome{q, l, err}:
		case <-ctx.Done():
		}
	})
}

// recovered calls f and returns a panic as an error, so that an answer that makes
// the decoder panic counts as a failure of its source.
func recovered(f func() (Listing, error)) (l Listing, err error) {
	if p := panics.Try(func() { l, err = f() }); p != nil {
		return Listing{}, eris.Wrap(p.AsError(), "bvfollower: call panicked")
	}
	return l, err
}

// call makes a call with a timeout.
func (f *Follower) call(ctx context.Context, q *query, after Position) (Listing, error) {
	if q.list {
		return f.withTimeout(ctx, f.options.ListTimeout, func(ctx context.Context) (Listing, error) {
			return q.source.Store.List(ctx, func() {})
		})
	}
	return f.withTimeout(ctx, q.wait+f.options.WatchMargin, func(ctx context.Context) (Listing, error) {
		return q.source.Store.Watch(ctx, after, q.wait)
	})
}

// handleOutcome records a failure of a call and reports whether the call has a
// usable answer.
func (f *Follower) handleOutcome(o outcome) bool {
	err := o.err
	if err == nil {
		err = f.check(o)
	}
	var redirect *Redirect
	switch {
	case err == nil:
		return true
	case errors.Is(err, ErrCompacted):
		f.log.Info("source does not have the history since the last answer; listing again",
			zap.String("source", o.query.source.Name), zap.Int64("revision", f.revision.Number), zap.Uint64("era", f.revision.Era))
		f.listed = false
	case errors.As(err, &redirect):
		f.followRedirect(o.query, redirect)
	default:
		f.sourceFailed(o.query, err)
	}
	return false
}

// check returns an error if an answer cannot be used: it is too old, it was
// forwarded by this balancer, or it is of another era than the state that it
// changes.
func (f *Follower) check(o outcome) error {
	l := o.listing
	switch {
	case l.Revision.Era < f.revision.Era:
		return eris.Wrapf(errEarlierEra, "bvfollower: revision %s", l.Revision)
	case l.Revision.Era > f.revision.Era && !o.query.list:
		return ErrCompacted
	case !f.list.Recent(l.Age):
		return eris.Wrapf(errStale, "bvfollower: age %s", l.Age)
	case slices.Contains(l.Path, f.options.Self):
		return eris.Wrapf(errCycle, "bvfollower: path %v", l.Path)
	}
	return nil
}

// sourceFailed records a failure of the source of q.
func (f *Follower) sourceFailed(q *query, err error) {
	f.disconnect(q.source, err)
	if q.redirection != nil {
		f.redirectTargetFailed(q)
		return
	}
	f.list.Failed(f.clock.Now(), q.ownIndex)
}

// abandonOverdue marks the calls in flight as failed whose answers were due
// before another source answered.
func (f *Follower) abandonOverdue(inFlight []*query) {
	now := f.clock.Now()
	for _, q := range inFlight {
		if now.Sub(q.startedAt) >= q.wait+overdueAfter {
			f.sourceFailed(q, errOverdue)
		}
	}
}

// applyAnswer reports an answer to sink and returns the number of changes.
func (f *Follower) applyAnswer(o outcome, sink func(Event)) int {
	q, l := o.query, o.listing
	if q.ownIndex >= 0 {
		f.list.Answered(q.ownIndex)
	}
	f.setCurrentSource(q.source)
	f.recordConfirmation(l)
	if q.list {
		f.listed, f.revision = true, bvrevision.Latest(f.revision, l.Revision)
		sink(Listed{Listing: l})
		return 0
	}
	f.revision = bvrevision.Latest(f.revision, l.Revision)
	sink(Changed{Listing: l})
	return len(l.Changes)
}
