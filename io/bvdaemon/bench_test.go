package bvdaemon

import (
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"balsamvane/core/bvflow"
	"balsamvane/core/bvroute"
	"balsamvane/io/bvsettings"
	"balsamvane/io/bvtunnel"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// constantNode decides every packet alike, so that only the I/O is measured.
type constantNode struct {
	*fakeNode
	decision bvroute.Decision
}

func (n *constantNode) Packet(time.Time, bvflow.Packet, bvroute.Trail, bvroute.Record) bvroute.Decision {
	return n.decision
}

// pump sends packets to addr and counts those that come back, until b.N have.
// Lost packets do not count.
func pump(b *testing.B, to netip.AddrPort, sink *bvtunnel.Socket) {
	p, err := bvtunnel.AppendPlain(nil, 5, append(syn(b, 1, true), make([]byte, 500)...))
	require.NoError(b, err)
	p[headerSizeForTest+2], p[headerSizeForTest+3] = 2, 28 // IPv4 length: 40 + 500.
	var received atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		in := bvtunnel.NewInBatch()
		for received.Load() < int64(b.N) {
			if err := sink.Read(in); err != nil {
				return
			}
			received.Add(int64(in.Len()))
		}
	}()
	senders := make([]*bvtunnel.Socket, 4)
	for i := range senders {
		s, err := bvtunnel.Listen(b.Context(), netip.MustParseAddrPort("127.0.0.1:0"), 1)
		require.NoError(b, err)
		senders[i] = s[0]
	}
	b.ResetTimer()
	out := bvtunnel.NewOutBatch()
	for i := 0; ; i++ {
		select {
		case <-done:
			b.StopTimer()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "packets/s")
			for _, s := range senders {
				_ = s.Close()
			}
			return
		default:
		}
		for !out.Full() {
			out.Add(append(out.Buffer(), p...), to)
		}
		senders[i%len(senders)].Write(out)
	}
}

const headerSizeForTest = 8

// BenchmarkDaemon measures packets through the sockets, queues and workers of
// a daemon whose node decides nothing.
func BenchmarkDaemon(b *testing.B) {
	h := startNode(b, zap.NewNop(), func(n *fakeNode, s *bvsettings.Settings) Node {
		return &constantNode{fakeNode: n, decision: bvroute.Decision{Verdict: bvroute.VerdictUpstream, Tunnel: s.Fabric.Return, VNI: 1}}
	})
	b.ReportAllocs()
	pump(b, h.daemon.Addresses().Fabric, h.outside)
}

// BenchmarkBareRelay measures a relay that only copies datagrams.
func BenchmarkBareRelay(b *testing.B) {
	local := netip.MustParseAddrPort("127.0.0.1:0")
	sink, err := bvtunnel.Listen(b.Context(), local, 1)
	require.NoError(b, err)
	to := sink[0].Address()
	relay, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	require.NoError(b, err)
	for range readers {
		go func() {
			buffer := make([]byte, bvtunnel.MaxPacket)
			for {
				n, _, err := relay.ReadFromUDPAddrPort(buffer)
				if errors.Is(err, net.ErrClosed) {
					return
				}
				_, _ = relay.WriteToUDPAddrPort(buffer[:n], to)
			}
		}()
	}
	b.ReportAllocs()
	pump(b, relay.LocalAddr().(*net.UDPAddr).AddrPort(), sink[0])
	_ = relay.Close()
	_ = sink[0].Close()
}
