// Package bvstandrelay has a plain UDP relay, the baseline for a balancer's
// throughput, and a packet generator that measures the packets per second that
// pass an address.
//
// # Usage
//
//	err := bvstandrelay.Relay(ctx, bvstandrelay.Options{Listen: a, To: b})
//	result, err := bvstandrelay.LoadBurst(ctx, options, clockwork.NewRealClock())
//
// With routes, the relay replaces a balancer in tests of the other stand-ins:
// it chooses the upstream by the inner destination address and sets the
// service's VNI.
package bvstandrelay

import (
	"context"
	"encoding/binary"
	"net/netip"

	"balsamvane/standin/bvwire"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// Options configure a relay.
type Options struct {
	Listen netip.AddrPort
	To     netip.AddrPort // Receives the packets.
	// Routes are by service address. If there are any, To is not used.
	Routes map[netip.AddrPort]Route
}

// Route is the network and destination of packets for a service address.
type Route struct {
	VNI uint32
	To  netip.AddrPort
}

// Relay forwards packets until ctx ends.
func Relay(ctx context.Context, o Options) error {
	c, err := bvwire.Listen(o.Listen)
	if err != nil {
		return err
	}
	var wg conc.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wg.Go(func() { <-ctx.Done(); _ = c.Close() })
	b := make([]byte, 65536)
	for {
		n, _, err := c.ReadFromUDPAddrPort(b)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return eris.Wrap(err, "bvstandrelay: receive")
		}
		to := o.To
		if len(o.Routes) > 0 {
			_, s, err := bvwire.Decode(b[:n])
			r, ok := o.Routes[s.Destination]
			if err != nil || !ok {
				continue
			}
			binary.BigEndian.PutUint32(b[4:8], r.VNI<<8)
			to = r.To
		}
		// The caller retransmits a packet that is not sent.
		_, _ = c.WriteToUDPAddrPort(b[:n], to)
	}
}
