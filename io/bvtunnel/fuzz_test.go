package bvtunnel

import (
	"net/netip"
	"testing"

	"balsamvane/core/bvmember"

	"github.com/stretchr/testify/require"
)

func mustAddrPort(s string) netip.AddrPort { return netip.MustParseAddrPort(s) }

// FuzzDecodeFabric guards against panics, empty payloads and payloads longer
// than the packet.
func FuzzDecodeFabric(f *testing.F) {
	b, err := AppendPlain(nil, 5, synPacket(f, false))
	require.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		_, inner, err := DecodeFabric(b)
		if err == nil && (len(inner) == 0 || len(inner) > len(b)-headerSize) {
			t.Fatalf("payload of %d bytes in a packet of %d", len(inner), len(b))
		}
	})
}

// FuzzDecodeOptions guards against panics on malformed options with a valid MAC,
// which a faulty peer may send, and against packets that change when encoded
// again.
func FuzzDecodeOptions(f *testing.F) {
	b, err := NewCodec(testKeys).AppendForwarded(nil, samplePacket(synPacket(f, true)))
	require.NoError(f, err)
	f.Add(b[headerSize:len(b)-len(synPacket(f, true))-macSize], synPacket(f, true))
	f.Fuzz(func(t *testing.T, options, inner []byte) {
		c := NewCodec(testKeys)
		options = options[:min(len(options), 240)/4*4]
		require.NoError(t, c.refreshKeys())
		b := appendHeader(nil, len(options)+macSize, protocolIPv4, 1)
		b = c.appendAuthenticated(append(b, options...), headerSize, inner)
		p, err := c.DecodeForwarded(b)
		if err != nil {
			return
		}
		again, err := c.AppendForwarded(nil, p)
		require.NoError(t, err)
		q, err := c.DecodeForwarded(again)
		require.NoError(t, err)
		require.Equal(t, p, q)
	})
}

// FuzzDecodeForwarded guards against panics on arbitrary packets.
func FuzzDecodeForwarded(f *testing.F) {
	b, err := NewCodec(testKeys).AppendForwarded(nil, samplePacket(synPacket(f, false)))
	require.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) {
		c := NewCodec(testKeys)
		_, _ = c.DecodeForwarded(b)
		_, _ = c.DecodeHeartbeat(b)
	})
}

// FuzzDecodeHeartbeat guards against panics on arbitrary CBOR bodies.
func FuzzDecodeHeartbeat(f *testing.F) {
	b, err := NewCodec(testKeys).AppendHeartbeat(nil, bvmember.Heartbeat{Node: 1, Dead: []bvmember.DeadPeer{{Node: 2}}})
	require.NoError(f, err)
	f.Add(b[headerSize+macSize:])
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = decodeHeartbeatBody(b)
	})
}
