package bvfollower

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"time"

	"balsamvane/core/bvcatalog"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// call is one call that a fake store got; its answer is sent to it.
type call struct {
	list   bool
	part   func() // Reports a part of a listing.
	after  bvcatalog.Revision
	age    time.Duration
	wait   time.Duration
	answer chan<- answer
}

type answer struct {
	listing Listing
	err     error
}

// fakeStore hands its calls to the test.
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

func (s *fakeStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.disconnected
}

var (
	firstNamed  = netip.MustParseAddrPort("192.0.2.1:6082")
	secondNamed = netip.MustParseAddrPort("192.0.2.2:6082")
	self        = netip.MustParseAddrPort("192.0.2.3:6082")
)

// fixture runs a follower of a peer and the store.
type fixture struct {
	t        *testing.T
	clock    *clockwork.FakeClock
	peer     *fakeStore
	store    *fakeStore
	named    map[netip.AddrPort]*fakeStore // Balancers that a source may name.
	follower *Follower
	events   chan Event
	ctx      context.Context
}

// newFixture returns a running follower that asks the store as soon as the peer
// has failed.
func newFixture(t *testing.T) *fixture { return newFixtureWith(t, atAnyAge) }

// atAnyAge is below the age of any state.
const atAnyAge = -time.Nanosecond

func newFixtureWith(t *testing.T, storeAge time.Duration) *fixture {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	f := &fixture{
		t: t, clock: clockwork.NewFakeClock(), peer: newFakeStore(), store: newFakeStore(),
		events: make(chan Event, 100), ctx: ctx, named: map[netip.AddrPort]*fakeStore{},
	}
	for _, a := range []netip.AddrPort{firstNamed, secondNamed} {
		f.named[a] = newFakeStore()
	}
	f.follower = New([]Source{{Name: "peer", Store: f.peer}, {Name: "store", Store: f.store, Direct: true}},
		f.clock, zap.NewNop(), Options{StoreFallbackAge: storeAge, Self: self, Peer: func(a netip.AddrPort) Source { return Source{Name: a.String(), Store: f.named[a]} }})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.follower.Run(ctx, func(e Event) { f.events <- e })
	}()
	t.Cleanup(func() { cancel(); <-done })
	return f
}

// next returns the next call to s, letting time pass until there is one.
func (f *fixture) next(s *fakeStore) call {
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

func (f *fixture) listed(revision bvcatalog.Revision) {
	c := f.next(f.store)
	require.True(f.t, c.list)
	c.answer <- answer{listing: Listing{Revision: revision}}
	require.Equal(f.t, Listed{Listing{Revision: revision}}, <-f.events)
}

// TestFollows guards against changes that are lost or asked for twice.
func TestFollows(t *testing.T) {
	f := newFixture(t)
	f.listed(5)
	changes := []bvcatalog.Change{bvcatalog.ZoneOutOfService{Zone: "zone-a"}}
	c := f.next(f.peer)
	assert.EqualValues(t, 5, c.after)
	c.answer <- answer{listing: Listing{Revision: 8, Changes: changes}}
	assert.Equal(t, Changed{Listing{Revision: 8, Changes: changes}}, <-f.events)
	c = f.next(f.peer)
	assert.EqualValues(t, 8, c.after)
	assert.GreaterOrEqual(t, c.age, 300*time.Millisecond, "the age of the last answer after the pause")
	assert.Less(t, c.wait, defaultWait, "pause and wait together are as long as a wait")
	c.answer <- answer{listing: Listing{Revision: 7}}
	<-f.events
	assert.EqualValues(t, 8, f.next(f.peer).after, "a lagging source does not set the follower back")
}

// TestTurnsAway guards against a follower that stays with a source that fails,
// has lost the store, or has gone silent on an open connection.
func TestTurnsAway(t *testing.T) {
	tests := map[string]func(c call){
		"refuses":            func(c call) { c.answer <- answer{err: errors.New("refused")} },
		"has lost the store": func(c call) { c.answer <- answer{listing: Listing{Revision: 5, Age: 3 * time.Second}} },
		"is silent":          func(call) {},
	}
	for name, fail := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.listed(5)
			fail(f.next(f.peer))
			c := f.next(f.store)
			assert.False(t, c.list, "it goes on from the revision that it has")
			assert.EqualValues(t, 5, c.after)
			c.answer <- answer{listing: Listing{Revision: 6}}
			c = f.next(f.peer)
			assert.Equal(t, 1, f.peer.count(), "a silent connection is given up")
			assert.Zero(t, c.wait, "a source that failed is asked for a quick answer")
			assert.EqualValues(t, 6, c.after)
		})
	}
}

// TestCompacted guards against a follower that misses the changes that the
// source has forgotten.
func TestCompacted(t *testing.T) {
	f := newFixture(t)
	f.listed(5)
	f.next(f.peer).answer <- answer{err: ErrCompacted}
	c := f.next(f.peer)
	assert.True(t, c.list)
	c.answer <- answer{listing: Listing{Revision: 90}}
	assert.Equal(t, Listed{Listing{Revision: 90}}, <-f.events)
}

// TestFirstListing guards against a start that waits for seeds which are still
// down, and against one that waits for a store which is down or silent. Nothing
// is served meanwhile.
func TestFirstListing(t *testing.T) {
	old := Listing{Revision: 3, Age: time.Minute}
	tests := map[string]struct {
		fail func(f *fixture)
		most time.Duration // Until a seed is asked, with the steps of the fixture.
	}{
		"store is down":   {func(f *fixture) { f.next(f.store).answer <- answer{err: errors.New("down")} }, 100 * time.Millisecond},
		"store is silent": {func(f *fixture) { f.next(f.store) }, 500 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			tt.fail(f)
			failed := f.clock.Now()
			c := f.next(f.peer)
			assert.True(t, c.list)
			assert.LessOrEqual(t, f.clock.Since(failed), tt.most)
			c.answer <- answer{listing: old}
			assert.Equal(t, Listed{old}, <-f.events, "an old state is better than none")
			assert.EqualValues(t, 3, f.next(f.peer).after)
		})
	}
	t.Run("seeds are silent", func(t *testing.T) {
		f := newFixture(t)
		f.next(f.store).answer <- answer{err: errors.New("down")}
		f.next(f.peer)
		f.listed(5)
		assert.EqualValues(t, 5, f.next(f.peer).after)
	})
}

// TestOldFirstListing guards against upstreams that have left and are in use
// again after a restart: pattern of a balancer whose first listing comes from one
// that has long lost the store. All other sources are asked at once.
func TestOldFirstListing(t *testing.T) {
	f := newFixtureWith(t, time.Second)
	f.next(f.store).answer <- answer{err: errors.New("down")}
	f.next(f.peer).answer <- answer{listing: Listing{Revision: 3, Age: time.Minute}}
	<-f.events
	began := f.clock.Now()
	c := f.next(f.store)
	assert.LessOrEqual(t, f.clock.Since(began), 500*time.Millisecond)
	c.answer <- answer{listing: Listing{Revision: 9}}
	assert.Equal(t, Changed{Listing{Revision: 9}}, <-f.events)
}

// TestFirstListingInParts guards against whole listings that are asked from
// other balancers while the store sends its own, part by part: pattern of a
// large fleet that starts at the same moment.
func TestFirstListingInParts(t *testing.T) {
	f := newFixture(t)
	c := f.next(f.store)
	for range 20 {
		require.NoError(t, f.clock.BlockUntilContext(f.ctx, 1))
		f.clock.Advance(100 * time.Millisecond)
		c.part()
		select {
		case <-f.peer.calls:
			require.Fail(t, "asked")
		case <-time.After(5 * time.Millisecond):
		}
	}
	started := f.clock.Now()
	assert.True(t, f.next(f.peer).list, "no part came for some time")
	assert.LessOrEqual(t, f.clock.Since(started), 500*time.Millisecond)
}

// TestFirstListingOneAfterTheOther guards against listings from several
// balancers at once, of which one is used.
func TestFirstListingOneAfterTheOther(t *testing.T) {
	var stores []*fakeStore
	var sources []Source
	for range 3 {
		s := newFakeStore()
		stores = append(stores, s)
		sources = append(sources, Source{Name: "peer", Store: s})
	}
	f := newFixture(t)
	f.next(f.store)
	f.follower.SetSources(append(sources, Source{Name: "store", Store: newFakeStore(), Direct: true}))
	f.next(stores[0])
	select {
	case <-stores[1].calls:
		require.Fail(t, "asked at the same time")
	case <-time.After(20 * time.Millisecond):
	}
	started := f.clock.Now()
	f.next(stores[1])
	assert.LessOrEqual(t, f.clock.Since(started), 500*time.Millisecond)
	f.next(stores[2])
}

// TestFirstListingRetries guards against a start that finds the store a long
// time after that is back.
func TestFirstListingRetries(t *testing.T) {
	f := newFixture(t)
	for range 10 {
		started := f.clock.Now()
		f.next(f.store).answer <- answer{err: errors.New("down")}
		assert.LessOrEqual(t, f.clock.Since(started), 500*time.Millisecond)
	}
	f.listed(5)
}

// TestSetSourcesAtStart guards against seeds of changed settings that are not
// used while the first ones do not answer.
func TestSetSourcesAtStart(t *testing.T) {
	f := newFixture(t)
	f.next(f.store)
	other := newFakeStore()
	f.follower.SetSources([]Source{{Name: "other", Store: other}, {Name: "store", Store: newFakeStore(), Direct: true}})
	c := f.next(other)
	assert.True(t, c.list)
	c.answer <- answer{listing: Listing{Revision: 7}}
	assert.Equal(t, Listed{Listing{Revision: 7}}, <-f.events)
}

// TestSetSources guards against seeds of changed settings that are not used.
func TestSetSources(t *testing.T) {
	f := newFixture(t)
	f.listed(5)
	other := newFakeStore()
	c := f.next(f.peer) // The call in progress goes on.
	f.follower.SetSources([]Source{{Name: "other", Store: other}, {Name: "store", Store: f.store, Direct: true}})
	c.answer <- answer{listing: Listing{Revision: 6}}
	assert.EqualValues(t, 6, f.next(other).after)
}

// TestRedirect guards against a follower that does not follow the balancers
// that its source names, stays with one that fails, or loses changes on the
// way.
func TestRedirect(t *testing.T) {
	f := newFixture(t)
	f.listed(5)
	f.next(f.peer).answer <- answer{err: &Redirect{Others: []netip.AddrPort{firstNamed, secondNamed}}}
	first, second := f.named[firstNamed], f.named[secondNamed]
	f.next(first).answer <- answer{listing: Listing{Revision: 5}}
	<-f.events
	assert.Equal(t, 1, f.peer.count(), "the connection to the source that named them is not kept")
	for revision := bvcatalog.Revision(5); revision < 8; revision++ {
		c := f.next(first)
		assert.Equal(t, revision, c.after)
		c.answer <- answer{listing: Listing{Revision: revision + 1}}
		<-f.events
	}
	f.next(first).answer <- answer{listing: Listing{Revision: 8, Age: 3 * time.Second}}
	c := f.next(second)
	assert.EqualValues(t, 8, c.after, "the first one has lost the store")
	assert.Equal(t, 1, first.count(), "its connection is given up")
	c.answer <- answer{err: errors.New("refused")}
	c = f.next(f.store)
	assert.EqualValues(t, 8, c.after, "all that were named have failed, and so counts the source that named them")
	c.answer <- answer{listing: Listing{Revision: 9}}
	assert.EqualValues(t, 9, f.next(f.peer).after, "back at the own sources")
}

// TestRedirectsEnd guards against a follower that is sent from one balancer to
// the next for ever.
func TestRedirectsEnd(t *testing.T) {
	f := newFixture(t)
	f.listed(5)
	for at, n := f.peer, 0; ; n++ {
		require.Less(t, n, 20)
		select {
		case c := <-f.store.calls:
			assert.EqualValues(t, 5, c.after)
			return
		case c := <-at.calls:
			c.answer <- answer{err: &Redirect{Others: []netip.AddrPort{firstNamed}}}
			at = f.named[firstNamed]
		case <-f.ctx.Done():
			require.Fail(t, "no call")
		}
	}
}

// TestCycle guards against balancers that follow each other and take each
// other's state for recent: pattern of a seed that lost the store, asked
// another one, and was sent to balancers that follow it.
func TestCycle(t *testing.T) {
	f := newFixture(t)
	f.listed(5)
	far := netip.MustParseAddrPort("192.0.2.9:6082")
	f.next(f.peer).answer <- answer{listing: Listing{Revision: 5, Path: []netip.AddrPort{far, self, firstNamed}}}
	f.next(f.store).answer <- answer{listing: Listing{Revision: 6}}
	<-f.events
	assert.Empty(t, f.follower.Path(), "the store")
	path := []netip.AddrPort{far, firstNamed}
	f.next(f.peer).answer <- answer{listing: Listing{Revision: 7, Path: path}}
	<-f.events
	f.next(f.peer)
	assert.Equal(t, path, f.follower.Path())
}

// TestStoreAge guards against a store that all followers of a seed ask at the
// moment when that fails: pattern of the planned stop of a seed in a large
// fleet.
func TestStoreAge(t *testing.T) {
	const storeAge = 4500 * time.Millisecond
	f := newFixtureWith(t, storeAge)
	f.listed(5)
	f.next(f.peer).answer <- answer{listing: Listing{Revision: 6}}
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
			assert.Zero(t, c.wait, "the answer must not wait")
			assert.GreaterOrEqual(t, peers, 4, "the peer is asked again meanwhile")
			return
		case <-f.ctx.Done():
			require.Fail(t, "no call")
		case <-time.After(5 * time.Millisecond):
			f.clock.Advance(50 * time.Millisecond)
		}
	}
}
