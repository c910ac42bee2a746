// Package bvcost measures the time, allocations and memory of decisions.
//
// # Usage
//
//	c, err := bvcost.Decisions(2_000)
//	fmt.Println(c.Known.Nanoseconds, c.Known.Allocations)
package bvcost

import (
	"net/netip"
	"runtime"
	"slices"
	"time"

	"balsamvane/bench/bvgroup"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvnode"
	"balsamvane/core/bvroute"

	"github.com/jonboulle/clockwork"
)

// rounds is the number of measurements of which the median is reported.
const rounds = 5

// Cost is the cost of one operation.
type Cost struct {
	Nanoseconds float64 // Median of the rounds.
	Slowest     float64 // Slowest of the rounds, in nanoseconds.
	// Allocations is the number of allocations, with those for the growth of the
	// table.
	Allocations float64
}

// measure runs n operations f in each round and returns the cost of one.
func measure(n int, f func(round, i int)) Cost {
	clock := clockwork.NewRealClock()
	var times []float64
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for r := range rounds {
		start := clock.Now()
		for i := range n {
			f(r, i)
		}
		times = append(times, float64(clock.Since(start).Nanoseconds())/float64(n))
	}
	runtime.ReadMemStats(&after)
	slices.Sort(times)
	return Cost{
		Nanoseconds: times[rounds/2], Slowest: times[rounds-1],
		Allocations: float64(after.Mallocs-before.Mallocs) / float64(rounds*n),
	}
}

// Costs are the costs of decisions in a zone with 2 balancers and 14 upstreams.
// Known, New and Unknown are those of the owner of the flow, for a packet of a
// known flow, the opening of a new flow and a mid-flow packet of an unknown flow.
// Forward is that of another balancer, which forwards the packet to the owner.
type Costs struct {
	Known, New, Unknown, Forward Cost
}

func tuple(i int) bvflow.Tuple {
	return bvflow.Tuple{
		Source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(i >> 16), byte(i >> 8), byte(i)}), 40000),
		Destination: bvgroup.ServiceAddress(0), Protocol: bvflow.ProtocolTCP,
	}
}

// tuples returns count flows that the node owns, or does not own, beginning with
// the flow number from.
func tuples(n *bvnode.Node, now time.Time, owned bool, from, count int) []bvflow.Tuple {
	out := make([]bvflow.Tuple, 0, count)
	for i := from; len(out) < count; i++ {
		if t := tuple(i); n.Explain(now, t).Owned == owned {
			out = append(out, t)
		}
	}
	return out
}

// Decisions measures all kinds of decision, with the given number of flows in
// each of 5 rounds. In the end the table holds 10 times as many. A table of a
// few thousand flows fits in the processor's cache, and a larger one does not.
func Decisions(perRound int) (Costs, error) {
	g, err := bvgroup.New(bvgroup.Shape{Zones: 1, Balancers: 2, Upstreams: []int{14}, Connections: 1 << 30})
	if err != nil {
		return Costs{}, err
	}
	defer g.Close()
	// Longer than the opening window, so that ownership is certain.
	g.Run(70 * time.Second)
	n := g.Members()[0].Node
	now := g.Now()
	owned := tuples(n, now, true, 0, 2*rounds*perRound)
	newFlows, unknownFlows := owned[:rounds*perRound], owned[rounds*perRound:]
	notOwned := tuples(n, now, false, 0, perRound)
	decide := func(t bvflow.Tuple, p bvflow.Phase) {
		n.Packet(now, bvflow.Packet{Tuple: t, Phase: p}, bvroute.Trail{}, bvroute.Record{})
	}
	var c Costs
	c.New = measure(perRound, func(r, i int) { decide(newFlows[r*perRound+i], bvflow.PhaseOpening) })
	c.Known = measure(perRound, func(r, i int) { decide(newFlows[r*perRound+i], bvflow.PhaseEstablished) })
	c.Unknown = measure(perRound, func(r, i int) { decide(unknownFlows[r*perRound+i], bvflow.PhaseEstablished) })
	c.Forward = measure(perRound, func(_, i int) { decide(notOwned[i], bvflow.PhaseEstablished) })
	return c, g.Err()
}

// BytesPerFlow returns the heap growth of a node for each open flow, measured
// with the given number of flows.
func BytesPerFlow(flows int) (float64, error) {
	g, err := bvgroup.New(bvgroup.Shape{Zones: 1, Balancers: 1, Upstreams: []int{14}, Connections: 1 << 30})
	if err != nil {
		return 0, err
	}
	defer g.Close()
	g.Run(70 * time.Second)
	n := g.Members()[0].Node
	before := heap()
	for i := range flows {
		p := bvflow.Packet{Tuple: tuple(i), Phase: bvflow.PhaseOpening}
		n.Packet(g.Now(), p, bvroute.Trail{}, bvroute.Record{})
	}
	after := heap()
	openFlows := n.Status(g.Now()).Flows
	runtime.KeepAlive(n)
	return float64(after-before) / float64(openFlows), g.Err()
}

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Heap returns the live heap of this process in bytes.
func Heap() int64 { return heap() }
