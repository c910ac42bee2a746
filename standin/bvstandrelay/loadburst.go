package bvstandrelay

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"balsamvane/standin/bvwire"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// stallTimeout is the time without a received packet after which all packets
// in flight count as lost.
const stallTimeout = 20 * time.Millisecond

// BurstOptions configure a [LoadBurst].
type BurstOptions struct {
	To          netip.AddrPort // Relay or balancer.
	Receive     netip.AddrPort // Receives the packets; all upstreams may have this address.
	Destination netip.AddrPort // Service address inside the packets.
	Flows       int
	Size        int // Payload bytes of a packet.
	Window      int // Maximum number of packets in flight.
	Duration    time.Duration
	Seed        uint64
}

// BurstResult is the result of a [LoadBurst].
type BurstResult struct {
	Sent             uint64  `json:"sent"`
	Received         uint64  `json:"received"`
	Lost             uint64  `json:"lost"`
	Seconds          float64 `json:"seconds"`
	PacketsPerSecond float64 `json:"packetsPerSecond"`
}

// LoadBurst opens Flows flows with a SYN each and then sends data packets of
// these flows, with at most Window packets in flight. The measured rate is
// therefore the rate of the path and not of the generator.
func LoadBurst(ctx context.Context, o BurstOptions, clock clockwork.Clock) (BurstResult, error) {
	in, err := bvwire.Listen(o.Receive)
	if err != nil {
		return BurstResult{}, err
	}
	out, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(o.To))
	if err != nil {
		_ = in.Close()
		return BurstResult{}, eris.Wrap(err, "bvstandrelay: connect to the measured address")
	}
	defer func() { _ = out.Close() }()
	openings, data, err := o.packets()
	if err != nil {
		_ = in.Close()
		return BurstResult{}, err
	}
	b := &burst{options: o, clock: clock, out: out}
	var wg conc.WaitGroup
	wg.Go(func() { b.countReceived(in) })
	for _, p := range openings {
		b.send(p)
	}
	b.waitForPending()
	r := b.run(ctx, data)
	_ = in.Close()
	wg.Wait()
	return r, nil
}

type burst struct {
	options  BurstOptions
	clock    clockwork.Clock
	out      *net.UDPConn
	sent     uint64
	lost     uint64
	received atomic.Uint64
}

// packets returns a SYN and a data packet of each flow.
func (o BurstOptions) packets() (openings, data [][]byte, err error) {
	r := rand.New(rand.NewPCG(o.Seed, 3))
	for i := range o.Flows {
		n := uint32(i) * 7919
		s := bvwire.Segment{
			Source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), uint16(1024+r.IntN(60000))),
			Destination: o.Destination, SYN: true, Sequence: 1,
		}
		syn, err := bvwire.Encode(0, s)
		if err != nil {
			return nil, nil, err
		}
		s.SYN, s.ACK, s.Sequence, s.Payload = false, true, 2, make([]byte, o.Size)
		d, err := bvwire.Encode(0, s)
		if err != nil {
			return nil, nil, err
		}
		openings, data = append(openings, syn), append(data, d)
	}
	return openings, data, nil
}

func (b *burst) countReceived(in *net.UDPConn) {
	p := make([]byte, 65536)
	for {
		if _, _, err := in.ReadFromUDPAddrPort(p); err != nil {
			return // Closed by LoadBurst.
		}
		b.received.Add(1)
	}
}

// send waits until fewer than Window packets are in flight, and sends p. Packets
// in flight count as lost after stallTimeout.
func (b *burst) send(p []byte) {
	for b.inFlight() >= b.options.Window {
		before, since := b.received.Load(), b.clock.Now()
		for b.received.Load() == before {
			if b.clock.Since(since) > stallTimeout {
				b.lost += uint64(b.inFlight())
				break
			}
		}
	}
	// A packet that is not sent counts as lost.
	_, _ = b.out.Write(p)
	b.sent++
}

func (b *burst) inFlight() int { return int(int64(b.sent) - int64(b.lost) - int64(b.received.Load())) }

// waitForPending waits until all packets have arrived or count as lost.
func (b *burst) waitForPending() {
	for b.inFlight() > 0 {
		before := b.received.Load()
		b.clock.Sleep(stallTimeout)
		if b.received.Load() == before {
			b.lost += uint64(max(0, b.inFlight()))
		}
	}
}

func (b *burst) run(ctx context.Context, data [][]byte) BurstResult {
	sent, received, lost, start := b.sent, b.received.Load(), b.lost, b.clock.Now()
	for i := 0; ctx.Err() == nil; i++ {
		// The clock is read for every 64th packet only.
		if i%64 == 0 && b.clock.Since(start) >= b.options.Duration {
			break
		}
		b.send(data[i%len(data)])
	}
	seconds := b.clock.Since(start).Seconds()
	b.waitForPending()
	r := BurstResult{Sent: b.sent - sent, Received: b.received.Load() - received, Lost: b.lost - lost, Seconds: seconds}
	r.PacketsPerSecond = float64(r.Received) / seconds
	return r
}
