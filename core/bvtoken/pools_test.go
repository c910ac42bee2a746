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

// TestOpeningCost guards against openings whose cost grows with the number of
// unresponsive or cold upstreams, as when a service of thousands crashes or is
// replaced step by step. An opening may compare three times as many upstreams as a
// service of 14 has.
func TestOpeningCost(t *testing.T) {
	const maxCompared = 3 * 14
	tests := map[string]struct {
		coldEvery    int
		unresponsive bool
	}{"healthy": {}, "a sixth cold": {coldEvery: 6}, "all cold": {coldEvery: 1}, "all unresponsive": {unresponsive: true}}
	for name, tt := range tests {
		for _, n := range []int{14, 480, 5000} {
			t.Run(fmt.Sprint(name, "/", n), func(t *testing.T) {
				f := newServiceFixture(n, tt.coldEvery)
				open := func() {
					f.now = f.now.Add(time.Millisecond)
					f.catalog.RecordAnswer(f.now, 0)
					x := f.newFlow(tickets)
					if d := f.open(x); d.Verdict == VerdictForward && !tt.unresponsive {
						f.route(x.packet(bvflow.PhaseEstablished, 0))
					}
				}
				openings := uint64(4 * n)
				for range openings {
					open()
				}
				assert.LessOrEqual(t, f.router.compared/openings, uint64(maxCompared))
				assert.LessOrEqual(t, testing.AllocsPerRun(100, open), 1.0, "the test allocates the flow")
			})
		}
	}
}

// TestOneHealthyUpstream guards against callers that are refused or sent to
// unresponsive upstreams although one healthy upstream remains, as when a service
// crashes on all VMs but one. Each unresponsive upstream is tried again every 4 s
// with one opening.
func TestOneHealthyUpstream(t *testing.T) {
	for _, survivor := range []int{0, 1, 477, 479} {
		f := newServiceFixture(480, 0)
		id := largeUpstream(survivor).ID
		served := 0
		const openings, measured = 12_000, 4000 // 1 ms apart.
		for i := range openings {
			x := f.newFlow(tickets)
			d := f.open(x)
			require.Equal(t, VerdictForward, d.Verdict)
			f.advance(time.Millisecond)
			if d.Upstream != id {
				continue
			}
			f.request(x, false)
			f.answer(x)
			if i >= openings-measured {
				served++
			}
		}
		const retries = 20 // Upstreams tried twice in the measured time because of jitter.
		assert.GreaterOrEqual(t, served, measured-479-retries, "upstream %d", survivor)
	}
}

// TestOneWarmUpstream guards against refusals while one upstream of many is warm,
// as during the replacement of a whole service.
func TestOneWarmUpstream(t *testing.T) {
	f := newServiceFixture(480, 1)
	u := largeUpstream(479)
	u.Service = "desk"
	f.apply(bvcatalog.UpstreamPut{Revision: rev(f.revision + 1), Upstream: u})
	for range 100 {
		d := f.open(f.newFlow(tickets))
		require.Equal(t, VerdictForward, d.Verdict)
		require.Equal(t, u.ID, d.Upstream)
		f.advance(time.Millisecond)
	}
}

// TestUpstreamPools guards against an upstream that is missing from the lists, is
// in two of them, or is used before its suspension ends.
func TestUpstreamPools(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c upstreamPools
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
				c.remove(x)
				c.makeUsable(x)
			},
			"suspend": func(t *rapid.T) {
				s := rapid.SampledFrom([]selectionState{stateUnresponsive, stateColdLimited}).Draw(t, "state")
				c.suspend(draw(t), s, now.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "seconds"))*time.Second))
			},
			"remove": func(t *rapid.T) { c.remove(draw(t)) },
			"wait": func(*rapid.T) {
				now = now.Add(time.Second)
				c.resume(now)
			},
			"": func(t *rapid.T) {
				lists := map[selectionState][]*target{
					stateUsable: slices.Concat(c.local, c.remote), stateUnresponsive: c.unresponsive, stateColdLimited: c.coldLimited,
				}
				for _, x := range ts {
					for s, l := range lists {
						require.Equal(t, x.state == s, slices.Contains(l, x))
					}
					if x.state == stateUsable {
						require.Equal(t, x, (*c.usablePool(x))[x.index])
					}
				}
				require.Len(t, slices.Concat(lists[stateUsable], lists[stateUnresponsive], lists[stateColdLimited]),
					len(ts)-len(slices.DeleteFunc(slices.Clone(ts), func(x *target) bool { return x.state != stateNone })))
				for _, h := range []suspendedHeap{c.unresponsive, c.coldLimited} {
					for i, x := range h {
						require.Equal(t, i, x.index)
						require.False(t, x.suspendedUntil.Before(h[0].suspendedUntil))
					}
				}
			},
		})
	})
}
