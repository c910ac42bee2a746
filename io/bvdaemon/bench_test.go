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

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// constantNode returns the same decision for every packet, so that only the I/O
// is measured.
type constantNode struct {
	*fakeNode
	decision bvroute.Decision
}

func (n *constantNode) Packet(time.Time, bvflow.Packet, bvroute.Trail, bvroute.Record) bvroute.Decision {
	return n.decision
}

// measureThroughput sends packets to addr until destination has received b.N of
// them. Lost packets are not counted.
func measureThroughput(b *testing.B, addr netip.AddrPort, destination *bvtunnel.Socket) {
	p, err := bvtunnel.AppendPlain(nil, 5, append(tcpPacket(b, 1, true), make([]byte, 500)...))
	require.NoError(b, err)
	p[geneveHeaderSize+2], p[geneveHeaderSize+3] = 2, 28 // IPv4 length: 40 + 500.
	var received atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		in := bvtunnel.NewInBatch()
		for received.Load() < int64(b.N) {
			if err := destination.Read(in); err != nil {
				return
			}
			received.Add(int64(in.Len()))
		}
	}()
	senders := make([]*bvtunnel.Socket, 4)
	for i := range senders {
		s, err := bvtunnel.Listen(b.Context(), netip.MustParseAddrPort("127.0.0.1:0"), 1, clockwork.NewRealClock())
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
			out.Add(append(out.Buffer(), p...), addr)
		}
		senders[i%len(senders)].Write(out)
	}
}

const geneveHeaderSize = 8

// BenchmarkDaemon measures packets through the sockets, queues and workers of
// a daemon whose node returns a constant decision.
func BenchmarkDaemon(b *testing.B) {
	h := startHarnessWith(b, zap.NewNop(), func(n *fakeNode, s *bvsettings.Settings) Node {
		return &constantNode{fakeNode: n, decision: bvroute.Decision{Verdict: bvroute.VerdictUpstream, Tunnel: s.Fabric.Return, VNI: 1}}
	})
	b.ReportAllocs()
	measureThroughput(b, h.daemon.Addresses().Fabric, h.remote)
}

// BenchmarkBareRelay measures a relay that only copies datagrams, for comparison.
func BenchmarkBareRelay(b *testing.B) {
	local := netip.MustParseAddrPort("127.0.0.1:0")
	destination, err := bvtunnel.Listen(b.Context(), local, 1, clockwork.NewRealClock())
	require.NoError(b, err)
	to := destination[0].Address()
	relay, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	require.NoError(b, err)
	for range socketsPerAddress {
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
	measureThroughput(b, relay.LocalAddr().(*net.UDPAddr).AddrPort(), destination[0])
	_ = relay.Close()
	_ = destination[0].Close()
}
