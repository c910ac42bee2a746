package bvstandfabric

import (
	"context"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"balsamvane/standin/bvwire"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func listen(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	c, err := bvwire.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c, c.LocalAddr().(*net.UDPAddr).AddrPort()
}

// freeAddress returns a loopback address with a port that is not in use.
func freeAddress(t *testing.T) netip.AddrPort {
	c, a := listen(t)
	require.NoError(t, c.Close())
	return a
}

func receive(t *testing.T, c *net.UDPConn) string {
	require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Minute)))
	b := make([]byte, 100)
	n, _, err := c.ReadFromUDPAddrPort(b)
	require.NoError(t, err)
	return string(b[:n])
}

// TestFabric guards against a fabric that sends nothing to a listed balancer,
// still sends to one that the file no longer lists, or loses refusals.
func TestFabric(t *testing.T) {
	first, a := listen(t)
	second, b := listen(t)
	caller, callerAddress := listen(t)
	file := filepath.Join(t.TempDir(), "balancers")
	require.NoError(t, os.WriteFile(file, []byte(a.String()+"\n"), 0o600))
	o := Options{Listen: freeAddress(t), Return: freeAddress(t), Caller: callerAddress, BalancersFile: file, Seed: 1}
	clock := clockwork.NewFakeClock()
	f := New(o, clock)
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() { assert.NoError(t, f.Run(ctx)) })
	defer wg.Wait()
	defer cancel()
	require.NoError(t, clock.BlockUntilContext(ctx, 1))

	send := func(to netip.AddrPort, s string) {
		_, err := caller.WriteToUDPAddrPort([]byte(s), to)
		require.NoError(t, err)
	}
	send(o.Listen, "one")
	assert.Equal(t, "one", receive(t, first))
	send(o.Return, "refusal")
	assert.Equal(t, "refusal", receive(t, caller))

	require.NoError(t, os.WriteFile(file, []byte(b.String()+"\n"), 0o600))
	assert.Eventually(t, func() bool {
		clock.Advance(pollInterval)
		l := *f.balancers.Load()
		return len(l) == 1 && l[0] == b
	}, time.Minute, time.Millisecond)
	send(o.Listen, "two")
	assert.Equal(t, "two", receive(t, second))
}

// TestFabricDistributes guards against a choice of balancers that skips one, or
// differs between runs with the same seed.
func TestFabricDistributes(t *testing.T) {
	l := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")}
	picks := func() (p []netip.AddrPort) {
		f := New(Options{Seed: 1}, clockwork.NewFakeClock())
		f.balancers.Store(&l)
		for range 100 {
			a, ok := f.pick()
			require.True(t, ok)
			p = append(p, a)
		}
		return p
	}
	assert.Equal(t, picks(), picks())
	assert.Subset(t, picks(), l)
}
