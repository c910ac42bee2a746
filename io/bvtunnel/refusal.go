package bvtunnel

import (
	"errors"
	"net"

	"balsamvane/core/bvflow"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/rotisserie/eris"
)

// ErrNotRefusable is returned for packets that are not openings. A reset could
// break a flow that another balancer has an entry for.
var ErrNotRefusable = errors.New("bvtunnel: only a SYN or a UDP datagram can be refused")

const (
	hopLimit = 64
	// maxQuoteIPv4 and maxQuoteIPv6 bound the part of the refused packet that
	// an ICMP error quotes, so that the error stays within the minimum MTU
	// (RFC 1812 4.3.2.3, RFC 4443 2.4c).
	maxQuoteIPv4 = 576 - 20 - 8
	maxQuoteIPv6 = 1280 - 40 - 8
)

// Refuser builds refusals. It reuses its buffer and is not safe for concurrent
// use.
type Refuser struct {
	buffer gopacket.SerializeBuffer
}

// NewRefuser returns a Refuser.
func NewRefuser() *Refuser { return &Refuser{buffer: gopacket.NewSerializeBuffer()} }

// Refuse returns the IP packet that refuses p, whose encoding is inner: a TCP
// reset for a SYN, and ICMP port unreachable for a datagram. The result is
// valid until the next call.
func (r *Refuser) Refuse(inner []byte, p bvflow.Packet) ([]byte, error) {
	var l []gopacket.SerializableLayer
	var err error
	switch p.Phase {
	case bvflow.PhaseOpening:
		l, err = tcpReset(p)
	case bvflow.PhaseDatagram:
		l, err = portUnreachable(inner, p)
	default:
		err = ErrNotRefusable
	}
	if err != nil {
		return nil, err
	}
	if err := r.buffer.Clear(); err != nil {
		return nil, eris.Wrap(err, "bvtunnel: clearing buffer")
	}
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(r.buffer, opts, l...); err != nil {
		return nil, eris.Wrap(err, "bvtunnel: building refusal")
	}
	return r.buffer.Bytes(), nil
}

// ipLayer returns the IP header of a packet from p's destination back to its
// source.
func ipLayer(p bvflow.Packet, v4, v6 layers.IPProtocol) (gopacket.SerializableLayer, gopacket.NetworkLayer) {
	src, dst := p.Destination.Addr(), p.Source.Addr()
	if src.Is4() {
		ip := &layers.IPv4{
			Version: 4, IHL: 5, TTL: hopLimit, Protocol: v4,
			SrcIP: net.IP(src.AsSlice()), DstIP: net.IP(dst.AsSlice()),
		}
		return ip, ip
	}
	ip := &layers.IPv6{
		Version: 6, HopLimit: hopLimit, NextHeader: v6,
		SrcIP: net.IP(src.AsSlice()), DstIP: net.IP(dst.AsSlice()),
	}
	return ip, ip
}

func tcpReset(p bvflow.Packet) ([]gopacket.SerializableLayer, error) {
	ip, network := ipLayer(p, layers.IPProtocolTCP, layers.IPProtocolTCP)
	t := &layers.TCP{
		SrcPort: layers.TCPPort(p.Destination.Port()),
		DstPort: layers.TCPPort(p.Source.Port()),
		// RFC 9293 3.10.7.1: the reset acknowledges the SYN and its payload.
		Ack: p.Sequence + 1 + uint32(p.Payload),
		RST: true,
		ACK: true,
	}
	if err := t.SetNetworkLayerForChecksum(network); err != nil {
		return nil, eris.Wrap(err, "bvtunnel: building reset")
	}
	return []gopacket.SerializableLayer{ip, t}, nil
}

func portUnreachable(inner []byte, p bvflow.Packet) ([]gopacket.SerializableLayer, error) {
	ip, network := ipLayer(p, layers.IPProtocolICMPv4, layers.IPProtocolICMPv6)
	if p.Destination.Addr().Is4() {
		return []gopacket.SerializableLayer{
			ip,
			&layers.ICMPv4{TypeCode: layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodePort)},
			gopacket.Payload(inner[:min(len(inner), maxQuoteIPv4)]),
		}, nil
	}
	c := &layers.ICMPv6{TypeCode: layers.CreateICMPv6TypeCode(layers.ICMPv6TypeDestinationUnreachable, layers.ICMPv6CodePortUnreachable)}
	if err := c.SetNetworkLayerForChecksum(network); err != nil {
		return nil, eris.Wrap(err, "bvtunnel: building port unreachable")
	}
	// RFC 4443 3.1: 4 unused bytes follow the checksum. gopacket's ICMPv4 layer
	// writes them as identifier and sequence number, its ICMPv6 layer does not.
	quote := append(make([]byte, 4), inner[:min(len(inner), maxQuoteIPv6)]...)
	return []gopacket.SerializableLayer{ip, c, gopacket.Payload(quote)}, nil
}
