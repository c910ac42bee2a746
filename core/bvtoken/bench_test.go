package bvtoken

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"balsamvane/core/bvcatalog"
	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"
)

// newLarge returns a fixture with n upstreams, ten for each service, over four
// zones.
func newLarge(n int) *fixture {
	f := &fixture{catalog: bvcatalog.New(bvcatalog.Options{}), now: start, revision: 1}
	f.router = New(Options{Zone: "zone-a"}, f.catalog)
	d := bvcatalog.Declared{Version: 1}
	var cs []bvcatalog.Change
	for i := range n {
		f.revision++
		cs = append(cs, bvcatalog.UpstreamPut{Revision: f.revision, Upstream: largeUpstream(i)})
		if i%10 == 0 {
			d.Services = append(d.Services, bvcatalog.ServiceLimits{Name: largeUpstream(i).Service})
			d.Routes = append(d.Routes, bvcatalog.Route{
				Address: largeRoute(i / 10), Backends: []bvcatalog.Backend{{Service: largeUpstream(i).Service, Weight: 1}},
			})
		}
	}
	f.catalog.Replace(f.now, 0, f.revision, append([]bvcatalog.Change{d}, cs...))
	f.pass(3 * time.Second)
	return f
}

func largeUpstream(i int) bvcatalog.Upstream {
	return bvcatalog.Upstream{
		ID: bvconfig.UpstreamID(i)*0x9e3779b97f4a7c15 | 1, Service: fmt.Sprintf("service-%d", i/10), Zone: "zone-" + string(rune('a'+i%4)), Slots: 4,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8080),
	}
}

func largeRoute(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443)
}

// heap returns the bytes of the heap in use.
func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkChange measures what one changed entry costs a balancer until its
// next decision.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{150, 3000, 140000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := heap()
			f := newLarge(n)
			x := f.caller(largeRoute(0))
			f.open(x)
			grown := heap() - before
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				u := largeUpstream(i % n)
				u.Draining = i/n%2 == 0
				f.apply(bvcatalog.UpstreamPut{Revision: f.revision + 1, Upstream: u})
				f.router.Route(f.now, Packet{Packet: bvflow.Packet{Tuple: x.tuple, Phase: bvflow.PhaseOpening}})
			}
			b.ReportMetric(float64(grown)/float64(n), "heapB/upstream")
		})
	}
}
