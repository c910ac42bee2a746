package main

import (
	"encoding/binary"
	"net/netip"
)

// Layout of a packet's header, as the operators' pages describe it. All fields are
// little-endian.
const (
	offSequence    = 0
	offAck         = 4
	offLength      = 8
	offFlags       = 10
	offSum         = 16
	offEcho        = 20
	offDestPort    = 24
	offSource      = 26
	offSourcePort  = 30
	offDestination = 32
	headerSize     = 36
	targetSize     = 8
)

// Bits of the flags field.
const (
	flagFin = 2
	flagRst = 4
	flagSyn = 8
	flagAck = 128
)

// packet is a decoded packet.
type packet struct {
	sequence, ack uint32
	flags         byte
	sum, echo     uint32
	source        netip.AddrPort
	destination   netip.AddrPort
	data          []byte
}

func (p packet) has(flag byte) bool { return p.flags&flag != 0 }

// encode appends the packet to out. The sum stands for the keyed sum of the sender; it
// is 0 only in a reset of a balancer.
func (p packet) encode(out []byte) []byte {
	var h [headerSize]byte
	binary.LittleEndian.PutUint32(h[offSequence:], p.sequence)
	binary.LittleEndian.PutUint32(h[offAck:], p.ack)
	binary.LittleEndian.PutUint16(h[offLength:], uint16(len(p.data)))
	h[offFlags] = p.flags
	binary.LittleEndian.PutUint32(h[offSum:], p.sum)
	binary.LittleEndian.PutUint32(h[offEcho:], p.echo)
	binary.LittleEndian.PutUint16(h[offDestPort:], p.destination.Port())
	putAddr(h[offSource:], p.source.Addr())
	binary.LittleEndian.PutUint16(h[offSourcePort:], p.source.Port())
	putAddr(h[offDestination:], p.destination.Addr())
	return append(append(out, h[:]...), p.data...)
}

func decode(b []byte) (packet, bool) {
	if len(b) < headerSize || len(b) != headerSize+int(binary.LittleEndian.Uint16(b[offLength:])) {
		return packet{}, false
	}
	return packet{
		sequence:    binary.LittleEndian.Uint32(b[offSequence:]),
		ack:         binary.LittleEndian.Uint32(b[offAck:]),
		flags:       b[offFlags],
		sum:         binary.LittleEndian.Uint32(b[offSum:]),
		echo:        binary.LittleEndian.Uint32(b[offEcho:]),
		source:      netip.AddrPortFrom(addr(b[offSource:]), binary.LittleEndian.Uint16(b[offSourcePort:])),
		destination: netip.AddrPortFrom(addr(b[offDestination:]), binary.LittleEndian.Uint16(b[offDestPort:])),
		data:        append([]byte(nil), b[headerSize:]...),
	}, true
}

func addr(b []byte) netip.Addr {
	var a [4]byte
	binary.BigEndian.PutUint32(a[:], binary.LittleEndian.Uint32(b))
	return netip.AddrFrom4(a)
}

func putAddr(b []byte, a netip.Addr) {
	v := a.As4()
	binary.LittleEndian.PutUint32(b, binary.BigEndian.Uint32(v[:]))
}
