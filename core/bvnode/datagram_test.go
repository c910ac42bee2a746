package bvnode

import (
	"testing"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvflow"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestPromise7DatagramWhileZoneTakenOut guards against a request over UDP that
// runs twice: it goes to a VM of a zone that is then taken out of service, and the
// new owner sends its retransmission to a VM of its own zone.
//
// Balancers that have started with the whole group serve new requests at once,
// since no request can have been sent before.
func TestPromise7DatagramWhileZoneTakenOut(t *testing.T) {
	for _, uptime := range []time.Duration{8 * time.Second, 70 * time.Second} {
		twice, served := datagramsWhileZoneTakenOut(t, uptime)
		assert.Zero(t, twice, uptime)
		assert.Equal(t, 200, served, uptime)
	}
}

func datagramsWhileZoneTakenOut(t *testing.T, uptime time.Duration) (twice, served int) {
	c := testConfig(1, 2, 3)
	c.Services[0].Protocol = bvflow.ProtocolUDP
	g := newCluster(t, c, 0)
	g.run(uptime)
	g.requireActive()
	datagram := func(f int) bvflow.Packet {
		p := packet(f, bvflow.PhaseDatagram)
		p.Protocol, p.Payload = bvflow.ProtocolUDP, 10
		return p
	}
	upstreamOf := map[int]bvconfig.UpstreamID{}
	for f := range 200 {
		upstreamOf[f], _ = g.send("lb-b0", datagram(f))
		require.NotZero(t, upstreamOf[f])
	}
	next := withZoneState(c, 2, "b", true)
	g.platform = &next
	g.run(3 * TickInterval)
	for f := range 200 {
		for _, n := range g.names {
			if u, _ := g.send(n, datagram(f)); u != 0 && u != upstreamOf[f] {
				twice++
				break
			}
		}
	}
	// New requests are served meanwhile.
	for f := 200; f < 400; f++ {
		if g.sendRetrying(datagram(f)) != 0 {
			served++
		}
	}
	return twice, served
}
