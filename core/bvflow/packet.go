package bvflow

import (
	"errors"
	"net/netip"

	"github.com/gopacket/gopacket/layers"
)

// The errors of [Parser.Parse]. Each is a kind of malformed or unsupported
// packet that is counted and dropped.
var (
	ErrTruncated = errors.New("bvflow: packet is shorter than its headers say")
	ErrVersion   = errors.New("bvflow: packet is neither IPv4 nor IPv6")
	ErrProtocol  = errors.New("bvflow: packet is neither TCP nor UDP")
	ErrFragment  = errors.New("bvflow: packet is a fragment")
)

// Parser reads the headers of callers' packets. It reuses its memory, so that
// parsing a well-formed packet does not allocate. The zero value is ready to
// use. It is not safe for concurrent use.
type Parser struct {
	ipv4     layers.IPv4
	ipv6     layers.IPv6
	tcp      layers.TCP
	udp      layers.UDP
	feedback feedback
}

// feedback records whether a layer is truncated.
type feedback struct {
	truncated bool
}

// SetTruncated implements gopacket.DecodeFeedback.
func (f *feedback) SetTruncated() { f.truncated = true }

// Parse returns the flow, phase and payload size of an IPv4 or IPv6 packet
// that carries TCP or UDP. Fragments are rejected with ErrFragment, because
// only the first fragment carries the ports.
func (p *Parser) Parse(inner []byte) (Packet, error) {
	if len(inner) == 0 {
		return Packet{}, ErrTruncated
	}
	p.feedback.truncated = false
	switch inner[0] >> 4 {
	case 4:
		return p.parseIPv4(inner)
	case 6:
		return p.parseIPv6(inner)
	default:
		return Packet{}, ErrVersion
	}
}

func (p *Parser) parseIPv4(inner []byte) (Packet, error) {
	if err := p.ipv4.DecodeFromBytes(inner, &p.feedback); err != nil || p.feedback.truncated {
		return Packet{}, ErrTruncated
	}
	if p.ipv4.Flags&layers.IPv4MoreFragments != 0 || p.ipv4.FragOffset != 0 {
		return Packet{}, ErrFragment
	}
	return p.parseTransport(p.ipv4.Protocol, p.ipv4.SrcIP, p.ipv4.DstIP, p.ipv4.Payload)
}

func (p *Parser) parseIPv6(inner []byte) (Packet, error) {
	// Extension headers are not followed: gopacket allocates for hop-by-hop
	// options, and callers of TCP and UDP services do not send them.
	if len(inner) < 40 {
		return Packet{}, ErrTruncated
	}
	switch layers.IPProtocol(inner[6]) {
	case layers.IPProtocolTCP, layers.IPProtocolUDP:
	case layers.IPProtocolIPv6Fragment:
		return Packet{}, ErrFragment
	default:
		return Packet{}, ErrProtocol
	}
	if err := p.ipv6.DecodeFromBytes(inner, &p.feedback); err != nil || p.feedback.truncated {
		return Packet{}, ErrTruncated
	}
	return p.parseTransport(p.ipv6.NextHeader, p.ipv6.SrcIP, p.ipv6.DstIP, p.ipv6.Payload)
}

func (p *Parser) parseTransport(proto layers.IPProtocol, src, dst, payload []byte) (Packet, error) {
	s, okS := netip.AddrFromSlice(src)
	d, okD := netip.AddrFromSlice(dst)
	if !okS || !okD {
		return Packet{}, ErrTruncated
	}
	switch proto {
	case layers.IPProtocolTCP:
		if err := p.tcp.DecodeFromBytes(payload, &p.feedback); err != nil || p.feedback.truncated {
			return Packet{}, ErrTruncated
		}
		return Packet{
			Tuple: Tuple{
				Source:      netip.AddrPortFrom(s, uint16(p.tcp.SrcPort)),
				Destination: netip.AddrPortFrom(d, uint16(p.tcp.DstPort)),
				Protocol:    ProtocolTCP,
			},
			Phase:    phaseOf(&p.tcp),
			Payload:  len(p.tcp.Payload),
			Sequence: p.tcp.Seq,
		}, nil
	case layers.IPProtocolUDP:
		if err := p.udp.DecodeFromBytes(payload, &p.feedback); err != nil || p.feedback.truncated {
			return Packet{}, ErrTruncated
		}
		return Packet{
			Tuple: Tuple{
				Source:      netip.AddrPortFrom(s, uint16(p.udp.SrcPort)),
				Destination: netip.AddrPortFrom(d, uint16(p.udp.DstPort)),
				Protocol:    ProtocolUDP,
			},
			Phase:   PhaseDatagram,
			Payload: len(p.udp.Payload),
		}, nil
	default:
		return Packet{}, ErrProtocol
	}
}

func phaseOf(t *layers.TCP) Phase {
	switch {
	case t.RST:
		return PhaseReset
	case t.FIN:
		return PhaseClosing
	case t.SYN && !t.ACK:
		return PhaseOpening
	default:
		return PhaseEstablished
	}
}
