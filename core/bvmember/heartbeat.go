package bvmember

import (
	"time"

	"balsamvane/core/bvconfig"
)

// State is the lifecycle state that a balancer announces.
type State uint8

// The states.
const (
	StateJoining State = iota // Forwards packets to peers; owns no flows.
	StateActive               // Decides for the flows that it owns.
	StateLeaving              // Forwards packets to peers and pushes its exceptions.
)

// Heartbeat is the message that a balancer sends to the peers of its zone twice
// a second, and to others once a second.
type Heartbeat struct {
	Node bvconfig.NodeID
	// Incarnation rises with each process of the node, after each pause, and when
	// the node is declared dead.
	Incarnation uint64
	// Sequence grows with each heartbeat of an incarnation. Duplicates and
	// heartbeats that arrive after later ones are ignored. 0 means none.
	Sequence uint64
	State    State
	Version  bvconfig.Version
	// BaseRevision is the revision whose upstream lists determine the base picks.
	BaseRevision uint64
	// ReadyRevision is the revision to which the sender could move its base;
	// 0 if there is none.
	ReadyRevision uint64
	// PlatformAge is the time since the sender's last successful platform contact;
	// [NoContact] if there was none.
	PlatformAge time.Duration
	// Dead lists the peers that the sender has marked dead. Each entry is a death
	// declaration.
	Dead []DeadPeer
}

// DeadPeer is a peer, and the incarnation in which it was declared dead.
type DeadPeer struct {
	Node        bvconfig.NodeID
	Incarnation uint64
}

// String returns the state's name as it appears in dumps.
func (s State) String() string {
	switch s {
	case StateJoining:
		return "joining"
	case StateActive:
		return "active"
	case StateLeaving:
		return "leaving"
	default:
		return "unknown"
	}
}
