// Package bvstandfabric stands in for the network fabric: it sprays the
// caller's Geneve packets over the balancers at random, and passes refusals
// of balancers back to the caller.
//
// # Usage
//
//	f := bvstandfabric.New(options, clockwork.NewRealClock())
//	err := f.Run(ctx)
//
// The file of balancer addresses has one ip:port a line. It is read again
// when its content changes.
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

// Options describe the fabric.
type Options struct {
	Listen        netip.AddrPort // Packets of the caller.
	Return        netip.AddrPort // Refusals of balancers.
	Caller        netip.AddrPort // Where refusals go.
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

// New returns a fabric without balancers; Run reads them.
func New(o Options, clock clockwork.Clock) *Fabric {
	return &Fabric{options: o, clock: clock, random: rand.New(rand.NewPCG(o.Seed, 0))}
}

// Run passes packets until ctx ends.
func (f *Fabric) Run(ctx context.Context) error {
	if err := f.readBalancers(); err != nil {
		return err
	}
	in, err := bvwire.Listen(f.options.Listen)
	if err != nil {
		return err
	}
	back, err := bvwire.Listen(f.options.Return)
	if err != nil {
		return err
	}
	var wg conc.WaitGroup
	wg.Go(func() { pass(in, f.pick) })
	wg.Go(func() { pass(back, func() (netip.AddrPort, bool) { return f.options.Caller, true }) })
	ticker := f.clock.NewTicker(pollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.Chan():
			// A file that is being replaced is read at the next poll.
			_ = f.readBalancers()
		}
	}
	_ = in.Close()
	_ = back.Close()
	wg.Wait()
	return nil
}

// pass sends each packet from c to the address that to returns.
func pass(c *net.UDPConn, to func() (netip.AddrPort, bool)) {
	b := make([]byte, 65536)
	for {
		n, _, err := c.ReadFromUDPAddrPort(b)
		if err != nil {
			return // Closed by Run.
		}
		if a, ok := to(); ok {
			// The fabric loses packets to balancers that are down.
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
		return eris.Wrap(err, "bvstandfabric: balancers")
	}
	var l []netip.AddrPort
	for _, line := range strings.Fields(string(b)) {
		a, err := netip.ParseAddrPort(line)
		if err != nil {
			return eris.Wrap(err, "bvstandfabric: balancers")
		}
		l = append(l, a)
	}
	f.balancers.Store(&l)
	return nil
}
