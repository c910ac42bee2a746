package bvstandrelay

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"balsamvane/standin/bvwire"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// freeAddress returns a loopback address with a port that is not in use.
func freeAddress(t *testing.T) netip.AddrPort {
	c, err := bvwire.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	return c.LocalAddr().(*net.UDPAddr).AddrPort()
}

// TestLoadBurstThroughRelay guards against a measurement that counts packets
// that have not passed through the relay.
func TestLoadBurstThroughRelay(t *testing.T) {
	service := netip.MustParseAddrPort("203.0.113.10:443")
	o := BurstOptions{To: freeAddress(t), Receive: freeAddress(t), Destination: service, Flows: 10, Size: 50, Window: 8, Duration: 20 * time.Millisecond}
	for name, relay := range map[string]Options{
		"bare":   {Listen: o.To, To: o.Receive},
		"routes": {Listen: o.To, Routes: map[netip.AddrPort]Route{service: {VNI: 101, To: o.Receive}}},
	} {
		ctx, cancel := context.WithCancel(t.Context())
		var wg conc.WaitGroup
		wg.Go(func() { assert.NoError(t, Relay(ctx, relay)) })
		r, err := LoadBurst(ctx, o, clockwork.NewRealClock())
		require.NoError(t, err, name)
		assert.Positive(t, r.Received, name)
		assert.LessOrEqual(t, r.Received, r.Sent, name)
		cancel()
		wg.Wait()
	}
}
