package bvtunnel

import (
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvmember"

	"github.com/fxamacker/cbor/v2"
)

// maxDeadPeers bounds the list of dead peers in a heartbeat.
const maxDeadPeers = 256

// heartbeat is the wire form of a heartbeat. Keys are integers to save bytes.
// Unknown keys are skipped, so that fields can be added while the group runs two
// versions.
type heartbeat struct {
	Node         uint64     `cbor:"1,keyasint"`
	Incarnation  uint64     `cbor:"2,keyasint"`
	State        uint8      `cbor:"3,keyasint,omitempty"`
	Revision     uint64     `cbor:"4,keyasint,omitempty"`
	Hash         [32]byte   `cbor:"5,keyasint"`
	BaseRevision uint64     `cbor:"6,keyasint,omitempty"`
	PlatformAge  uint64     `cbor:"7,keyasint,omitempty"` // Milliseconds.
	Dead         []deadPeer `cbor:"8,keyasint,omitempty"`
	Ready        uint64     `cbor:"9,keyasint,omitempty"`
	Sequence     uint64     `cbor:"10,keyasint,omitempty"`
}

type deadPeer struct {
	_           struct{} `cbor:",toarray"`
	Node        uint64
	Incarnation uint64
}

var heartbeatDecoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: maxDeadPeers,
		MaxMapPairs:      64,
		MaxNestedLevels:  8,
	}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return m
}()

// AppendHeartbeat appends the encoded form of b to dst.
func (c *Codec) AppendHeartbeat(dst []byte, b bvmember.Heartbeat) ([]byte, error) {
	if err := c.refreshKeys(); err != nil {
		return dst, err
	}
	w := heartbeat{
		Node:         uint64(b.Node),
		Incarnation:  b.Incarnation,
		Sequence:     b.Sequence,
		State:        uint8(b.State),
		Revision:     b.Version.Revision,
		Hash:         b.Version.Hash,
		BaseRevision: b.BaseRevision,
		Ready:        b.ReadyRevision,
		PlatformAge:  uint64(max(b.PlatformAge, 0) / time.Millisecond),
	}
	for _, d := range b.Dead[:min(len(b.Dead), maxDeadPeers)] {
		w.Dead = append(w.Dead, deadPeer{Node: uint64(d.Node), Incarnation: d.Incarnation})
	}
	body, err := cbor.Marshal(w)
	if err != nil {
		return dst, err
	}
	dst = appendHeader(dst, macSize, protocolHeartbeat, 0)
	return c.appendAuthenticated(dst, len(dst), body), nil
}

// DecodeHeartbeat verifies and decodes a heartbeat.
func (c *Codec) DecodeHeartbeat(b []byte) (bvmember.Heartbeat, error) {
	h, err := decodeHeader(b)
	if err != nil {
		return bvmember.Heartbeat{}, err
	}
	if h.flags&flagControl != 0 || h.protocol != protocolHeartbeat {
		return bvmember.Heartbeat{}, ErrProtocol
	}
	options, err := c.verify(h)
	if err != nil {
		return bvmember.Heartbeat{}, err
	}
	// The MAC does not cover the protocol type. A forwarded packet whose
	// protocol type was changed in transit is rejected here, because it always
	// has a trail option.
	if len(options) > 0 {
		return bvmember.Heartbeat{}, ErrOption
	}
	return decodeHeartbeatBody(h.payload)
}

func decodeHeartbeatBody(b []byte) (bvmember.Heartbeat, error) {
	var w heartbeat
	if err := heartbeatDecoding.Unmarshal(b, &w); err != nil {
		return bvmember.Heartbeat{}, ErrHeartbeat
	}
	const maxAge = uint64(1<<63-1) / uint64(time.Millisecond)
	if w.State > uint8(bvmember.StateLeaving) || w.PlatformAge > maxAge {
		return bvmember.Heartbeat{}, ErrHeartbeat
	}
	out := bvmember.Heartbeat{
		Node:          bvconfig.NodeID(w.Node),
		Incarnation:   w.Incarnation,
		State:         bvmember.State(w.State),
		Version:       bvconfig.Version{Revision: w.Revision, Hash: w.Hash},
		BaseRevision:  w.BaseRevision,
		ReadyRevision: w.Ready,
		PlatformAge:   time.Duration(w.PlatformAge) * time.Millisecond,
		Sequence:      w.Sequence,
	}
	for _, d := range w.Dead {
		out.Dead = append(out.Dead, bvmember.DeadPeer{Node: bvconfig.NodeID(d.Node), Incarnation: d.Incarnation})
	}
	return out, nil
}
