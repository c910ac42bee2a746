package bvrelay

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"balsamvane/core/bvfanout"
	"balsamvane/core/bvrevision"
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
