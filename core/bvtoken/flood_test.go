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

// flood simulates callers of a router with 14 upstreams in three zones, along with
// openings with forged addresses that are never completed.
type flood struct {
	*fixture
	random    *rand.Rand
	factor    int // Forged openings for each opening of a caller.
	crashed   bvconfig.UpstreamID
	longFlows []*flow
	waiting   []waitingCaller // At the crashed upstream, the earliest first.

	resets    int // Packets of open flows that were answered with a reset.
	refused   int // Openings of callers that were not placed.
	misplaced int // Openings of callers that were placed on the crashed upstream.
	placed    int // Openings of callers that were placed on live upstreams.
	otherZone int // The placed openings whose upstream is in another zone.
	suspended int // Live upstreams that are not usable, summed over steps.
	zonesDown int // Zones that count as down, summed over steps.
	isolated  int // Steps in which the balancer counts as isolated.
	steps     int
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
		f.advance(time.Millisecond)
		f.answer(x)
		f.longFlows = append(f.longFlows, x)
	}
	f.advance(time.Second)
	return f
}

// run resets the counters and runs a number of steps.
func (f *flood) run(steps int) {
	f.refused, f.misplaced, f.placed, f.otherZone, f.suspended, f.zonesDown, f.isolated, f.steps = 0, 0, 0, 0, 0, 0, 0, 0
	for range steps {
		f.step()
	}
}

func (f *flood) step() {
	f.steps++
	x := f.newFlow(tickets)
	x.tuple.Source = netip.AddrPortFrom(netip.AddrFrom4([4]byte{203, 0, 113, byte(f.random.IntN(34))}), f.callers)
	d := f.open(x)
	switch {
	case d.Verdict != VerdictForward:
		f.refused++
	case d.Upstream == f.crashed:
		f.misplaced++
		f.waiting = append(f.waiting, waitingCaller{x, f.now.Add(200 * time.Millisecond)})
	default:
		f.placed++
		if d.Reason == ReasonPlacedFarther {
			f.otherZone++
		}
	}
	for i := range f.factor {
		f.sendForged()
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
	y := f.longFlows[f.steps%len(f.longFlows)]
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
	f.countSuspended()
}

// sendForged sends an opening that is never completed.
func (f *flood) sendForged() {
	source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(f.random.Uint32()), byte(f.random.Uint32()), byte(f.random.Uint32())}), uint16(f.random.Uint32()))
	f.route(Packet{Packet: bvflow.Packet{
		Tuple: bvflow.Tuple{Source: source, Destination: tickets, Protocol: bvflow.ProtocolTCP}, Phase: bvflow.PhaseOpening,
	}})
}

// countSuspended counts the live upstreams that are not usable, the zones that
// count as down, and the step if the balancer counts as isolated.
func (f *flood) countSuspended() {
	for id, t := range f.router.targets {
		if t.state != stateUsable && id != f.crashed {
			f.suspended++
		}
	}
	for _, z := range f.router.zones {
		if z.down(f.now) {
			f.zonesDown++
		}
	}
	if f.router.Isolated(f.now) {
		f.isolated++
	}
}

// TestFlood guards against live upstreams, zones or this balancer going out of use
// because of openings that their sender never completes, as in a flood with forged
// addresses or a port scan. An upstream that crashes meanwhile must still be
// detected.
func TestFlood(t *testing.T) {
	for _, factor := range []int{10, 1000} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			f := newFlood(factor)
			f.run(60) // About a second, in which the flood is detected.
			assert.Zero(t, f.refused)
			assert.Zero(t, f.isolated)
			f.run(250)
			assert.Zero(t, f.refused)
			assert.Zero(t, f.suspended, "upstreams")
			assert.Zero(t, f.zonesDown, "zones")
			assert.Zero(t, f.isolated, "the balancer")
			f.crashed = 11
			f.run(120)
			assert.Equal(t, stateUnresponsive, f.router.targets[11].state, "2 s after the crash")
			f.run(250)
			const retries = 4 // 1 s, 2 s and 4 s after the ejection, or by a forged opening.
			assert.LessOrEqual(t, f.misplaced, retries, "of 250 openings after that")
			assert.Zero(t, f.refused)
			assert.Zero(t, f.suspended, "upstreams")
			assert.Zero(t, f.resets, "flows of live upstreams")
		})
	}
}

// TestFloodKeepsOpenFlows guards against resets of open flows because forged
// openings at their upstream stayed unanswered. The flow pauses, and the balancer
// has few callers.
func TestFloodKeepsOpenFlows(t *testing.T) {
	f := newFlood(10)
	x := f.longFlows[0]
	f.longFlows = f.longFlows[1:]
	for i := range 200 {
		if i%20 == 0 {
			// Other upstreams in the zone answer; the upstream of x has no other caller.
			for _, y := range f.longFlows[:5] {
				if y.upstream != x.upstream {
					f.request(y, false)
					f.answer(y)
				}
			}
		}
		f.sendForged()
		f.advance(30 * time.Millisecond)
	}
	d := f.request(x, false)
	assert.Equal(t, VerdictForward, d.Verdict, "reason %s", d.Reason)
}
