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
	d := bvcatalog.Configuration{Version: 1}
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

// heapInUse returns the bytes of the heap in use.
func heapInUse() uint64 {
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
			before := heapInUse()
			f := newLarge(n)
			x := f.caller(largeRoute(0))
			f.open(x)
			grown := heapInUse() - before
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

// newService returns a fixture with one service of n upstreams over four
// zones, of which every coldth is cold; none if that is 0.
func newService(n, coldth int) *fixture {
	f := &fixture{catalog: bvcatalog.New(bvcatalog.Options{}), now: start, revision: 1}
	f.router = New(Options{Zone: "zone-a"}, f.catalog)
	cs := []bvcatalog.Change{bvcatalog.Configuration{
		Version:  1,
		Routes:   []bvcatalog.Route{{Address: tickets, Backends: []bvcatalog.Backend{{Service: "desk", Weight: 1}}}},
		Services: []bvcatalog.ServiceLimits{{Name: "desk"}},
	}}
	for i := range n {
		f.revision++
		u := largeUpstream(i)
		u.Service = "desk"
		if coldth > 0 && i/4%coldth == 0 {
			u.ColdFor = time.Hour
		}
		cs = append(cs, bvcatalog.UpstreamPut{Revision: f.revision, Upstream: u})
	}
	f.catalog.Replace(f.now, 0, f.revision, cs)
	f.pass(3 * time.Second)
	return f
}

// BenchmarkOpen measures an opening and, if upstreams answer, the packet after
// it, 1 ms apart: with all upstreams well, with a sixth of them cold and without
// a budget, and with all of them silent.
func BenchmarkOpen(b *testing.B) {
	tests := []struct {
		name   string
		coldth int
		silent bool
	}{{"well", 0, false}, {"cold", 6, false}, {"silent", 0, true}}
	for _, tt := range tests {
		for _, n := range []int{14, 480, 5000} {
			b.Run(fmt.Sprint(tt.name, "/", n), func(b *testing.B) {
				f := newService(n, tt.coldth)
				open := func() {
					f.now = f.now.Add(time.Millisecond)
					f.catalog.Answered(f.now, 0)
					x := f.caller(tickets)
					f.open(x)
					if !tt.silent {
						f.router.Route(f.now, x.packet(bvflow.PhaseEstablished, 0))
					}
				}
				for range 3 * n {
					open()
				}
				b.ReportAllocs()
				for b.Loop() {
					open()
				}
			})
		}
	}
}
