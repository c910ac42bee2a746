package bvfollower

import (
	"context"
	"slices"
	"sync"
	"time"

	"balsamvane/core/bvretry"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
)

const (
	// hedgeDelay is the time without a part of a first listing after which one
	// more source is called. A healthy store answers in milliseconds, a slow one
	// in 100 to 250 ms.
	hedgeDelay = 300 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed first listing.
	// They are short, since the balancer serves nothing until it has a listing.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 300 * time.Millisecond
)

// firstAnswer is a first listing and the index of its source.
type firstAnswer struct {
	source  int
	listing Listing
}

// progress holds when the last part of a first listing arrived.
type progress struct {
	mu sync.Mutex
	at time.Time
}

func (p *progress) record(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at = now
}

// remaining returns the time from now until one more source is called if no part
// arrives.
func (p *progress) remaining(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return hedgeDelay - now.Sub(p.at)
}

// readFirstListing reads the first listing from the source that answers first,
// since a balancer serves nothing until it has its upstreams. It calls the store
// first: when all balancers start together, the others have no state yet or are
// still down. It calls one more source whenever one has failed or no part has
// arrived within hedgeDelay. It returns when a listing was read, ctx has ended
// or there are new sources.
func (f *Follower) readFirstListing(ctx context.Context, sink func(Event)) {
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	results := make(chan firstAnswer, len(f.sources))
	failed := make(chan struct{}, len(f.sources))
	p := &progress{at: f.clock.Now()}
	order := f.firstListingOrder()
	for asked := 0; ; {
		var next <-chan time.Time
		if asked < len(order) {
			remaining := p.remaining(f.clock.Now())
			if asked == 0 || remaining <= 0 {
				i := order[asked]
				wg.Go(func() { f.listUntilAnswered(ctx, i, p, results, failed) })
				asked++
				p.record(f.clock.Now())
				continue
			}
			next = f.clock.After(remaining)
		}
		select {
		case r := <-results:
			f.applyFirstListing(r, sink)
			return
		case <-next:
		case <-failed:
			p.record(time.Time{})
		case <-f.sourcesChanged:
			return
		case <-ctx.Done():
			return
		}
	}
}

// firstListingOrder returns the sources in the order for the first listing, the
// store first.
func (f *Follower) firstListingOrder() []int {
	var order []int
	for i := range f.sources {
		order = append(order, i)
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case f.sources[a].Direct == f.sources[b].Direct:
			return 0
		case f.sources[a].Direct:
			return -1
		}
		return 1
	})
	return order
}

// applyFirstListing reports the first listing to sink.
func (f *Follower) applyFirstListing(r firstAnswer, sink func(Event)) {
	f.started, f.listed, f.revision = true, true, r.listing.Revision
	f.recordConfirmation(r.listing)
	sink(Listed{Listing: r.listing})
	f.list.Answered(r.source)
	f.setCurrentSource(f.sources[r.source])
}

// listUntilAnswered lists a source until it answers or ctx ends. It logs only the
// first failure: while the store is down, each source fails several times a
// second.
func (f *Follower) listUntilAnswered(ctx context.Context, i int, p *progress, results chan<- firstAnswer, failed chan<- struct{}) {
	s := f.sources[i]
	backoff := bvretry.NewBackoff(minRetryDelay, maxRetryDelay, f.options.Seed+uint64(i))
	for failures := 0; ; failures++ {
		l, err := recovered(func() (Listing, error) {
			return f.withTimeout(ctx, f.options.ListTimeout, func(ctx context.Context) (Listing, error) {
				return s.Store.List(ctx, func() { p.record(f.clock.Now()) })
			})
		})
		if err == nil {
			results <- firstAnswer{i, l}
			return
		}
		if ctx.Err() != nil {
			return
		}
		s.Store.Disconnect()
		if failures == 0 {
			failed <- struct{}{}
			f.log.Warn("source does not answer the first listing", zap.String("source", s.Name), zap.String("error", err.Error()))
		}
		if !f.sleep(ctx, backoff.Next()) {
			return
		}
	}
}
