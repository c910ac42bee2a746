package main

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"net/netip"
)

// The header of a packet, little-endian: seq (0, 4), ack (4, 4), len (8, 2),
// flags (10, 1), pad (11, 5), sum (16, 4), echo (20, 4), dport (24, 2),
// src (26, 4), sport (30, 2), dst (32, 4).
const headerBytes = 36

// The bits of the flags.
const (
	flagFIN = 2
	flagRST = 4
	flagSYN = 8
	flagACK = 128
)

// packet is a decoded packet of a flow.
type packet struct {
	seq, ack uint32
	flags    byte
	sum      uint32
	echo     uint32
	src, dst netip.AddrPort
	data     []byte
}

var (
	errShort = errors.New("packet is shorter than its header says")
	sumKey   = []byte("key of the two ends")
)

func readAddr(addr, port []byte) netip.AddrPort {
	a := [4]byte{addr[3], addr[2], addr[1], addr[0]}
	return netip.AddrPortFrom(netip.AddrFrom4(a), binary.LittleEndian.Uint16(port))
}

func writeAddr(addr, port []byte, a netip.AddrPort) {
	v := a.Addr().As4()
	addr[0], addr[1], addr[2], addr[3] = v[3], v[2], v[1], v[0]
	binary.LittleEndian.PutUint16(port, a.Port())
}

// decode decodes a packet.
func decode(b []byte) (packet, error) {
	if len(b) < headerBytes || len(b) != headerBytes+int(binary.LittleEndian.Uint16(b[8:])) {
		return packet{}, errShort
	}
	return packet{
		seq: binary.LittleEndian.Uint32(b), ack: binary.LittleEndian.Uint32(b[4:]), flags: b[10],
		sum: binary.LittleEndian.Uint32(b[16:]), echo: binary.LittleEndian.Uint32(b[20:]),
		src: readAddr(b[26:], b[30:]), dst: readAddr(b[32:], b[24:]), data: b[headerBytes:],
	}, nil
}

// keyedSum is the keyed sum over all fields but echo and pad.
func (p packet) keyedSum() uint32 {
	b := make([]byte, 0, 64+len(p.data))
	b = append(b, sumKey...)
	b = binary.LittleEndian.AppendUint32(b, p.seq)
	b = binary.LittleEndian.AppendUint32(b, p.ack)
	b = append(b, p.flags)
	b = append(b, p.src.String()...)
	b = append(b, p.dst.String()...)
	b = append(b, p.data...)
	h := sha256.Sum256(b)
	return binary.LittleEndian.Uint32(h[:]) | 1 // Never 0, the sum of the system's resets.
}

// encode encodes a packet of one of the two ends, with its sum.
func (p packet) encode() []byte {
	b := make([]byte, headerBytes, headerBytes+len(p.data))
	binary.LittleEndian.PutUint32(b, p.seq)
	binary.LittleEndian.PutUint32(b[4:], p.ack)
	binary.LittleEndian.PutUint16(b[8:], uint16(len(p.data)))
	b[10] = p.flags
	binary.LittleEndian.PutUint32(b[16:], p.keyedSum())
	binary.LittleEndian.PutUint32(b[20:], p.echo)
	writeAddr(b[26:], b[30:], p.src)
	writeAddr(b[32:], b[24:], p.dst)
	return append(b, p.data...)
}
