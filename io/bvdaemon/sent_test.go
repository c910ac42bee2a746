package bvdaemon

import (
	"testing"
	"time"

	"balsamvane/core/bvflow"
	"balsamvane/io/bvtunnel"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// sentOpening is one call of [fakeNode.Sent].
type sentOpening struct {
	from, by time.Time
	port     uint16
}

func (n *fakeNode) Sent(from, by time.Time, p bvflow.Packet) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent = append(n.sent, sentOpening{from: from, by: by, port: p.Destination.Port()})
}

// sentPorts returns the destination ports of the openings that were sent.
func (n *fakeNode) sentPorts() (ports []uint16) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.sent {
		ports = append(ports, s.port)
	}
	return ports
}

func (n *fakeNode) packetCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.packets)
}

func (n *fakeNode) newestPacket() bvflow.Packet {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.packets[len(n.packets)-1]
}

// TestTimesOfPackets guards against a node that is not told when packets arrived
// and when openings were sent, and takes the time of reading for both. Openings
// that were refused or dropped, and other packets, do not count as sent.
func TestTimesOfPackets(t *testing.T) {
	h := startHarness(t)
	begin := h.clock.Now()
	// The times are unknown until the reader has found its socket empty.
	require.Eventually(t, func() bool {
		h.sendFromFabric(t, tcpPacket(t, 1, true))
		h.receive(t)
		return h.node.newestPacket().ArrivedAfter.Equal(begin)
	}, 5*time.Second, time.Millisecond)
	first := h.node.packetCount()
	for _, p := range [][]byte{
		tcpPacket(t, 1, true), tcpPacket(t, 4, false), tcpPacket(t, 3, false), tcpPacket(t, 1, false), tcpPacket(t, 2, false),
	} {
		h.sendFromFabric(t, p)
	}
	require.Eventually(t, func() bool { return len(h.node.sentPorts()) >= 2 }, 5*time.Second, time.Millisecond)
	assert.ElementsMatch(t, []uint16{1, 2}, h.node.sentPorts())
	h.stop()
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	for _, s := range h.node.sent {
		assert.False(t, s.from.Before(begin) || s.by.Before(s.from), "the times of sending")
	}
	require.Len(t, h.node.packets[first:], 5)
	for _, p := range h.node.packets[first:] {
		assert.Equal(t, begin, p.ArrivedAfter)
	}
	assert.Len(t, h.node.sent, 2)
}

// TestDecisionsAfterWait guards against packets that are dropped as decided before a
// pause although their worker only waited for the node, which was busy with a
// configuration.
func TestDecisionsAfterWait(t *testing.T) {
	h := startHarness(t)
	h.daemon.mu.Lock()
	h.sendFromFabric(t, tcpPacket(t, 1, true))
	time.Sleep(50 * time.Millisecond) // The worker reaches the lock.
	h.clock.Advance(2 * maxDecisionAge)
	h.daemon.mu.Unlock()
	require.NoError(t, h.remote.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, inner, err := bvtunnel.DecodeFabric(h.receive(t))
	require.NoError(t, err)
	assert.Equal(t, tcpPacket(t, 1, true), inner)
}
