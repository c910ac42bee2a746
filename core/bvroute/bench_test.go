package bvroute

import (
	"testing"

	"balsamvane/core/bvflow"

	"github.com/stretchr/testify/assert"
)

// ownedOpenings returns the opening packets of n flows that the first node of
// the cluster owns and whose base pick is in its zone.
func ownedOpenings(f *cluster, n int) (packets []bvflow.Packet) {
	r := f.nodes[0].router
	for i := 0; len(packets) < n; i++ {
		c := f.tcp(i)
		if x := r.Explain(f.now, c.Tuple); x.Owned && x.BaseZone == "a" {
			packets = append(packets, bvflow.Packet{Tuple: c.Tuple, Phase: bvflow.PhaseOpening})
		}
	}
	return packets
}

// benchmarkRoute measures a decision on a flow without an entry. The time
// includes deleting the entry that the decision creates.
func benchmarkRoute(b *testing.B, phase bvflow.Phase) {
	f := newCluster(b, 4, 0)
	r, ps := f.nodes[0].router, ownedOpenings(f, 2000)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		p := ps[i%len(ps)]
		i++
		p.Phase = phase
		if d := r.Route(f.now, p, Trail{}, Record{}); d.Verdict == VerdictDrop {
			b.Fatal(d.Reason)
		}
		k := r.view.hasher.Key(p.Tuple)
		if e := r.table.Lookup(k); e != nil {
			r.uncount(f.now, e)
			r.table.Delete(k)
		}
	}
}

func BenchmarkNewFlow(b *testing.B) { benchmarkRoute(b, bvflow.PhaseOpening) }

func BenchmarkUnknownMidFlow(b *testing.B) { benchmarkRoute(b, bvflow.PhaseEstablished) }

func BenchmarkKnownFlow(b *testing.B) {
	f := newCluster(b, 4, 0)
	r, ps := f.nodes[0].router, ownedOpenings(f, 2000)
	for i := range ps {
		r.Route(f.now, ps[i], Trail{}, Record{})
		ps[i].Phase = bvflow.PhaseEstablished
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		r.Route(f.now, ps[i%len(ps)], Trail{}, Record{})
		i++
	}
}

// TestRouteAllocations guards against heap allocations on the packet path.
func TestRouteAllocations(t *testing.T) {
	f := newCluster(t, 4, 0)
	r, ps := f.nodes[0].router, ownedOpenings(f, 2)
	p := ps[0]
	for _, phase := range []bvflow.Phase{bvflow.PhaseEstablished, bvflow.PhaseOpening, bvflow.PhaseClosing} {
		p.Phase = phase
		assert.Zero(t, testing.AllocsPerRun(100, func() { r.Route(f.now, p, Trail{}, Record{}) }), "known flow")
	}
	r.Route(f.now, ps[1], Trail{}, Record{})
	assert.Zero(t, testing.AllocsPerRun(100, func() {
		r.Route(f.now, ps[1], Trail{}, Record{})
		r.Sent(f.now, f.now, ps[1])
	}), "retransmitted opening")
	k := r.view.hasher.Key(p.Tuple)
	assert.Zero(t, testing.AllocsPerRun(100, func() {
		r.table.Delete(k)
		r.Route(f.now, p, Trail{}, Record{})
	}), "unknown flow")
}
