package bvrelay

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"balsamvane/core/bvcatalog"
	"balsamvane/core/bvfanout"
	"balsamvane/core/bvrevision"
	"balsamvane/io/bvcodec"
	"balsamvane/io/bvfollower"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// meteredListener counts the bytes of its connections in both directions.
type meteredListener struct {
	net.Listener
	bytes atomic.Int64
}

func (l *meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return meteredConn{c, l}, err
}

type meteredConn struct {
	net.Conn
	listener *meteredListener
}

func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.listener.bytes.Add(int64(n))
	return n, err
}

func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.listener.bytes.Add(int64(n))
	return n, err
}

// BenchmarkWatch measures the cost of a watch at client and server together: with
// an answer without changes, and with one changed upstream.
func BenchmarkWatch(b *testing.B) {
	for name, after := range map[string]bvrevision.Revision{"noChange": rev(8), "oneChange": rev(7)} {
		b.Run(name, func(b *testing.B) {
			p := newFakeProvider()
			p.catalog.Replace(time.Unix(0, 0), 0, rev(7), allChanges[:1])
			p.catalog.Apply(time.Unix(0, 0), 0, rev(8), allChanges[3:4])
			p.catalog.RecordWatermark(rev(8), time.Now().Add(-1500*time.Millisecond))
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(b, err)
			metered := &meteredListener{Listener: l}
			ctx, cancel := context.WithCancel(b.Context())
			done := make(chan error, 1)
			server := NewServer(p, bvfanout.New(bvfanout.Options{Zone: "zone-a"}), clockwork.NewRealClock(), time.Second)
			go func() { done <- server.Serve(ctx, metered) }()
			address := l.Addr().(*net.TCPAddr).AddrPort()
			client := NewClient(address, bvfanout.Follower{Address: address, Zone: "zone-a"}, clockwork.NewRealClock())
			b.ReportAllocs()
			for b.Loop() {
				_, err := client.Watch(ctx, bvfollower.Position{Revision: after}, 0)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(metered.bytes.Load())/float64(b.N), "wireB/op")
			cancel()
			<-done
		})
	}
}

// largeConfiguration returns a configuration with a number of routes to 12 services.
func largeConfiguration(version uint64, routes int) bvcatalog.Configuration {
	d := bvcatalog.Configuration{Version: version}
	for i := range routes {
		address := netip.AddrFrom4([4]byte{198, 18, byte(i / 250), byte(1 + i%250)})
		d.Routes = append(d.Routes, bvcatalog.Route{
			Name: fmt.Sprintf("r-%d", i), Address: netip.AddrPortFrom(address, 443), Idempotent: true,
			Backends: []bvcatalog.Backend{{Service: fmt.Sprintf("service-%d", i%12), Weight: 1}},
		})
	}
	for i := range 12 {
		d.Services = append(d.Services, bvcatalog.ServiceLimits{Name: fmt.Sprintf("service-%d", i), Connections: 2000})
	}
	return d
}

// BenchmarkLargeConfiguration measures an answer to a follower that is behind by a number
// of versions of a large configuration, at the source and at the follower.
func BenchmarkLargeConfiguration(b *testing.B) {
	codec := bvcodec.New()
	for _, versions := range []int{1, 4} {
		p := newFakeProvider()
		p.catalog.Replace(time.Unix(0, 0), 0, rev(1), nil)
		for i := range versions {
			p.catalog.Apply(time.Unix(0, 0), 0, rev(int64(2+i)), []bvcatalog.Change{largeConfiguration(uint64(1+i), 1650)})
		}
		answer := func(b *testing.B) []byte {
			l, ok := p.Since(rev(1))
			require.True(b, ok)
			body, err := codec.Marshal(encode(l, time.Unix(0, 0)))
			require.NoError(b, err)
			return body
		}
		b.Run(fmt.Sprintf("source/%dversions", versions), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				answer(b)
			}
			b.ReportMetric(float64(len(answer(b))), "answerB")
		})
		b.Run(fmt.Sprintf("follower/%dversions", versions), func(b *testing.B) {
			body := answer(b)
			b.ReportAllocs()
			for b.Loop() {
				var a watchAnswer
				require.NoError(b, codec.Unmarshal(body, &a))
				_, err := a.decode(time.Unix(0, 0))
				require.NoError(b, err)
			}
		})
	}
}
