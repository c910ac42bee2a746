package bvflow

import (
	"net"
	"net/netip"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func build(t testing.TB, l ...gopacket.SerializableLayer) []byte {
	b := gopacket.NewSerializeBuffer()
	require.NoError(t, gopacket.SerializeLayers(b, gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}, l...))
	return b.Bytes()
}

func ipv4(proto layers.IPProtocol) *layers.IPv4 {
	return &layers.IPv4{
		Version: 4, IHL: 5, TTL: 64, Protocol: proto,
		SrcIP: net.IP{192, 0, 2, 1}, DstIP: net.IP{198, 51, 100, 1},
	}
}

func ipv6(proto layers.IPProtocol) *layers.IPv6 {
	return &layers.IPv6{
		Version: 6, HopLimit: 64, NextHeader: proto,
		SrcIP: net.ParseIP("2001:db8::1"), DstIP: net.ParseIP("2001:db8::2"),
	}
}

func tcp(t testing.TB, ip gopacket.NetworkLayer, set func(*layers.TCP)) *layers.TCP {
	h := &layers.TCP{SrcPort: 1000, DstPort: 443, Seq: 9, Window: 100}
	set(h)
	require.NoError(t, h.SetNetworkLayerForChecksum(ip))
	return h
}

func packets(t testing.TB) map[string][]byte {
	p4, p6 := ipv4(layers.IPProtocolTCP), ipv6(layers.IPProtocolTCP)
	u4 := ipv4(layers.IPProtocolUDP)
	u := &layers.UDP{SrcPort: 1000, DstPort: 443}
	require.NoError(t, u.SetNetworkLayerForChecksum(u4))
	frag := ipv4(layers.IPProtocolTCP)
	frag.Flags = layers.IPv4MoreFragments
	return map[string][]byte{
		"syn4": build(t, p4, tcp(t, p4, func(h *layers.TCP) { h.SYN = true })),
		"synPayload6": build(t, p6, tcp(t, p6, func(h *layers.TCP) {
			h.SYN = true
			h.Options = []layers.TCPOption{{OptionType: layers.TCPOptionKindMSS, OptionLength: 4, OptionData: []byte{5, 0}}}
		}), gopacket.Payload("abc")),
		"ack4":     build(t, p4, tcp(t, p4, func(h *layers.TCP) { h.ACK = true }), gopacket.Payload("abcd")),
		"fin4":     build(t, p4, tcp(t, p4, func(h *layers.TCP) { h.FIN, h.ACK = true, true })),
		"rst6":     build(t, p6, tcp(t, p6, func(h *layers.TCP) { h.RST = true })),
		"udp4":     build(t, u4, u, gopacket.Payload("hello")),
		"fragment": build(t, frag, tcp(t, frag, func(h *layers.TCP) { h.SYN = true })),
		"icmp":     build(t, ipv4(layers.IPProtocolICMPv4), gopacket.Payload("12345678")),
		"empty":    {},
		"version":  {0x55, 1, 2, 3},
	}
}

// TestParse guards against a wrong phase or payload size, which would let an
// opening with a request be processed twice, and against fragments that are
// parsed as whole packets.
func TestParse(t *testing.T) {
	in := packets(t)
	var p Parser
	for name, want := range map[string]Packet{
		"syn4":        {Phase: PhaseOpening, Sequence: 9},
		"synPayload6": {Phase: PhaseOpening, Payload: 3, Sequence: 9},
		"ack4":        {Phase: PhaseEstablished, Payload: 4, Sequence: 9},
		"fin4":        {Phase: PhaseClosing, Sequence: 9},
		"rst6":        {Phase: PhaseReset, Sequence: 9},
		"udp4":        {Phase: PhaseDatagram, Payload: 5},
	} {
		got, err := p.Parse(in[name])
		require.NoError(t, err, name)
		assert.Equal(t, uint16(443), got.Destination.Port(), name)
		assert.Equal(t, want.Phase, got.Phase, name)
		assert.Equal(t, want.Payload, got.Payload, name)
		assert.Equal(t, want.Sequence, got.Sequence, name)
		for n := range len(in[name]) {
			_, err := p.Parse(in[name][:n])
			assert.ErrorIs(t, err, ErrTruncated, "%s cut to %d bytes", name, n)
		}
	}
	got, err := p.Parse(in["syn4"])
	require.NoError(t, err)
	assert.Equal(t, netip.MustParseAddrPort("192.0.2.1:1000"), got.Source)
	for name, want := range map[string]error{
		"fragment": ErrFragment, "icmp": ErrProtocol, "empty": ErrTruncated, "version": ErrVersion,
	} {
		_, err := p.Parse(in[name])
		assert.ErrorIs(t, err, want, name)
	}
}

// TestParseAllocations guards against allocations for each packet.
func TestParseAllocations(t *testing.T) {
	in := packets(t)
	var p Parser
	for _, name := range []string{"syn4", "synPayload6", "ack4", "udp4"} {
		assert.Zero(t, testing.AllocsPerRun(100, func() { _, _ = p.Parse(in[name]) }), name)
	}
}

// FuzzParse guards against panics and payloads larger than the packet.
func FuzzParse(f *testing.F) {
	for _, b := range packets(f) {
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var p Parser
		got, err := p.Parse(b)
		if err == nil && (got.Payload < 0 || got.Payload > len(b)) {
			t.Fatalf("payload of %d bytes in a packet of %d", got.Payload, len(b))
		}
	})
}
