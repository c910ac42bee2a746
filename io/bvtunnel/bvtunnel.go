// Package bvtunnel encodes and decodes the tunnel packets of a balancer and
// owns the UDP sockets that carry them.
//
// There are three kinds of packet. Fabric and upstream packets are a caller's
// IP packet encapsulated in Geneve (RFC 8926). Forwarded packets between
// balancers also have a trail, an optional record and a MAC as Geneve options.
// Heartbeats are Geneve with an experimental EtherType, a MAC option and a
// CBOR body; they share the peer port.
//
// Encoding appends to the buffer passed in and decoding returns slices of its
// input, so that processing a packet does not allocate. The codec uses
// encoding/binary because gopacket's Geneve layer allocates an object for each
// option; a test compares the two.
//
// # Usage
//
//	codec := bvtunnel.NewCodec(keyFile)
//	vni, inner, err := bvtunnel.DecodeFabric(datagram)
//	if err != nil {
//		count(bvtunnel.KindOf(err))
//	}
//	out, err = codec.AppendForwarded(out[:0], bvtunnel.ForwardedPacket{Inner: inner, Trail: trail})
package bvtunnel

import (
	"encoding/binary"
	"errors"

	"balsamvane/core/bvflow"
)

// MaxPacket is the size in bytes of the largest tunnel packet that is sent or
// accepted: a jumbo frame.
const MaxPacket = 9216

const (
	headerSize       = 8
	optionHeaderSize = 4
	optionClass      = 0xFF00 // Experimental range of RFC 8926.

	protocolIPv4      = 0x0800
	protocolIPv6      = 0x86DD
	protocolHeartbeat = 0x88B5 // IEEE 802 local experimental EtherType 1.

	flagControl  = 0x80 // O bit: control packet.
	flagCritical = 0x40 // C bit: critical options present.
)

// Option types of the class optionClass.
const (
	optionTrail  = 1
	optionRecord = 2
	optionMAC    = 3
)

// The errors of encoding and decoding. Packets that cannot be decoded are
// dropped and counted by error.
var (
	ErrTruncated   = errors.New("bvtunnel: packet is shorter than its headers say")
	ErrOversized   = errors.New("bvtunnel: packet exceeds the maximum tunnel packet size")
	ErrVersion     = errors.New("bvtunnel: unknown Geneve version")
	ErrProtocol    = errors.New("bvtunnel: unexpected protocol type")
	ErrOption      = errors.New("bvtunnel: malformed or unknown critical option")
	ErrMAC         = errors.New("bvtunnel: MAC is missing or wrong")
	ErrPeerOptions = errors.New("bvtunnel: fabric packet carries peer options")
	ErrHeartbeat   = errors.New("bvtunnel: malformed heartbeat")
	ErrNoKey       = errors.New("bvtunnel: no key has been read")
)

var kinds = []struct {
	err  error
	name string
}{
	{ErrTruncated, "tunnelTruncated"},
	{ErrOversized, "tunnelOversized"},
	{ErrVersion, "tunnelVersion"},
	{ErrProtocol, "tunnelProtocol"},
	{ErrOption, "tunnelOption"},
	{ErrMAC, "tunnelMAC"},
	{ErrPeerOptions, "tunnelPeerOptions"},
	{ErrHeartbeat, "heartbeat"},
	{ErrNoKey, "noKey"},
	{bvflow.ErrTruncated, "packetTruncated"},
	{bvflow.ErrVersion, "packetVersion"},
	{bvflow.ErrProtocol, "packetProtocol"},
	{bvflow.ErrFragment, "packetFragment"},
}

// KindOf returns the counter name of a decoding error of this package or of
// bvflow. It is one of [Kinds].
func KindOf(err error) string {
	for _, k := range kinds {
		if errors.Is(err, k.err) {
			return k.name
		}
	}
	return "other"
}

// Kinds returns all names that [KindOf] returns.
func Kinds() []string {
	s := []string{"other"}
	for _, k := range kinds {
		s = append(s, k.name)
	}
	return s
}

// header is a decoded Geneve header.
type header struct {
	flags    byte
	protocol uint16
	vni      uint32
	options  []byte
	payload  []byte
}

func decodeHeader(b []byte) (header, error) {
	if len(b) > MaxPacket {
		return header{}, ErrOversized
	}
	if len(b) < headerSize {
		return header{}, ErrTruncated
	}
	if b[0]>>6 != 0 {
		return header{}, ErrVersion
	}
	end := headerSize + int(b[0]&0x3F)*4
	if len(b) < end {
		return header{}, ErrTruncated
	}
	return header{
		flags:    b[1],
		protocol: binary.BigEndian.Uint16(b[2:]),
		vni:      binary.BigEndian.Uint32(b[4:]) >> 8,
		options:  b[headerSize:end],
		payload:  b[end:],
	}, nil
}

// option is one decoded option; rest holds the bytes after it.
type option struct {
	class uint16
	kind  byte
	data  []byte
	rest  []byte
}

// nextOption decodes the first option in b.
func nextOption(b []byte) (option, error) {
	if len(b) < optionHeaderSize {
		return option{}, ErrOption
	}
	end := optionHeaderSize + int(b[3]&0x1F)*4
	if len(b) < end {
		return option{}, ErrOption
	}
	return option{
		class: binary.BigEndian.Uint16(b),
		kind:  b[2],
		data:  b[optionHeaderSize:end],
		rest:  b[end:],
	}, nil
}

// DecodeFabric returns the virtual network identifier and the caller's packet
// of a Geneve packet from the fabric. inner is a slice of b. Packets with an
// option of class optionClass are rejected with ErrPeerOptions.
func DecodeFabric(b []byte) (vni uint32, inner []byte, err error) {
	h, err := decodeHeader(b)
	if err != nil {
		return 0, nil, err
	}
	for rest := h.options; len(rest) > 0; {
		o, err := nextOption(rest)
		if err != nil {
			return 0, nil, err
		}
		if o.class == optionClass {
			return 0, nil, ErrPeerOptions
		}
		if o.kind&0x80 != 0 {
			return 0, nil, ErrOption
		}
		rest = o.rest
	}
	if !isIP(h) {
		return 0, nil, ErrProtocol
	}
	if len(h.payload) == 0 {
		return 0, nil, ErrTruncated
	}
	return h.vni, h.payload, nil
}

// isIP reports whether the packet with header h carries an IP packet and is not
// a tunnel control packet.
func isIP(h header) bool {
	return h.flags&flagControl == 0 && (h.protocol == protocolIPv4 || h.protocol == protocolIPv6)
}

// AppendPlain encapsulates inner in a Geneve packet without options, as
// upstreams and the fabric expect it, and appends it to dst. vni has 24 bits.
func AppendPlain(dst []byte, vni uint32, inner []byte) ([]byte, error) {
	if len(inner) == 0 {
		return dst, ErrTruncated
	}
	if headerSize+len(inner) > MaxPacket {
		return dst, ErrOversized
	}
	dst = appendHeader(dst, 0, protocolOf(inner), vni)
	return append(dst, inner...), nil
}

func protocolOf(inner []byte) uint16 {
	if inner[0]>>4 == 6 {
		return protocolIPv6
	}
	return protocolIPv4
}

func appendHeader(dst []byte, optionBytes int, protocol uint16, vni uint32) []byte {
	dst = append(dst, byte(optionBytes/4), 0)
	dst = binary.BigEndian.AppendUint16(dst, protocol)
	return binary.BigEndian.AppendUint32(dst, vni<<8)
}

func appendOption(dst []byte, kind byte, dataBytes int) []byte {
	dst = binary.BigEndian.AppendUint16(dst, optionClass)
	return append(dst, kind, byte(dataBytes/4))
}
