// Package bvstandfabric stands in for the network fabric: it forwards each
// Geneve packet of the caller to a random balancer, and refusals of balancers
// (TCP RST or ICMP port unreachable) to the caller.
//
// # Usage
//
//	f := bvstandfabric.New(options, clockwork.NewRealClock())
//	err := f.Run(ctx)
//
// The file of balancer addresses has one ip:port a line. It is read again
// every 50 ms.
package bvstandfabric

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"balsamvane/standin/bvwire"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

const pollInterval = 50 * time.Millisecond

// Options configure a [Fabric].
type Options struct {
	Listen        netip.AddrPort // Receives packets of the caller.
	Return        netip.AddrPort // Receives refusals of balancers.
	Caller        netip.AddrPort // Receives the forwarded refusals.
	BalancersFile string
	Seed          uint64
}

// Fabric is a running stand-in.
type Fabric struct {
	options   Options
	clock     clockwork.Clock
	random    *rand.Rand
	balancers atomic.Pointer[[]netip.AddrPort]
}

// New returns a fabric without balancers; Run reads their addresses.
func New(o Options, clock clockwork.Clock) *Fabric {
	return &Fabric{options: o, clock: clock, random: rand.New(rand.NewPCG(o.Seed, 0))}
}

// Run forwards packets until ctx ends.
func (f *Fabric) Run(ctx context.Context) error {
	if err := f.readBalancers(); err != nil {
		return err
	}
	callerConn, err := bvwire.Listen(f.options.Listen)
	if err != nil {
		return err
	}
	returnConn, err := bvwire.Listen(f.options.Return)
	if err != nil {
		return err
	}
	var wg conc.WaitGroup
	wg.Go(func() { forward(callerConn, f.pick) })
	wg.Go(func() { forward(returnConn, func() (netip.AddrPort, bool) { return f.options.Caller, true }) })
	ticker := f.clock.NewTicker(pollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.Chan():
			// After an error the addresses stay, and the next poll reads the
			// file again; it may be in the middle of a replacement.
			_ = f.readBalancers()
		}
	}
	_ = callerConn.Close()
	_ = returnConn.Close()
	wg.Wait()
	return nil
}

// forward sends each packet that c receives to the address that destination
// returns.
func forward(c *net.UDPConn, destination func() (netip.AddrPort, bool)) {
	b := make([]byte, 65536)
	for {
		n, _, err := c.ReadFromUDPAddrPort(b)
		if err != nil {
			return // Closed by Run.
		}
		if a, ok := destination(); ok {
			// Packets to balancers that are down are lost.
			_, _ = c.WriteToUDPAddrPort(b[:n], a)
		}
	}
}

func (f *Fabric) pick() (netip.AddrPort, bool) {
	l := *f.balancers.Load()
	if len(l) == 0 {
		return netip.AddrPort{}, false
	}
	return l[f.random.IntN(len(l))], true
}

func (f *Fabric) readBalancers() error {
	b, err := os.ReadFile(f.options.BalancersFile)
	if err != nil {
		return eris.Wrap(err, "bvstandfabric: read the balancers file")
	}
	var l []netip.AddrPort
	for _, line := range strings.Fields(string(b)) {
		a, err := netip.ParseAddrPort(line)
		if err != nil {
			return eris.Wrap(err, "bvstandfabric: parse a balancer address")
		}
		l = append(l, a)
	}
	f.balancers.Store(&l)
	return nil
}
