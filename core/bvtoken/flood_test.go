package bvtoken

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"

	"github.com/stretchr/testify/assert"
)

// flood plays callers at a router of 14 upstreams in three zones, beside
// openings with forged addresses that nobody follows up.
type flood struct {
	*fixture
	random  *rand.Rand
	factor  int // Forged openings for each opening of a caller.
	crashed bvconfig.UpstreamID
	long    []*flow
	waiting []waitingCaller // At the crashed upstream, the first one first.

	resets  int // Packets of open flows that were answered with a reset.
	refused int // Openings of callers.
	lost    int // Openings of callers that were placed on the crashed upstream.
	placed  int
	farther int
	leftOut int // Upstreams that serve and are left out, summed over steps.
	down    int // Steps in which a zone counts as down.
	alone   int // Steps in which the balancer counts as isolated.
	steps   int
}

// waitingCaller is a caller that repeats its opening after 200 ms.
type waitingCaller struct {
	flow *flow
	at   time.Time
}

// floodStep is the time between two openings of callers.
const floodStep = 16 * time.Millisecond

func newFlood(factor int) *flood {
	var ids []bvconfig.UpstreamID
	for i := range 14 {
		ids = append(ids, bvconfig.UpstreamID(10*(i%3+1)+i/3+1))
	}
	f := &flood{fixture: newFixture(ids...), random: rand.New(rand.NewPCG(7, 7)), factor: factor}
	for range 40 {
		x := f.connect(feeds)
		f.request(x, false)
		f.pass(time.Millisecond)
		f.answer(x)
		f.long = append(f.long, x)
	}
	f.pass(time.Second)
	return f
}

// play lets a number of steps pass.
func (f *flood) play(steps int) {
	f.refused, f.lost, f.placed, f.farther, f.leftOut, f.down, f.alone, f.steps = 0, 0, 0, 0, 0, 0, 0, 0
	for range steps {
		f.step()
	}
}

func (f *flood) step() {
	f.steps++
	x := f.caller(tickets)
	x.tuple.Source = netip.AddrPortFrom(netip.AddrFrom4([4]byte{203, 0, 113, byte(f.random.IntN(34))}), f.callers)
	d := f.open(x)
	switch {
	case d.Verdict != VerdictForward:
		f.refused++
	case d.Upstream == f.crashed:
		f.lost++
		f.waiting = append(f.waiting, waitingCaller{x, f.now.Add(200 * time.Millisecond)})
	default:
		f.placed++
		if d.Reason == ReasonPlacedFarther {
			f.farther++
		}
	}
	for i := range f.factor {
		f.forged()
		if i == f.factor/4 { // The answer takes 4 ms.
			f.now = f.now.Add(floodStep / 4)
			if d.Verdict == VerdictForward && d.Upstream != f.crashed {
				f.request(x, false)
				f.answer(x)
			}
		}
	}
	f.now = f.now.Add(floodStep * 3 / 4)
	f.catalog.RecordAnswer(f.now, 0)
	// A long flow sends a request each 640 ms.
	y := f.long[f.steps%len(f.long)]
	if y.upstream != f.crashed {
		if f.request(y, false).Verdict == VerdictReset {
			f.resets++
		}
		f.now = f.now.Add(time.Millisecond)
		f.answer(y)
	}
	for len(f.waiting) > 0 && !f.now.Before(f.waiting[0].at) {
		y := f.waiting[0].flow
		f.waiting = f.waiting[1:]
		if f.open(y); y.upstream != f.crashed {
			f.request(y, false)
			f.answer(y)
		}
	}
	f.look()
}

// forged sends an opening that nobody follows up.
func (f *flood) forged() {
	source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(f.random.Uint32()), byte(f.random.Uint32()), byte(f.random.Uint32())}), uint16(f.random.Uint32()))
	f.router.Route(f.now, Packet{Packet: bvflow.Packet{
		Tuple: bvflow.Tuple{Source: source, Destination: tickets, Protocol: bvflow.ProtocolTCP}, Phase: bvflow.PhaseOpening,
	}})
}

// look counts what is wrongly left out.
func (f *flood) look() {
	for id, t := range f.router.targets {
		if t.standing != standingUsable && id != f.crashed {
			f.leftOut++
		}
	}
	for _, z := range f.router.zones {
		if z.down(f.now) {
			f.down++
		}
	}
	if f.router.Isolated(f.now) {
		f.alone++
	}
}

// TestFlood guards against live upstreams, zones or this balancer that are left
// out because of openings that their sender never follows up: pattern of a flood
// with forged addresses, and of a port scan. An upstream that crashes
// meanwhile must still be found.
func TestFlood(t *testing.T) {
	for _, factor := range []int{10, 1000} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			f := newFlood(factor)
			f.play(60) // About a second, in which the flood is recognized.
			assert.Zero(t, f.refused)
			assert.Zero(t, f.alone)
			f.play(250)
			assert.Zero(t, f.refused)
			assert.Zero(t, f.leftOut, "upstreams")
			assert.Zero(t, f.down, "zones")
			assert.Zero(t, f.alone, "the balancer")
			f.crashed = 11
			f.play(120)
			assert.Equal(t, standingSilent, f.router.targets[11].standing, "2 s after the crash")
			f.play(250)
			const trials = 4 // 1 s, 2 s and 4 s after the finding, or by a forged opening.
			assert.LessOrEqual(t, f.lost, trials, "of 250 openings after that")
			assert.Zero(t, f.refused)
			assert.Zero(t, f.leftOut, "upstreams")
			assert.Zero(t, f.resets, "flows of live upstreams")
		})
	}
}

// TestFloodResetsNothing guards against open flows that are reset because
// forged openings at their upstream stayed unanswered: pattern of a flow that
// pauses, at a balancer with few callers.
func TestFloodResetsNothing(t *testing.T) {
	f := newFlood(10)
	x := f.long[0]
	f.long = f.long[1:]
	for i := range 200 {
		if i%20 == 0 {
			// Others in the zone answer; the upstream of x has no other caller.
			for _, y := range f.long[:5] {
				if y.upstream != x.upstream {
					f.request(y, false)
					f.answer(y)
				}
			}
		}
		f.forged()
		f.pass(30 * time.Millisecond)
	}
	d := f.request(x, false)
	assert.Equal(t, VerdictForward, d.Verdict, "reason %s", d.Reason)
}
