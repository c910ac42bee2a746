package bvcatalog

import (
	"net/netip"
	"testing"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvrevision"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func upstream(id bvconfig.UpstreamID) Upstream {
	return Upstream{
		ID: id, Address: netip.MustParseAddrPort("192.0.2.1:8080"), Service: "tickets", Zone: "zone-a", Slots: 4,
	}
}

// rev returns a revision of era 1.
func rev(number int64) bvrevision.Revision { return bvrevision.Revision{Era: 1, Number: number} }

func put(number int64, id bvconfig.UpstreamID) UpstreamPut {
	return UpstreamPut{Revision: rev(number), Upstream: upstream(id)}
}

func configuration(version uint64, ports ...uint16) Configuration {
	d := Configuration{Version: version, Services: []ServiceLimits{{Name: "tickets"}}}
	for _, p := range ports {
		d.Routes = append(d.Routes, Route{
			Address:  netip.AddrPortFrom(netip.MustParseAddr("198.51.100.1"), p),
			Backends: []Backend{{Service: "tickets", Weight: 1}},
		})
	}
	return d
}

// newListed returns a catalog with a configuration and two upstreams.
func newListed(o Options) *Catalog {
	c := New(o)
	c.Replace(start, 0, rev(10), []Change{configuration(3, 80), put(4, 1), put(5, 2)})
	return c
}

func ids(c *Catalog) []bvconfig.UpstreamID {
	var out []bvconfig.UpstreamID
	if s := c.Service("tickets"); s != nil {
		for _, e := range s.Entries {
			out = append(out, e.ID)
		}
	}
	return out
}

// TestVersionNeverReverts guards against a return to an older configuration when a
// lagging source answers.
func TestVersionNeverReverts(t *testing.T) {
	c := newListed(Options{})
	c.Apply(at(time.Second), 0, rev(11), []Change{configuration(7, 80, 81)})
	c.Apply(at(2*time.Second), 0, rev(12), []Change{configuration(5, 80)})
	assert.EqualValues(t, 7, c.Version())
	assert.Equal(t, 2, c.NumRoutes())
	c.Replace(at(3*time.Second), 0, rev(9), []Change{configuration(3, 80), put(4, 1)})
	assert.EqualValues(t, 7, c.Version())
	assert.Len(t, ids(c), 2, "a listing older than the catalog removes nothing")

	faulty := New(Options{acceptOlder: true})
	faulty.Replace(start, 0, rev(1), []Change{configuration(7, 80, 81)})
	faulty.Apply(start, 0, rev(2), []Change{configuration(5, 80)})
	assert.EqualValues(t, 5, faulty.Version(), "the check detects a missing safeguard")
}

// TestRemoval guards against upstreams that stay in use after their removal, and
// against the loss of all upstreams when their entries expire while the platform's
// store is down.
func TestRemoval(t *testing.T) {
	removal := []Change{UpstreamRemoved{Revision: rev(12), ID: 2}}
	tests := []struct {
		name     string
		options  Options
		interval time.Duration // Time between the listing and the removal.
		returns  bool          // The entry is written again a second later.
		atOnce   int           // Upstreams right after the removal.
		later    int           // Upstreams three seconds after the removal.
	}{
		{name: "store answers all the time", interval: 1500 * time.Millisecond, atOnce: 1, later: 1},
		{name: "after an outage, upstream is alive", interval: 5 * time.Second, returns: true, atOnce: 2, later: 2},
		{name: "after an outage, upstream is dead", interval: 5 * time.Second, atOnce: 2, later: 1},
		{name: "without the grace period", options: Options{noGracePeriod: true}, interval: 5 * time.Second, atOnce: 1, later: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for name, remove := range map[string]func(*Catalog, time.Time){
				"by a change":  func(c *Catalog, now time.Time) { c.Apply(now, 0, rev(12), removal) },
				"by a listing": func(c *Catalog, now time.Time) { c.Replace(now, 0, rev(12), []Change{configuration(3, 80), put(4, 1)}) },
			} {
				t.Run(name, func(t *testing.T) {
					c := newListed(tt.options)
					now := at(tt.interval)
					remove(c, now)
					assert.Len(t, ids(c), tt.atOnce)
					if tt.returns {
						c.Apply(now.Add(time.Second), 0, rev(13), []Change{put(13, 2)})
					}
					c.RecordAnswer(now.Add(2*time.Second), 0)
					c.RecordAnswer(now.Add(3*time.Second), 0)
					c.Tick(now.Add(3 * time.Second))
					assert.Len(t, ids(c), tt.later)
				})
			}
		})
	}
}

// TestDrainingIsRemovedAtOnce guards against new flows for an upstream that has
// drained and was removed during an outage. Its entry cannot have expired.
func TestDrainingIsRemovedAtOnce(t *testing.T) {
	c := newListed(Options{})
	u := upstream(2)
	u.Draining = true
	c.Apply(at(time.Second), 0, rev(11), []Change{UpstreamPut{Revision: rev(11), Upstream: u}})
	c.Apply(at(9*time.Second), 0, rev(12), []Change{UpstreamRemoved{Revision: rev(12), ID: 2}})
	assert.Equal(t, []bvconfig.UpstreamID{1}, ids(c))
}

// TestOldChanges guards against entries that return to an earlier state when
// sources repeat changes.
func TestOldChanges(t *testing.T) {
	c := newListed(Options{})
	c.Apply(at(time.Second), 0, rev(12), []Change{UpstreamRemoved{Revision: rev(12), ID: 2}})
	c.Apply(at(time.Second), 0, rev(12), []Change{put(5, 2)})
	assert.Equal(t, []bvconfig.UpstreamID{1}, ids(c), "an entry from before the removal")
	c.Apply(at(time.Second), 0, rev(14), []Change{put(14, 2)})
	c.Apply(at(time.Second), 0, rev(14), []Change{UpstreamRemoved{Revision: rev(12), ID: 2}})
	assert.Len(t, ids(c), 2, "a removal from before the entry")
}

// TestUnreadableEntry guards against the use of an entry that another writer has
// corrupted, and against the loss of its upstream's flows.
func TestUnreadableEntry(t *testing.T) {
	c := newListed(Options{})
	c.Apply(at(time.Second), 0, rev(11), []Change{
		UpstreamUnreadable{Revision: rev(11), ID: 2, Problem: "state is not known"},
		UpstreamUnreadable{Revision: rev(11), ID: 9, Problem: "state is not known"},
	})
	e := c.ByToken(TokenOf(2))
	require.NotNil(t, e)
	assert.False(t, e.AcceptsFlows())
	assert.False(t, e.Removed())
	require.NotNil(t, c.ByToken(TokenOf(9)), "its upstream may be alive")
	assert.False(t, c.ByToken(TokenOf(9)).AcceptsFlows())
	assert.Len(t, ids(c), 2)
	c.Apply(at(2*time.Second), 0, rev(12), []Change{put(12, 2)})
	assert.True(t, c.ByToken(TokenOf(2)).AcceptsFlows())
}

// TestUnreadableEntryOfPeer guards against a follower that takes an unreadable entry for
// a removed one because the balancer that it lists does not mention it: it would reset
// the flows of the upstream, which may only have been overwritten by another writer.
func TestUnreadableEntryOfPeer(t *testing.T) {
	draining := Upstream{ID: 2, Address: netip.MustParseAddrPort("192.0.2.2:80"), Service: "desk", Zone: "zone-a", Slots: 4, Draining: true}
	peer, store := newListed(Options{}), newListed(Options{})
	for _, c := range []*Catalog{peer, store} {
		c.Apply(at(time.Second), 0, rev(11), []Change{UpstreamPut{Revision: rev(11), Upstream: draining}})
	}
	peer.Apply(at(2*time.Second), 0, rev(12), []Change{NewUnreadable(rev(12), 2, "state is not known")})
	for name, c := range map[string]*Catalog{"has read it before": store, "starts": New(Options{})} {
		c.Replace(at(3*time.Second), 0, peer.Revision(), peer.All(at(3*time.Second)))
		e := c.ByToken(TokenOf(2))
		require.NotNil(t, e, name)
		assert.False(t, e.Removed(), name)
		assert.False(t, e.AcceptsFlows(), name)
		assert.Equal(t, peer.All(at(3*time.Second)), c.All(at(3*time.Second)), name)
	}
	assert.Equal(t, draining.Address, store.ByToken(TokenOf(2)).Address, "its flows go on")
}

// TestTokenCollision guards against flows that reach the wrong one of two upstreams
// with the same token. All balancers must assign the token to the same upstream.
func TestTokenCollision(t *testing.T) {
	const low, high = bvconfig.UpstreamID(7), bvconfig.UpstreamID(6<<32 | 1)
	require.Equal(t, TokenOf(low), TokenOf(high))
	for _, order := range [][]bvconfig.UpstreamID{{low, high}, {high, low}} {
		c := New(Options{})
		c.Replace(start, 0, rev(1), []Change{configuration(1, 80), put(1, order[0])})
		c.Apply(start, 0, rev(2), []Change{put(2, order[1])})
		e := c.ByToken(TokenOf(low))
		assert.Equal(t, low, e.ID)
		assert.True(t, e.AcceptsFlows())
		for _, e := range c.Service("tickets").Entries {
			assert.Equal(t, e.ID == low, e.AcceptsFlows())
		}
		c.Apply(at(time.Second), 0, rev(3), []Change{UpstreamRemoved{Revision: rev(3), ID: low}})
		assert.Equal(t, high, c.ByToken(TokenOf(high)).ID, "the other owns it once the first is removed")
	}
	assert.NotZero(t, TokenOf(0))
}

// TestRemovedIsRetained guards against discarding a removed upstream at once. Its
// flows have ended, which a balancer must distinguish from an upstream whose entry it
// has not received.
func TestRemovedIsRetained(t *testing.T) {
	c := newListed(Options{})
	c.Apply(at(time.Second), 0, rev(12), []Change{UpstreamRemoved{Revision: rev(12), ID: 2}})
	require.NotNil(t, c.ByToken(TokenOf(2)))
	assert.True(t, c.ByToken(TokenOf(2)).Removed())
	c.Tick(at(2 * time.Minute))
	assert.Nil(t, c.ByToken(TokenOf(2)))
}

// TestAge guards against an age that counts from a peer's answer instead of the
// store's.
func TestAge(t *testing.T) {
	c := newListed(Options{})
	c.RecordAnswer(at(3*time.Second), time.Second)
	assert.Equal(t, time.Second, c.Age(at(3*time.Second)))
	c.RecordAnswer(at(4*time.Second), 3*time.Second)
	assert.Equal(t, 2*time.Second, c.Age(at(4*time.Second)), "an older answer changes nothing")
}

// TestConfirmed guards against treating an upstream as removed when only its entry
// is missing, right after a start or an outage.
func TestConfirmed(t *testing.T) {
	c := newListed(Options{})
	answer := func(after time.Duration) {
		c.RecordAnswer(at(after), 0)
		c.RecordWatermark(c.Revision(), at(after))
	}
	answer(2 * time.Second)
	assert.False(t, c.Confirmed(at(time.Second)), "right after the start")
	answer(3 * time.Second)
	assert.True(t, c.Confirmed(at(time.Second)))
	assert.False(t, c.Confirmed(at(3*time.Second)))
	answer(10 * time.Second)
	assert.False(t, c.Confirmed(at(time.Second)), "right after an outage")
	answer(12 * time.Second)
	answer(13 * time.Second)
	assert.True(t, c.Confirmed(at(time.Second)))
}

// TestRecordWatermark guards against a watermark before which changes may be missing.
func TestRecordWatermark(t *testing.T) {
	c := newListed(Options{})
	for s := range 6 {
		c.RecordAnswer(at(time.Duration(s)*time.Second), 0)
	}
	require.Zero(t, c.Watermark(), "an answer may have been delayed")
	c.RecordWatermark(c.Revision(), time.Time{})
	require.Zero(t, c.Watermark(), "the source knows no time")
	later := c.Revision()
	later.Number++
	c.RecordWatermark(later, at(5*time.Second))
	require.Zero(t, c.Watermark(), "a state that was not applied")
	later.Era++
	c.RecordWatermark(later, at(5*time.Second))
	require.Zero(t, c.Watermark(), "a state of another era")
	c.RecordWatermark(c.Revision(), at(4*time.Second))
	require.Equal(t, at(4*time.Second), c.Watermark())
	c.RecordWatermark(c.Revision(), at(3*time.Second))
	require.Equal(t, at(4*time.Second), c.Watermark(), "an earlier call")
	assert.False(t, c.Confirmed(at(4*time.Second)))
	assert.True(t, c.Confirmed(at(3900*time.Millisecond)))
}

// TestZones guards against a zone that stays out of service or returns to service
// too early.
func TestZones(t *testing.T) {
	c := newListed(Options{})
	c.Apply(start, 0, rev(11), []Change{ZoneOutOfService{"zone-a"}, ZoneOutOfService{"zone-b"}})
	assert.Equal(t, []string{"zone-a", "zone-b"}, c.ZonesOutOfService())
	c.Apply(start, 0, rev(12), []Change{ZoneBackInService{"zone-a"}})
	assert.False(t, c.ZoneOutOfService("zone-a"))
	c.Replace(start, 0, rev(13), []Change{configuration(3, 80), ZoneOutOfService{"zone-c"}})
	assert.Equal(t, []string{"zone-c"}, c.ZonesOutOfService())
}

// TestZoneInOlderListing guards against a zone that stays out of service since a
// balancer which lags behind has listed it: it is back in service, and no change will
// say so again.
func TestZoneInOlderListing(t *testing.T) {
	c := newListed(Options{})
	c.Apply(at(time.Second), 0, rev(11), []Change{ZoneOutOfService{"zone-a"}})
	c.Apply(at(2*time.Second), 0, rev(12), []Change{ZoneBackInService{"zone-a"}})
	c.Replace(at(3*time.Second), 0, rev(11), []Change{configuration(3, 80), put(4, 1), put(5, 2), ZoneOutOfService{"zone-a"}})
	assert.Empty(t, c.ZonesOutOfService())
}

// TestCold guards against a cold period that restarts whenever a listing repeats an
// entry.
func TestCold(t *testing.T) {
	c := New(Options{})
	u := upstream(1)
	u.ColdFor = 2 * time.Second
	entry := []Change{configuration(1, 80), UpstreamPut{Revision: rev(2), Upstream: u}}
	c.Replace(start, 0, rev(2), entry)
	c.Replace(at(1500*time.Millisecond), 0, rev(3), entry)
	assert.True(t, c.ByToken(TokenOf(1)).Cold(at(time.Second)))
	assert.False(t, c.ByToken(TokenOf(1)).Cold(at(2*time.Second)))
}

// TestFollowing guards against a follower whose state differs from that of the
// balancer that it follows, after a listing and after later changes.
func TestFollowing(t *testing.T) {
	c := newListed(Options{})
	follower := New(Options{})
	follower.Replace(start, 0, c.Revision(), c.All(start))
	steps := [][]Change{
		{put(11, 3), ZoneOutOfService{"zone-b"}},
		{UpstreamRemoved{Revision: rev(12), ID: 1}, configuration(9, 80, 81)},
		{UpstreamUnreadable{Revision: rev(13), ID: 3}, ZoneBackInService{"zone-b"}, ZoneOutOfService{"zone-c"}},
	}
	for i, cs := range steps {
		c.Apply(start, 0, rev(int64(11+i)), cs)
		if i == 0 {
			continue // The follower misses an answer.
		}
		changes, ok := c.Since(follower.Revision())
		require.True(t, ok)
		follower.Apply(start, 0, c.Revision(), changes)
		assert.Equal(t, c.All(start), follower.All(start))
		assert.Equal(t, c.Revision(), follower.Revision())
	}
	_, ok := c.Since(rev(3))
	assert.False(t, ok, "changes from before the listing are not held")
}

// TestHistoryIsBounded guards against memory that grows with the number of changes.
func TestHistoryIsBounded(t *testing.T) {
	c := newListed(Options{})
	for i := range 2 * maxHistory {
		number := int64(11 + i)
		c.history.append(rev(number), []Change{put(number, 1)})
	}
	assert.LessOrEqual(t, c.history.size, maxHistory)
	_, ok := c.Since(rev(11))
	assert.False(t, ok)
	cs, ok := c.Since(rev(10 + 2*maxHistory - 5))
	assert.True(t, ok)
	assert.Len(t, cs, 5)
}

// TestContactLostInGracePeriod guards against removing upstreams on a balancer that
// cannot have received their new registrations, because its zone was partitioned
// right after an outage of the platform.
func TestContactLostInGracePeriod(t *testing.T) {
	c := newListed(Options{})
	recovery := 6 * time.Second
	c.Apply(at(recovery), 0, rev(20), []Change{UpstreamRemoved{Revision: rev(12), ID: 1}, UpstreamRemoved{Revision: rev(13), ID: 2}})
	c.Apply(at(recovery+time.Second), 0, rev(21), []Change{put(21, 2)})
	c.Tick(at(recovery + 10*time.Second))
	assert.Equal(t, []bvconfig.UpstreamID{1, 2}, ids(c), "the platform has not answered since")
	c.RecordAnswer(at(recovery+11*time.Second), 0)
	c.Tick(at(recovery + 12*time.Second))
	assert.Equal(t, []bvconfig.UpstreamID{1, 2}, ids(c), "the platform may only just have recovered")
	c.RecordAnswer(at(recovery+12500*time.Millisecond), 0)
	c.RecordAnswer(at(recovery+14*time.Second), 0)
	c.Tick(at(recovery + 14*time.Second))
	assert.Equal(t, []bvconfig.UpstreamID{2}, ids(c))
}

// TestKnowsRemoved guards against a balancer that takes an upstream which was removed
// before its start for one that never existed.
func TestKnowsRemoved(t *testing.T) {
	c := New(Options{})
	assert.False(t, c.KnowsRemoved(at(time.Hour)), "without a listing")
	c.Replace(start, 0, rev(10), nil)
	assert.False(t, c.KnowsRemoved(at(59*time.Second)))
	assert.True(t, c.KnowsRemoved(at(time.Minute)))
	c.Replace(at(time.Minute), 0, rev(11), nil)
	assert.True(t, c.KnowsRemoved(at(time.Minute)), "a further listing")
}
