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
	// hedgeDelay is how long no part of a first listing may come before one
	// more source is asked. A store that is well answers in milliseconds, a
	// slow one in 100 to 250 ms.
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

// progress is when a part of a first listing came last.
type progress struct {
	mu sync.Mutex
	at time.Time
}

func (p *progress) made(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at = now
}

// left returns how much longer than now nothing may come.
func (p *progress) left(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return hedgeDelay - now.Sub(p.at)
}

// begin reads the first listing from the source that answers first: until a
// balancer knows its upstreams it serves nothing. The store is asked at once;
// when all balancers start together, the others know nothing yet or are still
// down. One more source is asked whenever one has failed or nothing has come
// for some time. It returns when a listing was read, ctx has ended or there are new sources.
func (f *Follower) begin(ctx context.Context, sink func(Event)) {
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	results := make(chan found, len(f.sources))
	failed := make(chan struct{}, len(f.sources))
	p := &progress{at: f.clock.Now()}
	order := f.firstOrder()
	for asked := 0; ; {
		var next <-chan time.Time
		if asked < len(order) {
			left := p.left(f.clock.Now())
			if asked == 0 || left <= 0 {
				i := order[asked]
				wg.Go(func() { f.firstListing(ctx, i, p, results, failed) })
				asked++
				p.made(f.clock.Now())
				continue
			}
			next = f.clock.After(left)
		}
		select {
		case r := <-results:
			f.began(r, sink)
			return
		case <-next:
		case <-failed:
			p.made(time.Time{})
		case <-f.changed:
			return
		case <-ctx.Done():
			return
		}
	}
}

// firstOrder returns the sources in the order for the first listing, the store
// first.
func (f *Follower) firstOrder() []int {
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

// began takes over the first listing.
func (f *Follower) began(r found, sink func(Event)) {
	f.started, f.listed, f.revision = true, true, r.listing.Revision
	f.confirmed(r.listing)
	sink(Listed{Listing: r.listing})
	f.list.Answered(r.source)
	f.answered(f.sources[r.source])
}

// firstListing lists a source until it answers or ctx ends. It logs the first
// failure only: while the store is down, each source fails several times a
// second.
func (f *Follower) firstListing(ctx context.Context, i int, p *progress, results chan<- found, failed chan<- struct{}) {
	s := f.sources[i]
	backoff := bvretry.NewBackoff(firstRetry, mostRetry, f.options.Seed+uint64(i))
	for failures := 0; ; failures++ {
		l, err := recovered(func() (Listing, error) {
			return f.bounded(ctx, f.options.ListTimeout, func(ctx context.Context) (Listing, error) {
				return s.Store.List(ctx, func() { p.made(f.clock.Now()) })
			})
		})
		if err == nil {
			results <- found{i, l}
			return
		}
		if ctx.Err() != nil {
			return
		}
		s.Store.Disconnect()
		if failures == 0 {
			failed <- struct{}{}
			f.log.Warn("source does not answer at the start", zap.String("source", s.Name), zap.String("error", err.Error()))
		}
		if !f.sleep(ctx, backoff.Next()) {
			return
		}
	}
}
