package bvcatalog

import (
	"testing"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvrevision"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestHistoryHoldsOneConfiguration guards against answers to followers, and a history,
// that hold each version of a large configuration in full while it changes in quick
// succession. The answers then delay other packets on the balancer's link.
func TestHistoryHoldsOneConfiguration(t *testing.T) {
	tests := []struct {
		name  string
		apply [][]Change // One answer each, with revisions from 11 on.
		after int64
		want  []Change
	}{
		{
			name:  "versions in one answer",
			apply: [][]Change{{configuration(4, 80), configuration(5, 81), configuration(6, 82)}},
			after: 10, want: []Change{configuration(6, 82)},
		},
		{
			name:  "versions in several answers",
			apply: [][]Change{{configuration(4, 80)}, {configuration(5, 81)}, {configuration(6, 82)}},
			after: 10, want: []Change{configuration(6, 82)},
		},
		{
			name:  "the follower has the last but one",
			apply: [][]Change{{configuration(4, 80)}, {configuration(5, 81)}},
			after: 11, want: []Change{configuration(5, 81)},
		},
		{
			name:  "the follower has the last one",
			apply: [][]Change{{configuration(4, 80)}, {put(12, 3)}},
			after: 11, want: []Change{put(12, 3)},
		},
		{
			name:  "other changes keep their order",
			apply: [][]Change{{put(11, 3), configuration(4, 80), ZoneOutOfService{"zone-b"}}, {configuration(5, 81), ZoneBackInService{"zone-b"}}},
			after: 10, want: []Change{configuration(5, 81), put(11, 3), ZoneOutOfService{"zone-b"}, ZoneBackInService{"zone-b"}},
		},
		{
			name:  "an older version comes last",
			apply: [][]Change{{configuration(6, 82)}, {configuration(5, 81)}},
			after: 10, want: []Change{configuration(6, 82)},
		},
		{
			name:  "the catalog already has the version, from a listing",
			apply: [][]Change{{configuration(3, 80)}},
			after: 10, want: []Change{configuration(3, 80)},
		},
		{
			name:  "the follower may have listed an older version",
			apply: [][]Change{{configuration(6, 82)}, {configuration(5, 81)}},
			after: 11, want: []Change{configuration(6, 82)},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newListed(Options{})
			for i, cs := range tt.apply {
				c.Apply(start, 0, rev(int64(11+i)), cs)
			}
			got, ok := c.Since(rev(tt.after))
			require.True(t, ok)
			assert.Equal(t, tt.want, got)
		})
	}
}

// naiveHistory keeps all changes since the last listing.
type naiveHistory struct {
	start   bvrevision.Revision
	batches []batch
}

func (h *naiveHistory) since(after bvrevision.Revision) (cs []Change, ok bool) {
	if after.Era != h.start.Era || h.start.After(after) {
		return nil, false
	}
	for _, a := range h.batches {
		if a.revision.After(after) {
			cs = append(cs, a.changes...)
		}
	}
	return cs, true
}

// catalogState is what a catalog decides with.
type catalogState struct {
	Version  uint64
	Revision bvrevision.Revision
	Changes  []Change // Configuration, zones and entries.
	Services map[string]serviceState
}

type serviceState struct {
	Limits  ServiceLimits
	Entries []bvconfig.UpstreamID
}

func stateOf(c *Catalog) catalogState {
	s := catalogState{c.Version(), c.Revision(), c.All(start), map[string]serviceState{}}
	for name, v := range c.Services() {
		x := serviceState{Limits: v.ServiceLimits}
		for _, e := range v.Entries {
			x.Entries = append(x.Entries, e.ID)
		}
		s.Services[name] = x
	}
	return s
}

// drawChange draws a change with revision r, also unreadable entries on request. Versions
// of the configuration may fall, or repeat with another content.
func drawChange(t *rapid.T, r bvrevision.Revision, unreadable bool) Change {
	id := bvconfig.UpstreamID(rapid.IntRange(1, 3).Draw(t, "id"))
	zone := rapid.SampledFrom([]string{"zone-a", "zone-b"}).Draw(t, "zone")
	service := rapid.SampledFrom([]string{"tickets", "desk"}).Draw(t, "service")
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		return ZoneOutOfService{zone}
	case 1:
		return ZoneBackInService{zone}
	case 2:
		if unreadable && rapid.Bool().Draw(t, "unreadable") {
			return UpstreamUnreadable{Revision: r, ID: id, Problem: "state is not known"}
		}
		return UpstreamRemoved{r, id}
	case 3:
		u := upstream(id)
		u.Service, u.Zone = service, zone
		return UpstreamPut{r, u}
	}
	d := configuration(uint64(rapid.IntRange(1, 12).Draw(t, "version")), uint16(80+r.Number))
	d.Services = []ServiceLimits{{Name: service, Connections: uint32(r.Number)}}
	return d
}

// withoutUpstreams returns the configuration and the zones among changes.
func withoutUpstreams(cs []Change) (out []Change) {
	for _, ch := range cs {
		switch ch.(type) {
		case Configuration, ZoneOutOfService, ZoneBackInService:
			out = append(out, ch)
		case UpstreamPut, UpstreamRemoved, UpstreamUnreadable:
		}
	}
	return out
}

// TestHistoryMatchesNaiveHistory guards against followers that end in another state than
// the balancer that they follow, or than with a history that keeps all changes, from any
// revision at which they stopped.
func TestHistoryMatchesNaiveHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// A removed upstream whose entry is unreadable later stays removed, but a balancer that
		// did not know it has it as unreadable. That does not depend on the history, so with
		// such entries the upstreams are only compared with those of the naive history.
		unreadable := rapid.Bool().Draw(t, "unreadable entries")
		source := newListed(Options{})
		naive := naiveHistory{start: source.Revision()}
		// A pair of followers has the same state; one follows the history, one the naive one.
		type pair struct{ follower, naive *Catalog }
		var pairs []pair
		relist := func(c *Catalog) { c.Replace(start, 0, source.Revision(), source.All(start)) }
		for range 3 {
			p := pair{New(Options{}), New(Options{})}
			relist(p.follower)
			relist(p.naive)
			pairs = append(pairs, p)
		}
		follow := func(t *rapid.T, p pair) {
			cs, ok := source.Since(p.follower.Revision())
			all, naiveOK := naive.since(p.naive.Revision())
			require.Equal(t, naiveOK, ok)
			if ok {
				p.follower.Apply(start, 0, source.Revision(), cs)
				p.naive.Apply(start, 0, source.Revision(), all)
			} else {
				relist(p.follower)
				relist(p.naive)
			}
			require.Equal(t, stateOf(p.naive), stateOf(p.follower))
			require.Equal(t, source.Version(), p.follower.Version())
			want, got := source.All(start), p.follower.All(start)
			if unreadable {
				want, got = withoutUpstreams(want), withoutUpstreams(got)
			}
			require.Equal(t, want, got)
		}
		draw := func(t *rapid.T, r bvrevision.Revision) (bvrevision.Revision, []Change) {
			var cs []Change
			for range rapid.IntRange(1, 4).Draw(t, "changes") {
				r.Number++
				cs = append(cs, drawChange(t, r, unreadable))
			}
			return r, cs
		}
		change := func(t *rapid.T) {
			r, cs := draw(t, source.Revision())
			source.Apply(start, 0, r, cs)
			naive.batches = append(naive.batches, batch{r, cs})
		}
		t.Repeat(map[string]func(*rapid.T){
			"change":       change,
			"change again": change,
			"follow": func(t *rapid.T) {
				follow(t, rapid.SampledFrom(pairs).Draw(t, "follower"))
			},
			"list": func(t *rapid.T) {
				r := source.Revision()
				if rapid.Bool().Draw(t, "restored") {
					r.Era++
				}
				r, cs := draw(t, r)
				source.Replace(start, 0, r, cs)
				naive = naiveHistory{start: source.Revision()}
			},
		})
		for _, p := range pairs {
			follow(t, p)
		}
	})
}
