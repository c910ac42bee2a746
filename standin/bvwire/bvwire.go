// Package bvwire encodes and decodes the packets that the stand-ins exchange:
// Geneve (RFC 8926) around an IPv4 or IPv6 packet with TCP, UDP or an ICMP
// port-unreachable message. It also has a minimal TCP implementation and the
// request and answer formats that the caller and upstream stand-ins share.
//
// # Usage
//
//	b, err := bvwire.Encode(101, bvwire.Segment{Source: src, Destination: dst, SYN: true})
//	vni, s, err := bvwire.Decode(b)
//
// The inner packet follows the Geneve header directly (protocol type 0x0800
// or 0x86DD), without an Ethernet header.
package bvwire

import (
	"encoding/binary"
	"net"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/rotisserie/eris"
)

// Errors of [Decode].
var (
	ErrGeneve      = eris.New("bvwire: not a Geneve packet")
	ErrInnerPacket = eris.New("bvwire: inner packet is not IP with TCP, UDP or ICMP unreachable")
)

// Segment is an inner packet.
type Segment struct {
	Source      netip.AddrPort
	Destination netip.AddrPort
	// UDP marks a datagram; the TCP fields are then zero.
	UDP bool
	// Unreachable marks an ICMP port-unreachable message. Source and
	// Destination are those of the quoted packet, swapped.
	Unreachable        bool
	SYN, ACK, FIN, RST bool
	Sequence           uint32
	Acknowledgment     uint32
	Payload            []byte
}

// VNI returns the virtual network identifier of a Geneve packet.
func VNI(b []byte) (uint32, error) {
	if len(b) < 8 || b[0]>>6 != 0 {
		return 0, ErrGeneve
	}
	return binary.BigEndian.Uint32(b[4:8]) >> 8, nil
}

// Encode returns a Geneve packet with s as the inner IP packet.
func Encode(vni uint32, s Segment) ([]byte, error) {
	buf := gopacket.NewSerializeBuffer()
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	protocol := layers.IPProtocolTCP
	if s.UDP {
		protocol = layers.IPProtocolUDP
	}
	var network gopacket.NetworkLayer
	var ip gopacket.SerializableLayer
	geneve := &layers.Geneve{VNI: vni, Protocol: layers.EthernetTypeIPv4}
	if s.Source.Addr().Is4() {
		l := &layers.IPv4{Version: 4, TTL: 64, Protocol: protocol, SrcIP: s.Source.Addr().AsSlice(), DstIP: s.Destination.Addr().AsSlice()}
		network, ip = l, l
	} else {
		l := &layers.IPv6{Version: 6, HopLimit: 64, NextHeader: protocol, SrcIP: s.Source.Addr().AsSlice(), DstIP: s.Destination.Addr().AsSlice()}
		network, ip = l, l
		geneve.Protocol = layers.EthernetTypeIPv6
	}
	transport, err := s.transport(network)
	if err != nil {
		return nil, err
	}
	if err := gopacket.SerializeLayers(buf, opts, geneve, ip, transport, gopacket.Payload(s.Payload)); err != nil {
		return nil, eris.Wrap(err, "bvwire: encode")
	}
	return buf.Bytes(), nil
}

// transport returns the TCP or UDP header of s.
func (s Segment) transport(network gopacket.NetworkLayer) (gopacket.SerializableLayer, error) {
	if s.UDP {
		l := &layers.UDP{SrcPort: layers.UDPPort(s.Source.Port()), DstPort: layers.UDPPort(s.Destination.Port())}
		return l, l.SetNetworkLayerForChecksum(network)
	}
	l := &layers.TCP{
		SrcPort: layers.TCPPort(s.Source.Port()), DstPort: layers.TCPPort(s.Destination.Port()),
		Seq: s.Sequence, Ack: s.Acknowledgment, Window: 65535,
		SYN: s.SYN, ACK: s.ACK, FIN: s.FIN, RST: s.RST, PSH: len(s.Payload) > 0,
	}
	return l, l.SetNetworkLayerForChecksum(network)
}

// Decode decodes a Geneve packet and its inner packet. The payload shares
// memory with b.
func Decode(b []byte) (uint32, Segment, error) {
	vni, err := VNI(b)
	if err != nil {
		return 0, Segment{}, err
	}
	p := gopacket.NewPacket(b, layers.LayerTypeGeneve, gopacket.DecodeOptions{Lazy: true, NoCopy: true})
	var src, dst net.IP
	if l, ok := p.Layer(layers.LayerTypeIPv4).(*layers.IPv4); ok {
		src, dst = l.SrcIP, l.DstIP
	} else if l, ok := p.Layer(layers.LayerTypeIPv6).(*layers.IPv6); ok {
		src, dst = l.SrcIP, l.DstIP
	} else {
		return vni, Segment{}, ErrInnerPacket
	}
	if l, ok := p.Layer(layers.LayerTypeTCP).(*layers.TCP); ok {
		return vni, Segment{
			Source: addrPort(src, uint16(l.SrcPort)), Destination: addrPort(dst, uint16(l.DstPort)),
			SYN: l.SYN, ACK: l.ACK, FIN: l.FIN, RST: l.RST,
			Sequence: l.Seq, Acknowledgment: l.Ack, Payload: l.Payload,
		}, nil
	}
	if l, ok := p.Layer(layers.LayerTypeUDP).(*layers.UDP); ok {
		return vni, Segment{
			UDP: true, Source: addrPort(src, uint16(l.SrcPort)), Destination: addrPort(dst, uint16(l.DstPort)),
			Payload: l.Payload,
		}, nil
	}
	quoted := quotedPacket(p)
	s, ok := answerTo(quoted)
	if !ok {
		return vni, Segment{}, ErrInnerPacket
	}
	return vni, s, nil
}

// quotedPacket returns the packet that an ICMP port-unreachable message
// quotes, or nil.
func quotedPacket(p gopacket.Packet) []byte {
	if l, ok := p.Layer(layers.LayerTypeICMPv4).(*layers.ICMPv4); ok &&
		l.TypeCode == layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodePort) {
		return l.Payload
	}
	if l, ok := p.Layer(layers.LayerTypeICMPv6).(*layers.ICMPv6); ok &&
		l.TypeCode == layers.CreateICMPv6TypeCode(layers.ICMPv6TypeDestinationUnreachable, layers.ICMPv6CodePortUnreachable) {
		if len(l.Payload) > 4 { // RFC 4443: four unused bytes precede the quote.
			return l.Payload[4:]
		}
	}
	return nil
}

// answerTo returns the segment of an unreachable message about the quoted
// packet, whose transport header may be truncated after the ports.
func answerTo(quoted []byte) (Segment, bool) {
	var src, dst netip.Addr
	var protocol byte
	var rest []byte
	switch {
	case len(quoted) >= 24 && quoted[0]>>4 == 4 && len(quoted) >= int(quoted[0]&15)*4+4:
		src, _ = netip.AddrFromSlice(quoted[12:16])
		dst, _ = netip.AddrFromSlice(quoted[16:20])
		protocol, rest = quoted[9], quoted[int(quoted[0]&15)*4:]
	case len(quoted) >= 44 && quoted[0]>>4 == 6:
		src, _ = netip.AddrFromSlice(quoted[8:24])
		dst, _ = netip.AddrFromSlice(quoted[24:40])
		protocol, rest = quoted[6], quoted[40:]
	default:
		return Segment{}, false
	}
	return Segment{
		Unreachable: true, UDP: protocol == byte(layers.IPProtocolUDP),
		Source:      netip.AddrPortFrom(dst, binary.BigEndian.Uint16(rest[2:4])),
		Destination: netip.AddrPortFrom(src, binary.BigEndian.Uint16(rest[0:2])),
	}, true
}

func addrPort(ip net.IP, port uint16) netip.AddrPort {
	a, _ := netip.AddrFromSlice(ip)
	return netip.AddrPortFrom(a.Unmap(), port)
}

// Listen opens a UDP socket with buffers large enough for the bursts of a
// test run.
func Listen(a netip.AddrPort) (*net.UDPConn, error) {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, eris.Wrapf(err, "bvwire: listen on %v", a)
	}
	// The kernel may grant smaller buffers; the stand-ins retransmit what is
	// lost.
	_ = c.SetReadBuffer(4 << 20)
	_ = c.SetWriteBuffer(4 << 20)
	return c, nil
}
