package bvfollower

import (
	"context"
	"time"

	"balsamvane/core/bvretry"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
)

const (
	// hedgeDelay is how long the store has for the first listing before the
	// other sources are asked as well. A store that is well answers in
	// milliseconds, a slow one in 100 to 250 ms.
	hedgeDelay = 300 * time.Millisecond
	// firstRetry and mostRetry bound the delay after a failed first listing.
	// They are short, since nothing is served meanwhile.
	firstRetry = 100 * time.Millisecond
	mostRetry  = 300 * time.Millisecond
)

// found is a first listing and the source that gave it.
type found struct {
	source  int
	listing Listing
}

// begin reads the first listing from the source that answers first: until a
// balancer knows its upstreams it serves nothing. The store is asked at once;
// when all balancers start together, the others know nothing yet or are still
// down. It reports whether a listing was read; if not, ctx has ended or there
// are new sources.
func (f *Follower) begin(ctx context.Context, sink func(Event)) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan found, len(f.sources))
	var wg conc.WaitGroup
	defer wg.Wait()
	for i, s := range f.sources {
		wg.Go(func() {
			if !s.Direct && !f.sleep(ctx, hedgeDelay) {
				return
			}
			if l, ok := f.firstListing(ctx, i); ok {
				results <- found{i, l}
			}
		})
	}
	defer cancel() // Before wg.Wait.
	select {
	case r := <-results:
		f.started, f.listed, f.revision = true, true, r.listing.Revision
		f.confirmed(r.listing)
		sink(Listed{Listing: r.listing})
		f.list.Answered(r.source)
		f.answered(f.sources[r.source])
		return true
	case <-f.changed:
	case <-ctx.Done():
	}
	return false
}

// firstListing lists a source until it answers or ctx ends. It logs the first
// failure only: while the store is down, each source fails several times a
// second.
func (f *Follower) firstListing(ctx context.Context, i int) (Listing, bool) {
	s := f.sources[i]
	backoff := bvretry.NewBackoff(firstRetry, mostRetry, f.options.Seed+uint64(i))
	for failures := 0; ; failures++ {
		l, err := f.bounded(ctx, f.options.ListTimeout, s.Store.List)
		if err == nil {
			return l, true
		}
		if ctx.Err() != nil {
			return l, false
		}
		s.Store.Disconnect()
		if failures == 0 {
			f.log.Warn("source does not answer at the start", zap.String("source", s.Name), zap.String("error", err.Error()))
		}
		if !f.sleep(ctx, backoff.Next()) {
			return l, false
		}
	}
}
