package bvtunnel

import (
	"net/netip"
	"testing"

	"balsamvane/core/bvmember"

	"github.com/stretchr/testify/require"
)

func mustAddrPort(s string) netip.AddrPort { return netip.MustParseAddrPort(s) }

// FuzzDecodeFabric guards against panics and payloads outside the packet.
func FuzzDecodeFabric(f *testing.F) {
	b, err := AppendPlain(nil, 5, syn(f, false))
	require.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		_, inner, err := DecodeFabric(b)
		if err == nil && (len(inner) == 0 || len(inner) > len(b)-headerSize) {
			t.Fatalf("payload of %d bytes in a packet of %d", len(inner), len(b))
		}
	})
}

// FuzzDecodeOptions guards against panics in options that have a valid MAC, as
// a faulty peer may send them.
func FuzzDecodeOptions(f *testing.F) {
	b, err := NewCodec(testKeys).AppendForwarded(nil, handed(syn(f, true)))
	require.NoError(f, err)
	f.Add(b[headerSize:len(b)-len(syn(f, true))-macSize], syn(f, true))
	f.Fuzz(func(t *testing.T, options, inner []byte) {
		c := NewCodec(testKeys)
		options = options[:min(len(options), 240)/4*4]
		require.NoError(t, c.refresh())
		b := appendHeader(nil, len(options)+macSize, protocolIPv4, 1)
		b = c.appendSealed(append(b, options...), headerSize, inner)
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

// FuzzDecodeHanded guards against panics on packets of any form.
func FuzzDecodeHanded(f *testing.F) {
	b, err := NewCodec(testKeys).AppendForwarded(nil, handed(syn(f, false)))
	require.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) {
		c := NewCodec(testKeys)
		_, _ = c.DecodeForwarded(b)
		_, _ = c.DecodeHeartbeat(b)
	})
}

// FuzzDecodeHeartbeat guards against panics on CBOR bodies of any form.
func FuzzDecodeHeartbeat(f *testing.F) {
	b, err := NewCodec(testKeys).AppendHeartbeat(nil, bvmember.Heartbeat{Node: 1, Dead: []bvmember.DeadPeer{{Node: 2}}})
	require.NoError(f, err)
	f.Add(b[headerSize+macSize:])
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = decodeHeartbeatBody(b)
	})
}
