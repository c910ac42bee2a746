package bvfollower

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"time"

	"balsamvane/core/bvcatalog"
	"balsamvane/core/bvrevision"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// rev returns a revision of era 1.
func rev(number int64) bvrevision.Revision { return bvrevision.Revision{Era: 1, Number: number} }

// call is one call of a fake store; the test sends the result to answer.
type call struct {
	list   bool
	part   func() // Reports a part of a listing.
	after  bvrevision.Revision
	age    time.Duration
	wait   time.Duration
	answer chan<- answer
}

type answer struct {
	listing Listing
	err     error
}

// fakeStore passes its calls to the test.
type fakeStore struct {
	calls        chan call
	mu           sync.Mutex
	disconnected int
}

func newFakeStore() *fakeStore { return &fakeStore{calls: make(chan call)} }

func (s *fakeStore) ask(ctx context.Context, c call) (Listing, error) {
	a := make(chan answer, 1)
	c.answer = a
	select {
	case s.calls <- c:
	case <-ctx.Done():
		return Listing{}, ctx.Err()
	}
	select {
	case v := <-a:
		return v.listing, v.err
	case <-ctx.Done():
		return Listing{}, ctx.Err()
	}
}

func (s *fakeStore) List(ctx context.Context, part func()) (Listing, error) {
	return s.ask(ctx, call{list: true, part: part})
}

func (s *fakeStore) Watch(ctx context.Context, after Position, wait time.Duration) (Listing, error) {
	return s.ask(ctx, call{after: after.Revision, age: after.Age, wait: wait})
}

func (s *fakeStore) Disconnect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disconnected++
}

func (s *fakeStore) disconnects() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.disconnected
}

var (
	firstTarget  = netip.MustParseAddrPort("192.0.2.1:6082")
	secondTarget = netip.MustParseAddrPort("192.0.2.2:6082")
	self         = netip.MustParseAddrPort("192.0.2.3:6082")
)

// fixture runs a follower of a peer and the store.
type fixture struct {
	t        *testing.T
	clock    *clockwork.FakeClock
	peer     *fakeStore
	store    *fakeStore
	targets  map[netip.AddrPort]*fakeStore // Possible targets of redirects.
	follower *Follower
	events   chan Event
	ctx      context.Context
}

// newFixture returns a running follower that calls the store as soon as the peer
// has failed.
func newFixture(t *testing.T) *fixture { return newFixtureWith(t, atAnyAge) }

// atAnyAge is below the age of any state.
const atAnyAge = -time.Nanosecond

func newFixtureWith(t *testing.T, storeAge time.Duration) *fixture {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	f := &fixture{
		t: t, clock: clockwork.NewFakeClock(), peer: newFakeStore(), store: newFakeStore(),
		events: make(chan Event, 100), ctx: ctx, targets: map[netip.AddrPort]*fakeStore{},
	}
	for _, a := range []netip.AddrPort{firstTarget, secondTarget} {
		f.targets[a] = newFakeStore()
	}
	f.follower = New([]Source{{Name: "peer", Store: f.peer}, {Name: "store", Store: f.store, Direct: true}},
		f.clock, zap.NewNop(), Options{StoreFallbackAge: storeAge, Self: self, Peer: func(a netip.AddrPort) Source { return Source{Name: a.String(), Store: f.targets[a]} }})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.follower.Run(ctx, func(e Event) { f.events <- e })
	}()
	t.Cleanup(func() { cancel(); <-done })
	return f
}

// nextCall returns the next call to s. It advances the clock until there is one.
func (f *fixture) nextCall(s *fakeStore) call {
	for {
		select {
		case c := <-s.calls:
			return c
		case <-f.ctx.Done():
			require.Fail(f.t, "no call")
		case <-time.After(5 * time.Millisecond):
			f.clock.Advance(50 * time.Millisecond)
		}
	}
}

func (f *fixture) answerFirstListing(number int64) {
	c := f.nextCall(f.store)
	require.True(f.t, c.list)
	c.answer <- answer{listing: Listing{Revision: rev(number)}}
	require.Equal(f.t, Listed{Listing{Revision: rev(number)}}, <-f.events)
}

// TestFollowsChanges guards against changes that are lost or requested twice.
func TestFollowsChanges(t *testing.T) {
	f := newFixture(t)
	f.answerFirstListing(5)
	changes := []bvcatalog.Change{bvcatalog.ZoneOutOfService{Zone: "zone-a"}}
	c := f.nextCall(f.peer)
	assert.Equal(t, rev(5), c.after)
	c.answer <- answer{listing: Listing{Revision: rev(8), Changes: changes}}
	assert.Equal(t, Changed{Listing{Revision: rev(8), Changes: changes}}, <-f.events)
	c = f.nextCall(f.peer)
	assert.Equal(t, rev(8), c.after)
	assert.GreaterOrEqual(t, c.age, 300*time.Millisecond, "the age of the last answer includes the pause")
	assert.Less(t, c.wait, defaultWait, "pause and wait together are as long as the default wait")
	c.answer <- answer{listing: Listing{Revision: rev(7)}}
	<-f.events
	assert.Equal(t, rev(8), f.nextCall(f.peer).after, "a lagging source does not lower the revision")
}

// TestLeavesFailedSource guards against a follower that stays with a source that
// fails, has no contact to the store, or does not answer on an open connection.
func TestLeavesFailedSource(t *testing.T) {
	tests := map[string]func(c call){
		"refuses":         func(c call) { c.answer <- answer{err: errors.New("refused")} },
		"is stale":        func(c call) { c.answer <- answer{listing: Listing{Revision: rev(5), Age: 3 * time.Second}} },
		"does not answer": func(call) {},
	}
	for name, fail := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.answerFirstListing(5)
			fail(f.nextCall(f.peer))
			c := f.nextCall(f.store)
			assert.False(t, c.list, "it resumes from its own revision")
			assert.Equal(t, rev(5), c.after)
			c.answer <- answer{listing: Listing{Revision: rev(6)}}
			c = f.nextCall(f.peer)
			assert.Equal(t, 1, f.peer.disconnects(), "the failed connection is closed")
			assert.Zero(t, c.wait, "the call to a source that has failed requests an immediate answer")
			assert.Equal(t, rev(6), c.after)
		})
	}
}

// era2 returns a revision after a restore of the store.
func era2(number int64) bvrevision.Revision { return bvrevision.Revision{Era: 2, Number: number} }

// TestRestoredStore guards against a follower that goes on from a revision of the lost
// history after the store was restored from a copy, whether the source answers with
// changes or without, and against a loop of listings when the new revision is lower.
func TestRestoredStore(t *testing.T) {
	for name, a := range map[string]answer{
		"history ends":   {err: ErrCompacted},
		"no changes":     {listing: Listing{Revision: era2(5)}},
		"changes":        {listing: Listing{Revision: era2(6), Changes: []bvcatalog.Change{bvcatalog.ZoneOutOfService{Zone: "zone-a"}}}},
		"lower revision": {listing: Listing{Revision: era2(2)}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.answerFirstListing(5)
			f.nextCall(f.peer).answer <- a
			c := f.nextCall(f.peer)
			require.True(t, c.list)
			c.answer <- answer{listing: Listing{Revision: era2(4)}}
			require.Equal(t, Listed{Listing{Revision: era2(4)}}, <-f.events, "no other event")
			c = f.nextCall(f.peer)
			require.False(t, c.list)
			require.Equal(t, era2(4), c.after)
			assert.Zero(t, f.peer.disconnects(), "the source has not failed")
		})
	}
}

// TestEarlierEra guards against a follower that returns to the lost history, or takes
// its state for recent, since a source does not know of the restore yet.
func TestEarlierEra(t *testing.T) {
	f := newFixture(t)
	f.answerFirstListing(5)
	f.nextCall(f.peer).answer <- answer{err: ErrCompacted}
	f.nextCall(f.peer).answer <- answer{listing: Listing{Revision: era2(4)}}
	require.Equal(t, Listed{Listing{Revision: era2(4)}}, <-f.events)
	f.nextCall(f.peer).answer <- answer{listing: Listing{Revision: rev(9)}}
	c := f.nextCall(f.store)
	assert.Equal(t, era2(4), c.after)
	c.answer <- answer{err: ErrCompacted}
	c = f.nextCall(f.peer)
	assert.True(t, c.list)
	c.answer <- answer{listing: Listing{Revision: rev(10)}}
	c = f.nextCall(f.store)
	assert.True(t, c.list, "a listing of the lost history is refused too")
	c.answer <- answer{listing: Listing{Revision: era2(7)}}
	require.Equal(t, Listed{Listing{Revision: era2(7)}}, <-f.events)
}

// TestCompacted guards against a follower that misses the changes that the
// source has compacted.
func TestCompacted(t *testing.T) {
	f := newFixture(t)
	f.answerFirstListing(5)
	f.nextCall(f.peer).answer <- answer{err: ErrCompacted}
	c := f.nextCall(f.peer)
	assert.True(t, c.list)
	c.answer <- answer{listing: Listing{Revision: rev(90)}}
	assert.Equal(t, Listed{Listing{Revision: rev(90)}}, <-f.events)
}

// TestFirstListing guards against a start that waits for seeds that are still
// down, or for a store that is down or unresponsive. The balancer serves nothing
// until it has a listing.
func TestFirstListing(t *testing.T) {
	stale := Listing{Revision: rev(3), Age: time.Minute}
	tests := map[string]struct {
		fail  func(f *fixture)
		limit time.Duration // Maximum time until a seed is called, with the clock steps of the fixture.
	}{
		"store is down":         {func(f *fixture) { f.nextCall(f.store).answer <- answer{err: errors.New("down")} }, 100 * time.Millisecond},
		"store is unresponsive": {func(f *fixture) { f.nextCall(f.store) }, 500 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			tt.fail(f)
			failed := f.clock.Now()
			c := f.nextCall(f.peer)
			assert.True(t, c.list)
			assert.LessOrEqual(t, f.clock.Since(failed), tt.limit)
			c.answer <- answer{listing: stale}
			assert.Equal(t, Listed{stale}, <-f.events, "a stale state is better than none")
			assert.Equal(t, rev(3), f.nextCall(f.peer).after)
		})
	}
	t.Run("seeds are unresponsive", func(t *testing.T) {
		f := newFixture(t)
		f.nextCall(f.store).answer <- answer{err: errors.New("down")}
		f.nextCall(f.peer)
		f.answerFirstListing(5)
		assert.Equal(t, rev(5), f.nextCall(f.peer).after)
	})
}

// TestStaleFirstListing guards against removed upstreams that are used again
// after a restart, because the first listing came from a balancer that has had no
// contact to the store for a long time. All other sources are called at once.
func TestStaleFirstListing(t *testing.T) {
	f := newFixtureWith(t, time.Second)
	f.nextCall(f.store).answer <- answer{err: errors.New("down")}
	f.nextCall(f.peer).answer <- answer{listing: Listing{Revision: rev(3), Age: time.Minute}}
	<-f.events
	listedAt := f.clock.Now()
	c := f.nextCall(f.store)
	assert.LessOrEqual(t, f.clock.Since(listedAt), 500*time.Millisecond)
	c.answer <- answer{listing: Listing{Revision: rev(9)}}
	assert.Equal(t, Changed{Listing{Revision: rev(9)}}, <-f.events)
}

// TestFirstListingInParts guards against listings that are requested from other
// balancers while the store still sends its parts, which happens when a large
// fleet starts at the same moment.
func TestFirstListingInParts(t *testing.T) {
	f := newFixture(t)
	c := f.nextCall(f.store)
	for range 20 {
		require.NoError(t, f.clock.BlockUntilContext(f.ctx, 1))
		f.clock.Advance(100 * time.Millisecond)
		c.part()
		select {
		case <-f.peer.calls:
			require.Fail(t, "called while parts arrive")
		case <-time.After(5 * time.Millisecond):
		}
	}
	started := f.clock.Now()
	assert.True(t, f.nextCall(f.peer).list, "no part has arrived for some time")
	assert.LessOrEqual(t, f.clock.Since(started), 500*time.Millisecond)
}

// TestFirstListingAsksInTurn guards against listings from several balancers at
// once, of which only one is used.
func TestFirstListingAsksInTurn(t *testing.T) {
	var stores []*fakeStore
	var sources []Source
	for range 3 {
		s := newFakeStore()
		stores = append(stores, s)
		sources = append(sources, Source{Name: "peer", Store: s})
	}
	f := newFixture(t)
	f.nextCall(f.store)
	f.follower.SetSources(append(sources, Source{Name: "store", Store: newFakeStore(), Direct: true}))
	f.nextCall(stores[0])
	select {
	case <-stores[1].calls:
		require.Fail(t, "called at the same time")
	case <-time.After(20 * time.Millisecond):
	}
	started := f.clock.Now()
	f.nextCall(stores[1])
	assert.LessOrEqual(t, f.clock.Since(started), 500*time.Millisecond)
	f.nextCall(stores[2])
}

// TestFirstListingRetries guards against a start that calls the store only a long
// time after its recovery.
func TestFirstListingRetries(t *testing.T) {
	f := newFixture(t)
	for range 10 {
		started := f.clock.Now()
		f.nextCall(f.store).answer <- answer{err: errors.New("down")}
		assert.LessOrEqual(t, f.clock.Since(started), 500*time.Millisecond)
	}
	f.answerFirstListing(5)
}

// TestSetSourcesAtStart guards against new seeds that are not used as long as the
// first ones do not answer.
func TestSetSourcesAtStart(t *testing.T) {
	f := newFixture(t)
	f.nextCall(f.store)
	other := newFakeStore()
	f.follower.SetSources([]Source{{Name: "other", Store: other}, {Name: "store", Store: newFakeStore(), Direct: true}})
	c := f.nextCall(other)
	assert.True(t, c.list)
	c.answer <- answer{listing: Listing{Revision: rev(7)}}
	assert.Equal(t, Listed{Listing{Revision: rev(7)}}, <-f.events)
}

// TestSetSources guards against new seeds that are not used.
func TestSetSources(t *testing.T) {
	f := newFixture(t)
	f.answerFirstListing(5)
	other := newFakeStore()
	c := f.nextCall(f.peer) // The call in progress continues.
	f.follower.SetSources([]Source{{Name: "other", Store: other}, {Name: "store", Store: f.store, Direct: true}})
	c.answer <- answer{listing: Listing{Revision: rev(6)}}
	assert.Equal(t, rev(6), f.nextCall(other).after)
}

// TestRedirect guards against a follower that does not follow a redirect, stays
// with a target that fails, or loses changes when it switches sources.
func TestRedirect(t *testing.T) {
	f := newFixture(t)
	f.answerFirstListing(5)
	f.nextCall(f.peer).answer <- answer{err: &Redirect{Others: []netip.AddrPort{firstTarget, secondTarget}}}
	first, second := f.targets[firstTarget], f.targets[secondTarget]
	f.nextCall(first).answer <- answer{listing: Listing{Revision: rev(5)}}
	<-f.events
	assert.Equal(t, 1, f.peer.disconnects(), "the connection to the redirecting source is closed")
	for number := int64(5); number < 8; number++ {
		c := f.nextCall(first)
		assert.Equal(t, rev(number), c.after)
		c.answer <- answer{listing: Listing{Revision: rev(number + 1)}}
		<-f.events
	}
	f.nextCall(first).answer <- answer{listing: Listing{Revision: rev(8), Age: 3 * time.Second}}
	c := f.nextCall(second)
	assert.Equal(t, rev(8), c.after, "the state of the first target is stale")
	assert.Equal(t, 1, first.disconnects(), "its connection is closed")
	c.answer <- answer{err: errors.New("refused")}
	c = f.nextCall(f.store)
	assert.Equal(t, rev(8), c.after, "all targets have failed, so the redirecting source counts as failed")
	c.answer <- answer{listing: Listing{Revision: rev(9)}}
	assert.Equal(t, rev(9), f.nextCall(f.peer).after, "it returns to the own sources")
}

// TestRedirectsAreBounded guards against a follower that is redirected from one
// balancer to the next without end.
func TestRedirectsAreBounded(t *testing.T) {
	f := newFixture(t)
	f.answerFirstListing(5)
	for at, n := f.peer, 0; ; n++ {
		require.Less(t, n, 20)
		select {
		case c := <-f.store.calls:
			assert.Equal(t, rev(5), c.after)
			return
		case c := <-at.calls:
			c.answer <- answer{err: &Redirect{Others: []netip.AddrPort{firstTarget}}}
			at = f.targets[firstTarget]
		case <-f.ctx.Done():
			require.Fail(t, "no call")
		}
	}
}

// TestCycle guards against balancers that follow each other and treat each
// other's state as recent: a seed loses contact to the store, calls another seed,
// and is redirected to its own followers.
func TestCycle(t *testing.T) {
	f := newFixture(t)
	f.answerFirstListing(5)
	intermediate := netip.MustParseAddrPort("192.0.2.9:6082")
	f.nextCall(f.peer).answer <- answer{listing: Listing{Revision: rev(5), Path: []netip.AddrPort{intermediate, self, firstTarget}}}
	f.nextCall(f.store).answer <- answer{listing: Listing{Revision: rev(6)}}
	<-f.events
	assert.Empty(t, f.follower.Path(), "the source is the store")
	path := []netip.AddrPort{intermediate, firstTarget}
	f.nextCall(f.peer).answer <- answer{listing: Listing{Revision: rev(7), Path: path}}
	<-f.events
	f.nextCall(f.peer)
	assert.Equal(t, path, f.follower.Path())
}

// TestStoreFallbackAge guards against all followers of a seed calling the store
// at the moment when the seed fails, such as at its planned stop in a large fleet.
func TestStoreFallbackAge(t *testing.T) {
	const storeAge = 4500 * time.Millisecond
	f := newFixtureWith(t, storeAge)
	f.answerFirstListing(5)
	f.nextCall(f.peer).answer <- answer{listing: Listing{Revision: rev(6)}}
	<-f.events
	confirmed := f.clock.Now()
	peers := 0
	for {
		select {
		case c := <-f.peer.calls:
			peers++
			c.answer <- answer{err: errors.New("refused")}
			continue
		case c := <-f.store.calls:
			assert.GreaterOrEqual(t, f.clock.Since(confirmed), storeAge)
			assert.Zero(t, c.wait, "the call requests an immediate answer")
			assert.GreaterOrEqual(t, peers, 4, "the peer is retried in the meantime")
			return
		case <-f.ctx.Done():
			require.Fail(t, "no call")
		case <-time.After(5 * time.Millisecond):
			f.clock.Advance(50 * time.Millisecond)
		}
	}
}
