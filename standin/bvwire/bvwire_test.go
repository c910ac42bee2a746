package bvwire

import (
	"net/netip"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var (
	source4 = netip.MustParseAddrPort("10.1.2.3:4000")
	dest4   = netip.MustParseAddrPort("203.0.113.10:443")
	source6 = netip.MustParseAddrPort("[fd00::1]:4000")
	dest6   = netip.MustParseAddrPort("[2001:db8::1]:443")
)

// TestEncodeDecode guards against fields that are lost in encoding or
// decoding, and against a Geneve protocol type that does not match the inner
// packet.
func TestEncodeDecode(t *testing.T) {
	for name, s := range map[string]Segment{
		"SYN over IPv4":  {Source: source4, Destination: dest4, SYN: true, Sequence: 7, Payload: []byte{}},
		"data over IPv6": {Source: source6, Destination: dest6, ACK: true, FIN: true, Sequence: 7, Acknowledgment: 8, Payload: []byte("x")},
		"RST over IPv4":  {Source: source4, Destination: dest4, RST: true, ACK: true, Acknowledgment: 8, Payload: []byte{}},
		"UDP over IPv4":  {Source: source4, Destination: dest4, UDP: true, Payload: []byte("summary 1\n")},
		"UDP over IPv6":  {Source: source6, Destination: dest6, UDP: true, Payload: []byte("summary 1\n")},
	} {
		b, err := Encode(0xABCDEF, s)
		require.NoError(t, err, name)
		vni, got, err := Decode(b)
		require.NoError(t, err, name)
		assert.Equal(t, uint32(0xABCDEF), vni, name)
		assert.Equal(t, s, got, name)
		want := []byte{0x08, 0x00}
		if s.Source.Addr().Is6() {
			want = []byte{0x86, 0xDD}
		}
		assert.Equal(t, want, b[2:4], name)
	}
}

// unreachable returns the ICMP message that a router sends about a packet.
func unreachable(t testing.TB, quoted Segment) []byte {
	b, err := Encode(0, quoted)
	require.NoError(t, err)
	inner := b[8:]
	buf := gopacket.NewSerializeBuffer()
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	src, dst := quoted.Destination.Addr().AsSlice(), quoted.Source.Addr().AsSlice()
	if quoted.Source.Addr().Is4() {
		require.NoError(t, gopacket.SerializeLayers(buf, opts,
			&layers.Geneve{Protocol: layers.EthernetTypeIPv4},
			&layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolICMPv4, SrcIP: src, DstIP: dst},
			&layers.ICMPv4{TypeCode: layers.CreateICMPv4TypeCode(3, 3)}, gopacket.Payload(inner[:28])))
		return buf.Bytes()
	}
	ip := &layers.IPv6{Version: 6, HopLimit: 64, NextHeader: layers.IPProtocolICMPv6, SrcIP: src, DstIP: dst}
	icmp := &layers.ICMPv6{TypeCode: layers.CreateICMPv6TypeCode(1, 4)}
	require.NoError(t, icmp.SetNetworkLayerForChecksum(ip))
	require.NoError(t, gopacket.SerializeLayers(buf, opts, &layers.Geneve{Protocol: layers.EthernetTypeIPv6}, ip, icmp,
		gopacket.Payload(append(make([]byte, 4), inner...))))
	return buf.Bytes()
}

// TestDecodeUnreachable guards against a refusal of a UDP datagram that the
// caller cannot assign to the datagram.
func TestDecodeUnreachable(t *testing.T) {
	for _, quoted := range []Segment{
		{Source: source4, Destination: dest4, UDP: true, Payload: []byte("summary 1\n")},
		{Source: source6, Destination: dest6, UDP: true, Payload: []byte("summary 1\n")},
	} {
		_, s, err := Decode(unreachable(t, quoted))
		require.NoError(t, err)
		assert.Equal(t, Segment{Unreachable: true, UDP: true, Source: quoted.Destination, Destination: quoted.Source}, s)
	}
}

// FuzzDecode guards against malformed packets that panic.
func FuzzDecode(f *testing.F) {
	b, err := Encode(101, Segment{Source: source4, Destination: dest4, SYN: true})
	require.NoError(f, err)
	f.Add(b)
	f.Add(b[:20])
	f.Add(unreachable(f, Segment{Source: source6, Destination: dest6, UDP: true}))
	f.Fuzz(func(_ *testing.T, b []byte) { _, _, _ = Decode(b) })
}

// TestParseAnswer guards against a partial or damaged answer that is accepted
// as complete.
func TestParseAnswer(t *testing.T) {
	a := Answer{Verb: VerbCertificate, ID: "c-1", Service: "s", Upstream: "u", Body: Body(VerbCertificate, "c-1")}
	wire := a.Format()
	got, err := ParseAnswer(wire)
	require.NoError(t, err)
	assert.Equal(t, a, got)
	for _, n := range []int{0, 5, 100, len(wire) - 1} {
		_, err := ParseAnswer(wire[:n])
		assert.ErrorIs(t, err, ErrPartialAnswer, "%d bytes", n)
	}
	wire[len(wire)-1]++
	_, err = ParseAnswer(wire)
	assert.ErrorIs(t, err, ErrMalformedAnswer, "damaged")
	_, err = ParseAnswer(append(a.Format(), 'x'))
	assert.ErrorIs(t, err, ErrMalformedAnswer, "too long")
	r := Answer{Verb: VerbTicket, ID: "t-1", Service: "s", Upstream: "u", Refusal: "shedding"}
	got, err = ParseAnswer(r.Format())
	require.NoError(t, err)
	assert.Equal(t, r, got)
}
