package bvcatalog

import (
	"maps"
	"slices"
	"testing"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvrevision"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// era2 returns a revision after the restore in these tests.
func era2(number int64) bvrevision.Revision { return bvrevision.Revision{Era: 2, Number: number} }

// entry returns an upstream as it is written for the n-th time by the process that
// started at the given second.
func entry(id bvconfig.UpstreamID, second int, n uint64) Upstream {
	u := upstream(id)
	u.StartedAt, u.Sequence = start.Add(time.Duration(second)*time.Second), n
	return u
}

func draining(u Upstream) Upstream {
	u.Draining = true
	return u
}

// TestEntriesAfterRestore guards against upstreams that return to an earlier state, or
// are lost, since the listing after a restore comes from a copy.
func TestEntriesAfterRestore(t *testing.T) {
	type want struct {
		listed  bool // The catalog has the upstream.
		accepts bool // It takes new flows.
		removed bool // Its flows have ended.
	}
	tests := []struct {
		name          string
		before        []Change // In the lost history, up to revision 30.
		copied        []Change
		atOnce, later want // Right after the listing, and after the grace period.
	}{
		{
			name:   "drains, which the copy does not have",
			before: []Change{UpstreamPut{rev(20), draining(entry(7, 0, 4))}},
			copied: []Change{UpstreamPut{era2(3), entry(7, 0, 1)}},
			atOnce: want{listed: true}, later: want{listed: true},
		},
		{
			name:   "has drained and left, which the copy does not have",
			before: []Change{UpstreamPut{rev(20), draining(entry(7, 0, 4))}, UpstreamRemoved{rev(21), 7}},
			copied: []Change{UpstreamPut{era2(3), entry(7, 0, 1)}},
			atOnce: want{removed: true}, later: want{removed: true},
		},
		{
			name:   "has drained and left, and a process of the same ID has started",
			before: []Change{UpstreamPut{rev(20), draining(entry(7, 0, 4))}, UpstreamRemoved{rev(21), 7}},
			copied: []Change{UpstreamPut{era2(3), entry(7, 9, 1)}},
			atOnce: want{listed: true, accepts: true}, later: want{listed: true, accepts: true},
		},
		{
			name:   "expired, and is in the copy",
			before: []Change{UpstreamPut{rev(20), entry(7, 0, 4)}, UpstreamRemoved{rev(21), 7}},
			copied: []Change{UpstreamPut{era2(3), entry(7, 0, 4)}},
			atOnce: want{listed: true, accepts: true}, later: want{listed: true, accepts: true},
		},
		{
			name:   "started in the lost history",
			before: []Change{UpstreamPut{rev(20), entry(7, 0, 1)}},
			atOnce: want{listed: true, accepts: true}, later: want{removed: true},
		},
		{
			name:   "started and drains in the lost history, and still has flows",
			before: []Change{UpstreamPut{rev(20), draining(entry(7, 0, 1))}},
			atOnce: want{listed: true}, later: want{removed: true},
		},
		{
			name:   "has written again",
			before: []Change{UpstreamPut{rev(20), entry(7, 0, 1)}},
			copied: []Change{UpstreamPut{era2(3), draining(entry(7, 0, 5))}},
			atOnce: want{listed: true}, later: want{listed: true},
		},
		{
			name:   "drains, and its start is unknown",
			before: []Change{UpstreamPut{rev(20), draining(upstream(7))}},
			copied: []Change{UpstreamPut{era2(3), upstream(7)}},
			atOnce: want{listed: true, accepts: true}, later: want{listed: true, accepts: true},
		},
		{
			name:   "was unreadable",
			before: []Change{UpstreamUnreadable{Revision: rev(20), ID: 7}},
			copied: []Change{UpstreamPut{era2(3), entry(7, 0, 1)}},
			atOnce: want{listed: true, accepts: true}, later: want{listed: true, accepts: true},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newListed(Options{})
			c.Apply(at(time.Second), 0, rev(30), tt.before)
			c.Replace(at(2*time.Second), 0, era2(9), append([]Change{configuration(3, 80), UpstreamPut{era2(2), entry(1, 0, 1)}}, tt.copied...))
			got := func() (w want) {
				if e := c.ByToken(TokenOf(7)); e != nil {
					w = want{accepts: e.AcceptsFlows(), removed: e.Removed()}
				}
				w.listed = slices.Contains(ids(c), 7)
				return w
			}
			assert.Equal(t, tt.atOnce, got())
			c.RecordAnswer(at(3*time.Second), 0)
			c.Tick(at(3 * time.Second))
			assert.Equal(t, tt.atOnce, got(), "in the grace period")
			for s := 4; s < 7; s++ {
				c.RecordAnswer(at(time.Duration(s)*time.Second), 0)
			}
			c.Tick(at(7 * time.Second))
			assert.Equal(t, tt.later, got(), "after the grace period")
			c.Apply(at(8*time.Second), 0, era2(10), []Change{UpstreamPut{era2(10), entry(7, 20, 1)}})
			assert.Equal(t, want{listed: true, accepts: true}, got(), "the next write has a lower number than the lost one")
		})
	}
}

// TestColdAfterRestore guards against a cold period that begins again since the copy
// has the entry of a cold upstream.
func TestColdAfterRestore(t *testing.T) {
	cold := entry(1, 0, 1)
	cold.ColdFor = 2 * time.Second
	c := New(Options{})
	c.Replace(start, 0, rev(2), []Change{configuration(1, 80), UpstreamPut{rev(2), cold}})
	c.Apply(at(3*time.Second), 0, rev(3), []Change{UpstreamPut{rev(3), entry(1, 0, 3)}})
	c.Replace(at(4*time.Second), 0, era2(2), []Change{configuration(1, 80), UpstreamPut{era2(2), cold}})
	assert.False(t, c.ByToken(TokenOf(1)).Cold(at(4*time.Second)))
}

// TestZonesAfterRestore guards against a zone that returns to service since the copy
// lacks the operators' decision, and against one that stays out of service for ever
// since the operators did not write it again.
func TestZonesAfterRestore(t *testing.T) {
	restored := func() *Catalog {
		c := newListed(Options{})
		c.Apply(at(time.Second), 0, rev(12), []Change{ZoneOutOfService{"zone-a"}, ZoneOutOfService{"zone-b"}})
		c.Replace(at(2*time.Second), 0, era2(9), []Change{configuration(3, 80), ZoneOutOfService{"zone-c"}})
		return c
	}
	endGracePeriod := func(c *Catalog) {
		c.RecordAnswer(at(3500*time.Millisecond), 0)
		c.RecordAnswer(at(5*time.Second), 0)
		c.Tick(at(5 * time.Second))
	}
	c := restored()
	assert.Equal(t, []string{"zone-a", "zone-b", "zone-c"}, c.ZonesOutOfService())
	assert.NotContains(t, c.All(at(2*time.Second)), ZoneOutOfService{"zone-a"}, "a follower would keep it out of service for ever")
	c.Replace(at(3*time.Second), 0, era2(10), []Change{configuration(3, 80), ZoneOutOfService{"zone-c"}})
	assert.Equal(t, []string{"zone-a", "zone-b", "zone-c"}, c.ZonesOutOfService(), "a second listing in the grace period")
	generation := c.Service("tickets").Generation
	c.Apply(at(3*time.Second), 0, era2(11), []Change{ZoneOutOfService{"zone-b"}})
	endGracePeriod(c)
	assert.Equal(t, []string{"zone-b", "zone-c"}, c.ZonesOutOfService(), "zone-b was written again")
	assert.Greater(t, c.Service("tickets").Generation, generation)
	assert.Contains(t, c.All(at(5*time.Second)), ZoneOutOfService{"zone-b"})

	c = restored()
	c.Apply(at(3*time.Second), 0, era2(11), []Change{ZoneOutOfService{"zone-a"}, ZoneBackInService{"zone-a"}})
	assert.False(t, c.ZoneOutOfService("zone-a"), "it is put back into service in the grace period")
}

// TestOtherEras guards against a state that is changed by answers from before a
// restore, or by the changes of an era whose listing the catalog does not have.
func TestOtherEras(t *testing.T) {
	c := newListed(Options{})
	c.Apply(at(time.Second), 0, rev(30), []Change{configuration(8, 80), put(30, 3)})
	c.Apply(at(2*time.Second), 0, era2(31), []Change{configuration(9, 80, 81)})
	assert.EqualValues(t, 8, c.Version(), "changes of an era without its listing")
	assert.Equal(t, rev(30), c.Revision())
	assert.Equal(t, time.Second, c.Age(at(2*time.Second)), "they do not show that the state is recent")
	c.Replace(at(2*time.Second), 0, era2(7), []Change{configuration(3, 80), UpstreamPut{era2(2), upstream(1)}})
	assert.EqualValues(t, 8, c.Version(), "the version never falls")
	assert.Equal(t, era2(7), c.Revision(), "the next watch is after a revision of the restored store")
	_, ok := c.Since(rev(30))
	assert.False(t, ok, "the history of a follower from before the restore does not continue")
	_, ok = c.Since(bvrevision.Revision{Era: 3, Number: 1})
	assert.False(t, ok, "a follower knows of a later restore")
	_, ok = c.Since(era2(7))
	assert.True(t, ok)
	c.Apply(at(3*time.Second), 0, rev(32), []Change{configuration(11, 80), ZoneOutOfService{"zone-a"}})
	c.Replace(at(3*time.Second), 0, rev(33), []Change{configuration(12, 80), ZoneOutOfService{"zone-a"}})
	assert.EqualValues(t, 8, c.Version(), "answers from before the restore")
	assert.Empty(t, c.ZonesOutOfService())
	assert.Equal(t, time.Second, c.Age(at(3*time.Second)))
}

// modelStore is a naive store with full copies of its past, for a differential test.
type modelStore struct {
	revision bvrevision.Revision
	items    map[string]Change // The newest change of each entry that exists.
	changes  []Change          // All changes of the era's history, with revision i+1 at index i.
}

func (s *modelStore) write(key string, change func(r bvrevision.Revision) Change, exists bool) {
	s.revision.Number++
	ch := change(s.revision)
	s.changes = append(s.changes, ch)
	if exists {
		s.items[key] = ch
	} else {
		delete(s.items, key)
	}
}

func (s *modelStore) clone() modelStore {
	return modelStore{s.revision, maps.Clone(s.items), slices.Clone(s.changes)}
}

// relabel returns a change with its revision in another era: a copy has the numbers of
// the time before, and the store's answers state the era that it is in.
func relabel(ch Change, era uint64) Change {
	switch v := ch.(type) {
	case UpstreamPut:
		v.Revision.Era = era
		return v
	case UpstreamRemoved:
		v.Revision.Era = era
		return v
	}
	return ch
}

// follow brings c up to date from the store, as a follower does.
func (s *modelStore) follow(c *Catalog, now time.Time) {
	if c.Revision().Era == s.revision.Era && c.Revision().Number <= s.revision.Number {
		var cs []Change
		for _, ch := range s.changes[c.Revision().Number:] {
			cs = append(cs, relabel(ch, s.revision.Era))
		}
		c.Apply(now, 0, s.revision, cs)
		return
	}
	var cs []Change
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		cs = append(cs, relabel(s.items[key], s.revision.Era))
	}
	c.Replace(now, 0, s.revision, cs)
}

// followPeer brings c up to date from another catalog.
func followPeer(c, peer *Catalog, now time.Time) {
	if peer.Revision().Era < c.Revision().Era {
		return
	}
	if cs, ok := peer.Since(c.Revision()); ok {
		c.Apply(now, peer.Age(now), peer.Revision(), cs)
		return
	}
	c.Replace(now, peer.Age(now), peer.Revision(), peer.All(now))
}

// TestFollowingRestoredStore guards against catalogs that differ from the store for
// ever after any sequence of writes and restores, whatever source they follow at
// any moment, and against configurations that return to an older version.
func TestFollowingRestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		s := modelStore{revision: bvrevision.Revision{Era: 1}, items: map[string]Change{}}
		// The truth is what the operators and the upstreams want the store to hold.
		version, zones, upstreams := uint64(0), map[string]bool{}, map[bvconfig.UpstreamID]Upstream{}
		writeConfiguration := func() {
			s.write("config", func(bvrevision.Revision) Change { return configuration(version, 80) }, true)
		}
		writeZone := func(z string) {
			if zones[z] {
				s.write("zone "+z, func(bvrevision.Revision) Change { return ZoneOutOfService{z} }, true)
			} else if _, ok := s.items["zone "+z]; ok {
				s.write("zone "+z, func(bvrevision.Revision) Change { return ZoneBackInService{z} }, false)
			}
		}
		writeUpstream := func(id bvconfig.UpstreamID) {
			key := "upstream " + string(rune('0'+id))
			if u, ok := upstreams[id]; ok {
				if old, ok := s.items[key].(UpstreamPut); !ok || old.Upstream != u {
					s.write(key, func(r bvrevision.Revision) Change { return UpstreamPut{r, u} }, true)
				}
			} else if _, ok := s.items[key]; ok {
				s.write(key, func(r bvrevision.Revision) Change { return UpstreamRemoved{r, id} }, false)
			}
		}
		writeAgain := func() {
			if ch, ok := s.items["config"].(Configuration); !ok || ch.Version != version {
				writeConfiguration()
			}
			for _, z := range []string{"zone-a", "zone-b"} {
				if _, ok := s.items["zone "+z]; ok != zones[z] {
					writeZone(z)
				}
			}
			for id := bvconfig.UpstreamID(1); id <= 4; id++ {
				writeUpstream(id)
			}
		}
		version = 1
		writeConfiguration()
		catalogs := []*Catalog{New(Options{}), New(Options{}), New(Options{})}
		versions := make([]uint64, len(catalogs))
		for _, c := range catalogs {
			s.follow(c, now)
		}
		copies := []modelStore{s.clone()}
		starts := 0
		follow := func(t *rapid.T) {
			c := rapid.IntRange(0, len(catalogs)-1).Draw(t, "catalog")
			if from := rapid.IntRange(0, len(catalogs)-1).Draw(t, "source"); from == c {
				s.follow(catalogs[c], now)
			} else {
				followPeer(catalogs[c], catalogs[from], now)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"follow":       follow,
			"follow again": follow,
			"configure": func(*rapid.T) {
				version++
				writeConfiguration()
			},
			"change a zone": func(t *rapid.T) {
				z := rapid.SampledFrom([]string{"zone-a", "zone-b"}).Draw(t, "zone")
				zones[z] = !zones[z]
				writeZone(z)
			},
			"change an upstream": func(t *rapid.T) {
				id := bvconfig.UpstreamID(rapid.IntRange(1, 4).Draw(t, "id"))
				u, ok := upstreams[id]
				switch {
				case !ok:
					starts++
					upstreams[id] = entry(id, starts, 1)
				case u.Draining:
					delete(upstreams, id)
				default:
					u.Draining, u.Sequence = true, u.Sequence+3
					upstreams[id] = u
				}
				writeUpstream(id)
			},
			"copy": func(*rapid.T) { copies = append(copies, s.clone()) },
			"restore": func(t *rapid.T) {
				era := s.revision.Era + 1
				saved := rapid.SampledFrom(copies).Draw(t, "copy")
				s = saved.clone()
				s.revision.Era = era
				if rapid.Bool().Draw(t, "write again at once") {
					writeAgain()
				}
			},
			"pass time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "tenths")) * 100 * time.Millisecond)
				for _, c := range catalogs {
					c.Tick(now)
				}
			},
			"": func(t *rapid.T) {
				for i, c := range catalogs {
					require.GreaterOrEqual(t, c.Version(), versions[i], "the version of catalog %d", i)
					versions[i] = c.Version()
				}
			},
		})
		writeAgain()
		// Catalogs follow different sources, for longer than the grace period.
		for range 8 {
			now = now.Add(time.Second)
			s.follow(catalogs[0], now)
			followPeer(catalogs[1], catalogs[0], now)
			followPeer(catalogs[2], catalogs[1], now)
			for _, c := range catalogs {
				c.Tick(now)
			}
		}
		var zonesOut []string
		for _, z := range []string{"zone-a", "zone-b"} {
			if zones[z] {
				zonesOut = append(zonesOut, z)
			}
		}
		for i, c := range catalogs {
			require.Equal(t, version, c.Version(), "catalog %d", i)
			require.Equal(t, zonesOut, c.ZonesOutOfService(), "catalog %d", i)
			got := map[bvconfig.UpstreamID]Upstream{}
			for _, ch := range c.All(now) {
				if v, ok := ch.(UpstreamPut); ok {
					got[v.Upstream.ID] = v.Upstream
				}
			}
			require.Equal(t, upstreams, got, "catalog %d", i)
		}
	})
}

// TestDelayedAnswerEndsGracePeriod guards against a grace period that ends with an answer
// which the platform gave before its end, and which was late on its way. A zone that was
// written again after that answer returns to service for a moment.
func TestDelayedAnswerEndsGracePeriod(t *testing.T) {
	now := start
	c := New(Options{})
	c.Replace(now, 0, rev(10), []Change{configuration(3, 80), ZoneOutOfService{Zone: "zone-a"}})
	for range 10 {
		now = now.Add(time.Second)
		c.RecordAnswer(now, 0)
		c.Tick(now)
	}
	r := rev(5)
	r.Era++
	c.Replace(now, 0, r, []Change{configuration(3, 80)}) // Restored from a copy without the zone.
	c.RecordWatermark(r, now)
	answer := func(after, asked time.Duration) {
		c.Apply(now.Add(after), 0, r, nil)
		c.RecordWatermark(r, now.Add(asked))
		c.Tick(now.Add(after))
	}
	answer(900*time.Millisecond, 900*time.Millisecond)
	answer(1800*time.Millisecond, 1800*time.Millisecond)
	answer(2600*time.Millisecond, 1800*time.Millisecond)
	assert.True(t, c.ZoneOutOfService("zone-a"))
}
