// Package bvflow identifies flows and implements a balancer's flow table.
//
// A flow is identified by the source, destination and protocol of the
// caller's packets. A [Key] is a seeded 128-bit hash of these. It is equal on all
// balancers of a group and replaces the addresses in tables and messages.
//
// # Usage
//
//	h := bvflow.NewHasher(config.HashSeed)
//	var p bvflow.Parser
//	pkt, err := p.Parse(inner)
//	if err != nil {
//		return err // ErrTruncated, ErrProtocol, ...
//	}
//	k := h.Key(pkt.Tuple)
package bvflow

import (
	"encoding/binary"
	"encoding/hex"
	"net/netip"
	"time"

	"github.com/zeebo/xxh3"
)

// Protocol is an IP protocol number.
type Protocol uint8

// The protocols that are balanced.
const (
	ProtocolTCP Protocol = 6
	ProtocolUDP Protocol = 17
)

// String returns the lower-case protocol name.
func (p Protocol) String() string {
	switch p {
	case ProtocolTCP:
		return "tcp"
	case ProtocolUDP:
		return "udp"
	default:
		return "unknown"
	}
}

// Tuple is the address information that identifies a flow.
type Tuple struct {
	Source      netip.AddrPort
	Destination netip.AddrPort
	Protocol    Protocol
}

// Phase classifies a packet by the stage of its flow.
type Phase uint8

// The phases of a packet. UDP has no handshake, so each UDP packet is a
// PhaseDatagram.
const (
	PhaseEstablished Phase = iota // TCP without SYN, FIN or RST.
	PhaseOpening                  // TCP SYN without ACK.
	PhaseClosing                  // TCP FIN.
	PhaseReset                    // TCP RST.
	PhaseDatagram                 // UDP.
)

// Packet holds what a routing decision needs of a caller's packet.
type Packet struct {
	Tuple
	Phase Phase
	// Payload is the number of bytes after the TCP or UDP header.
	Payload int
	// Sequence is the TCP sequence number, needed to build a reset.
	Sequence uint32
	// ArrivedAfter is a time after which the packet arrived. All packets that had
	// arrived by then were routed before. A packet may wait in the socket's buffer
	// while the process is busy or paused. The zero value stands for an unknown time.
	ArrivedAfter time.Time
}

// Key is the hash of a Tuple.
type Key [16]byte

// High returns the first 64 bits of the key, for use in further hashing.
func (k Key) High() uint64 { return binary.BigEndian.Uint64(k[:8]) }

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Hasher computes keys. All balancers of a group use the same seed, which is
// part of the configuration.
type Hasher struct {
	seed uint64
}

// NewHasher returns a Hasher for the given seed.
func NewHasher(seed uint64) Hasher { return Hasher{seed: seed} }

// Key returns the key of t. IPv4 addresses and their IPv6-mapped forms have
// the same key.
func (h Hasher) Key(t Tuple) Key {
	var b [37]byte
	src, dst := t.Source.Addr().As16(), t.Destination.Addr().As16()
	copy(b[0:], src[:])
	copy(b[16:], dst[:])
	binary.BigEndian.PutUint16(b[32:], t.Source.Port())
	binary.BigEndian.PutUint16(b[34:], t.Destination.Port())
	b[36] = byte(t.Protocol)
	return Key(xxh3.Hash128Seed(b[:], h.seed).Bytes())
}
