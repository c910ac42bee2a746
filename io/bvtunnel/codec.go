package bvtunnel

import (
	"encoding/binary"
	"hash"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvroute"

	"github.com/dchest/siphash"
)

// ForwardedPacket is a packet that one balancer forwards to another.
type ForwardedPacket struct {
	VNI         uint32
	Sender      bvconfig.NodeID
	Incarnation uint64 // Incarnation of the sender.
	Trail       bvroute.Trail
	Record      bvroute.Record
	Inner       []byte
}

// KeySource provides the shared keys of the group. Keys returns the same pointer
// until the keys change, and nil if none has been read.
type KeySource interface {
	Keys() *Keys
}

// Codec encodes and decodes authenticated packets. It reuses its hashes and is
// not safe for concurrent use; each goroutine needs its own.
type Codec struct {
	source KeySource
	keys   *Keys
	// current signs and verifies; previous only verifies.
	current, previous hash.Hash64
}

// NewCodec returns a codec that authenticates with the keys of source.
func NewCodec(source KeySource) *Codec { return &Codec{source: source} }

// refreshKeys replaces the hashes if the keys have changed.
func (c *Codec) refreshKeys() error {
	k := c.source.Keys()
	if k == nil {
		return ErrNoKey
	}
	if k != c.keys {
		c.keys = k
		c.current = siphash.New(k.Current[:])
		c.previous = siphash.New(k.Previous[:])
	}
	return nil
}

func (c *Codec) mac(h hash.Hash64, options, body []byte) uint64 {
	h.Reset()
	_, _ = h.Write(options)
	_, _ = h.Write(body)
	return h.Sum64()
}

// verify checks that the last option is the MAC over the options before it and
// the payload. It returns the options before the MAC.
func (c *Codec) verify(h header) ([]byte, error) {
	const size = optionHeaderSize + 8
	macStart := len(h.options) - size
	if macStart < 0 {
		return nil, ErrMAC
	}
	o, err := nextOption(h.options[macStart:])
	if err != nil || o.class != optionClass || o.kind != optionMAC || len(o.data) != 8 {
		return nil, ErrMAC
	}
	if err := c.refreshKeys(); err != nil {
		return nil, err
	}
	got := binary.BigEndian.Uint64(o.data)
	options := h.options[:macStart]
	// Comparing 64-bit words takes the same time whichever bits differ.
	if got == c.mac(c.current, options, h.payload) {
		return options, nil
	}
	if c.keys.HasPrevious && got == c.mac(c.previous, options, h.payload) {
		return options, nil
	}
	return nil, ErrMAC
}

// appendAuthenticated appends the MAC option and the body to dst, whose options
// start at optionsStart.
func (c *Codec) appendAuthenticated(dst []byte, optionsStart int, body []byte) []byte {
	sum := c.mac(c.current, dst[optionsStart:], body)
	dst = appendOption(dst, optionMAC, 8)
	dst = binary.BigEndian.AppendUint64(dst, sum)
	return append(dst, body...)
}

const macSize = optionHeaderSize + 8

// AppendForwarded appends the encoded form of p to dst.
func (c *Codec) AppendForwarded(dst []byte, p ForwardedPacket) ([]byte, error) {
	if err := c.refreshKeys(); err != nil {
		return dst, err
	}
	if len(p.Inner) == 0 {
		return dst, ErrTruncated
	}
	if int(p.Trail.Count) > bvroute.MaxVisited || int(p.Record.Count) > bvroute.MaxReplicas {
		return dst, ErrOption
	}
	trailSize := 20 + 8*int(p.Trail.Count)
	optionBytes := optionHeaderSize + trailSize + macSize
	recordSize := 0
	if p.Record.Kind != bvroute.RecordNone {
		recordSize = 12 + 8*int(p.Record.Count)
		optionBytes += optionHeaderSize + recordSize
	}
	if headerSize+optionBytes+len(p.Inner) > MaxPacket {
		return dst, ErrOversized
	}
	dst = appendHeader(dst, optionBytes, protocolOf(p.Inner), p.VNI)
	optionsStart := len(dst)
	dst = appendOption(dst, optionTrail, trailSize)
	dst = binary.BigEndian.AppendUint64(dst, uint64(p.Sender))
	dst = binary.BigEndian.AppendUint64(dst, p.Incarnation)
	dst = append(dst, p.Trail.Count, 0, 0, 0)
	for _, v := range p.Trail.Visited[:p.Trail.Count] {
		dst = binary.BigEndian.AppendUint64(dst, uint64(v))
	}
	if recordSize > 0 {
		dst = appendOption(dst, optionRecord, recordSize)
		dst = append(dst, byte(p.Record.Kind), p.Record.Count, 0, 0)
		dst = binary.BigEndian.AppendUint64(dst, uint64(p.Record.Upstream))
		for _, v := range p.Record.Replicas[:p.Record.Count] {
			dst = binary.BigEndian.AppendUint64(dst, uint64(v))
		}
	}
	return c.appendAuthenticated(dst, optionsStart, p.Inner), nil
}

// IsHeartbeat reports whether a packet on the peer port has the protocol type of
// a heartbeat. It does not verify the packet.
func IsHeartbeat(b []byte) bool {
	return len(b) >= headerSize && binary.BigEndian.Uint16(b[2:]) == protocolHeartbeat
}

// DecodeForwarded verifies and decodes a forwarded packet. Inner is a slice of b.
func (c *Codec) DecodeForwarded(b []byte) (ForwardedPacket, error) {
	h, err := decodeHeader(b)
	if err != nil {
		return ForwardedPacket{}, err
	}
	if !isIP(h) {
		return ForwardedPacket{}, ErrProtocol
	}
	options, err := c.verify(h)
	if err != nil {
		return ForwardedPacket{}, err
	}
	if len(h.payload) == 0 {
		return ForwardedPacket{}, ErrTruncated
	}
	p := ForwardedPacket{VNI: h.vni, Inner: h.payload}
	hasTrail := false
	for len(options) > 0 {
		o, err := nextOption(options)
		if err != nil {
			return ForwardedPacket{}, err
		}
		options = o.rest
		switch {
		case o.class == optionClass && o.kind == optionTrail && !hasTrail:
			hasTrail = true
			err = p.decodeTrail(o.data)
		case o.class == optionClass && o.kind == optionRecord && p.Record.Kind == bvroute.RecordNone:
			err = p.decodeRecord(o.data)
		default:
			err = ErrOption
		}
		if err != nil {
			return ForwardedPacket{}, err
		}
	}
	if !hasTrail {
		return ForwardedPacket{}, ErrOption
	}
	return p, nil
}

func (p *ForwardedPacket) decodeTrail(b []byte) error {
	if len(b) < 20 || b[16] > bvroute.MaxVisited || len(b) != 20+8*int(b[16]) {
		return ErrOption
	}
	p.Sender = bvconfig.NodeID(binary.BigEndian.Uint64(b))
	p.Incarnation = binary.BigEndian.Uint64(b[8:])
	p.Trail.Count = b[16]
	for i := range int(b[16]) {
		p.Trail.Visited[i] = bvconfig.NodeID(binary.BigEndian.Uint64(b[20+8*i:]))
	}
	return nil
}

func (p *ForwardedPacket) decodeRecord(b []byte) error {
	if len(b) < 12 || b[1] > bvroute.MaxReplicas || len(b) != 12+8*int(b[1]) {
		return ErrOption
	}
	switch k := bvroute.RecordKind(b[0]); k {
	case bvroute.RecordPlaced, bvroute.RecordRefused, bvroute.RecordClosing:
		p.Record.Kind = k
	default:
		return ErrOption
	}
	p.Record.Count = b[1]
	p.Record.Upstream = bvconfig.UpstreamID(binary.BigEndian.Uint64(b[4:]))
	for i := range int(b[1]) {
		p.Record.Replicas[i] = bvconfig.NodeID(binary.BigEndian.Uint64(b[12+8*i:]))
	}
	return nil
}
