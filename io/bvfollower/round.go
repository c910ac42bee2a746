package bvfollower

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"go.uber.org/zap"
)

const (
	// hedgeAge is the age of the state from which one more source is asked
	// while a call is out. A watch that is well ends before, also at a source
	// that takes 200 ms for an answer.
	hedgeAge = 1800 * time.Millisecond
	// hedgeInterval is the time between two such calls. It lets a source that
	// is well answer before one more is asked.
	hedgeInterval = 150 * time.Millisecond
	// minWait is the least wait of a watch. A balancer whose state is about as
	// old as the follower's would be asked over and over without it.
	minWait = 300 * time.Millisecond
	// overdueAfter is how long after its wait a call is taken for failed if
	// another source has answered meanwhile.
	overdueAfter = 200 * time.Millisecond
)

// query is one call to a source.
type query struct {
	source Source
	own    int    // Index of an own source; -1 if the source was named.
	named  *named // Those that the source was named with; nil for an own source.
	list   bool   // For all entries, not for the changes.
	wait   time.Duration
	asked  time.Time
}

// outcome is the result of a query.
type outcome struct {
	query   *query
	listing Listing
	err     error
}

// round is one set of calls, the last of which gives an answer.
type round struct {
	follower *Follower
	calls    conc.WaitGroup
	results  chan outcome
	out      []*query // Calls in progress.
	last     time.Time
}

// round asks a source, and further ones while the state is old, until one
// answers. It returns the number of changes, or 0 if ctx has ended or there are
// new sources.
func (f *Follower) round(ctx context.Context, sink func(Event)) int {
	ctx, cancel := context.WithCancel(ctx)
	r := &round{follower: f, results: make(chan outcome)}
	defer r.calls.Wait()
	defer cancel()
	for ctx.Err() == nil && (len(r.out) > 0 || !f.hasNext()) {
		q, wait := r.next(f.clock.Now())
		if q != nil {
			r.ask(ctx, q)
			continue
		}
		select {
		case o := <-r.results:
			r.out = slices.DeleteFunc(r.out, func(q *query) bool { return q == o.query })
			if f.settle(o) {
				f.supersede(r.out)
				return f.take(o, sink)
			}
			r.last = time.Time{} // The next source is asked at once.
		case <-f.clock.After(wait):
		case <-f.changed:
		case <-ctx.Done():
		}
	}
	return 0
}

// next returns the call to make now, or nil and the time until the next look.
func (r *round) next(now time.Time) (*query, time.Duration) {
	f := r.follower
	if len(r.out) > 0 {
		due := max(hedgeAge-now.Sub(f.contact), hedgeInterval-now.Sub(r.last))
		if due > 0 {
			return nil, due
		}
	}
	if f.named != nil {
		for _, s := range f.named.sources {
			if !r.asks(s) {
				return r.query(s, -1, len(r.out) > 0), 0
			}
		}
	}
	reserved := f.options.StoreFallbackAge - now.Sub(f.contact)
	i, wait := f.list.Next(now, func(i int) bool {
		return r.asks(f.sources[i]) || f.named != nil && f.named.by == i || f.isLast(i) && reserved > 0
	})
	if wait > 0 && reserved > 0 {
		wait = min(wait, reserved)
	}
	if wait > 0 {
		return nil, wait
	}
	quick := len(r.out) > 0 || f.list.LastFailed(i) || now.Sub(f.contact) >= hedgeAge
	return r.query(f.sources[i], i, quick), 0
}

// isLast reports whether an own source is the store behind other sources.
func (f *Follower) isLast(i int) bool { return f.sources[i].Direct && i > 0 }

func (r *round) asks(s Source) bool {
	return slices.ContainsFunc(r.out, func(q *query) bool { return q.source.Store == s.Store })
}

// query returns a call to a source, for a quick answer or for one that waits.
func (r *round) query(s Source, own int, quick bool) *query {
	f := r.follower
	q := &query{source: s, own: own, list: !f.listed}
	if own < 0 {
		q.named = f.named
	}
	if q.list || quick {
		return q
	}
	// The answer is due before the state is old.
	q.wait = max(cmp.Or(s.Wait, defaultWait)-f.clock.Since(f.contact), minWait)
	return q
}

// ask makes a call in a goroutine of its own, which ends with ctx.
func (r *round) ask(ctx context.Context, q *query) {
	f := r.follower
	q.asked = f.clock.Now()
	r.last, r.out = q.asked, append(r.out, q)
	after := Position{Revision: f.revision, Age: f.clock.Since(f.contact)}
	r.calls.Go(func() {
		l, err := recovered(func() (Listing, error) { return f.call(ctx, q, after) })
		select {
		case r.results <- outcome{q, l, err}:
		case <-ctx.Done():
		}
	})
}

// recovered calls f and returns a panic as an error, so that an answer that
// the decoder is not prepared for counts as a failure of its source.
func recovered(f func() (Listing, error)) (l Listing, err error) {
	if p := panics.Try(func() { l, err = f() }); p != nil {
		return Listing{}, eris.Wrap(p.AsError(), "bvfollower: call panicked")
	}
	return l, err
}

// call makes a bounded call.
func (f *Follower) call(ctx context.Context, q *query, after Position) (Listing, error) {
	if q.list {
		return f.bounded(ctx, f.options.ListTimeout, func(ctx context.Context) (Listing, error) {
			return q.source.Store.List(ctx, func() {})
		})
	}
	return f.bounded(ctx, q.wait+f.options.WatchMargin, func(ctx context.Context) (Listing, error) {
		return q.source.Store.Watch(ctx, after, q.wait)
	})
}

// settle takes note of the outcome of a call and reports whether it is an
// answer to use.
func (f *Follower) settle(o outcome) bool {
	err := o.err
	if err == nil {
		err = f.check(o.listing)
	}
	var redirect *Redirect
	switch {
	case err == nil:
		return true
	case errors.Is(err, ErrCompacted):
		f.log.Info("source has forgotten the history since the last answer; listing again",
			zap.String("source", o.query.source.Name), zap.Int64("revision", int64(f.revision)))
		f.listed = false
	case errors.As(err, &redirect):
		f.redirected(o.query, redirect)
	default:
		f.giveUp(o.query, err)
	}
	return false
}

// check returns the reason why an answer cannot be used: it is too old, or this
// balancer has given it itself.
func (f *Follower) check(l Listing) error {
	switch {
	case !f.list.Recent(l.Age):
		return eris.Wrapf(errOld, "age %s", l.Age)
	case slices.Contains(l.Path, f.options.Self):
		return eris.Wrapf(errCycle, "path %v", l.Path)
	}
	return nil
}

// giveUp takes note that the source of q has failed.
func (f *Follower) giveUp(q *query, err error) {
	f.failed(q.source, err)
	if q.named != nil {
		f.namedFailed(q)
		return
	}
	f.list.Failed(f.clock.Now(), q.own)
}

// supersede gives up the calls that another source's answer came before,
// although their own was due.
func (f *Follower) supersede(out []*query) {
	now := f.clock.Now()
	for _, q := range out {
		if now.Sub(q.asked) >= q.wait+overdueAfter {
			f.giveUp(q, errOverdue)
		}
	}
}

// take takes over an answer and returns the number of changes.
func (f *Follower) take(o outcome, sink func(Event)) int {
	q, l := o.query, o.listing
	if q.own >= 0 {
		f.list.Answered(q.own)
	}
	f.answered(q.source)
	f.confirmed(l)
	if q.list {
		f.listed, f.revision = true, max(f.revision, l.Revision)
		sink(Listed{Listing: l})
		return 0
	}
	f.revision = max(f.revision, l.Revision)
	sink(Changed{Listing: l})
	return len(l.Changes)
}
