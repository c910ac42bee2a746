package bvtoken

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"balsamvane/core/bvcatalog"
	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestOpeningCost guards against openings that cost more the more upstreams
// are silent or cold: pattern of a crash of a whole service of thousands, and of
// its replacement step by step. An opening may compare three times as many
// upstreams as a service of 14 has.
func TestOpeningCost(t *testing.T) {
	const most = 3 * 14
	tests := map[string]struct {
		coldth int
		silent bool
	}{"well": {}, "a sixth cold": {coldth: 6}, "all cold": {coldth: 1}, "all silent": {silent: true}}
	for name, tt := range tests {
		for _, n := range []int{14, 480, 5000} {
			t.Run(fmt.Sprint(name, "/", n), func(t *testing.T) {
				f := newService(n, tt.coldth)
				open := func() {
					f.now = f.now.Add(time.Millisecond)
					f.catalog.RecordAnswer(f.now, 0)
					x := f.caller(tickets)
					if d := f.open(x); d.Verdict == VerdictForward && !tt.silent {
						f.router.Route(f.now, x.packet(bvflow.PhaseEstablished, 0))
					}
				}
				openings := uint64(4 * n)
				for range openings {
					open()
				}
				assert.LessOrEqual(t, f.router.compared/openings, uint64(most))
				assert.LessOrEqual(t, testing.AllocsPerRun(100, open), 1.0, "that of the test's caller")
			})
		}
	}
}

// TestOneIsWell guards against callers that are refused, or sent to silent
// upstreams, although one upstream of many serves: pattern of the crash of a
// service in all zones but for one VM. Each silent upstream is tried again every
// 4 s with one opening.
func TestOneIsWell(t *testing.T) {
	for _, survivor := range []int{0, 1, 477, 479} {
		f := newService(480, 0)
		id := largeUpstream(survivor).ID
		served := 0
		const openings, last = 12_000, 4000 // 1 ms apart.
		for i := range openings {
			x := f.caller(tickets)
			d := f.open(x)
			require.Equal(t, VerdictForward, d.Verdict)
			f.pass(time.Millisecond)
			if d.Upstream != id {
				continue
			}
			f.request(x, false)
			f.answer(x)
			if i >= openings-last {
				served++
			}
		}
		const late = 20 // Trials that are within the time by the jitter of openings.
		assert.GreaterOrEqual(t, served, last-479-late, "upstream %d", survivor)
	}
}

// TestOneIsWarm guards against refusals while one upstream of many is warm:
// pattern of a replacement of a whole service.
func TestOneIsWarm(t *testing.T) {
	f := newService(480, 1)
	u := largeUpstream(479)
	u.Service = "desk"
	f.apply(bvcatalog.UpstreamPut{Revision: f.revision + 1, Upstream: u})
	for range 100 {
		d := f.open(f.caller(tickets))
		require.Equal(t, VerdictForward, d.Verdict)
		require.Equal(t, u.ID, d.Upstream)
		f.pass(time.Millisecond)
	}
}

// TestChoice guards against an upstream that is lost from the lists, stands in
// two of them, or is used before its time.
func TestChoice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c choice
		now := start
		ts := make([]*target, 8)
		for i := range ts {
			id := bvconfig.UpstreamID(i + 1)
			ts[i] = &target{entry: &bvcatalog.Entry{Upstream: bvcatalog.Upstream{ID: id}}, inZone: i%2 == 0}
		}
		draw := func(t *rapid.T) *target { return rapid.SampledFrom(ts).Draw(t, "upstream") }
		t.Repeat(map[string]func(*rapid.T){
			"use": func(t *rapid.T) {
				x := draw(t)
				c.drop(x)
				c.use(x)
			},
			"rest": func(t *rapid.T) {
				s := rapid.SampledFrom([]standing{standingSilent, standingCold}).Draw(t, "standing")
				c.rest(draw(t), s, now.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "seconds"))*time.Second))
			},
			"drop": func(t *rapid.T) { c.drop(draw(t)) },
			"wake": func(*rapid.T) {
				now = now.Add(time.Second)
				c.wake(now)
			},
			"": func(t *rapid.T) {
				lists := map[standing][]*target{
					standingUsable: slices.Concat(c.near, c.farther), standingSilent: c.silent, standingCold: c.cold,
				}
				for _, x := range ts {
					for s, l := range lists {
						require.Equal(t, x.standing == s, slices.Contains(l, x))
					}
					if x.standing == standingUsable {
						require.Equal(t, x, (*c.usable(x))[x.index])
					}
				}
				require.Len(t, slices.Concat(lists[standingUsable], lists[standingSilent], lists[standingCold]),
					len(ts)-len(slices.DeleteFunc(slices.Clone(ts), func(x *target) bool { return x.standing != standingNone })))
				for _, h := range []resting{c.silent, c.cold} {
					for i, x := range h {
						require.Equal(t, i, x.index)
						require.False(t, x.until.Before(h[0].until))
					}
				}
			},
		})
	})
}
