package bvnode

import (
	"net/netip"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvmember"
)

// Action is an operation that the caller of [Node.Handle] has to execute. The
// set of actions is closed.
type Action interface{ action() }

// SendHeartbeat sends a heartbeat to each of the addresses over UDP.
type SendHeartbeat struct {
	To        []netip.AddrPort
	Heartbeat bvmember.Heartbeat
}

// FetchConfig reads the configuration from a peer; the answer comes back as
// [ConfigOffered] with the same token. From is 0 for a seed address.
type FetchConfig struct {
	From    bvconfig.NodeID
	Control netip.AddrPort
	Token   uint64
}

// FetchBase reads an earlier configuration from a peer; the answer comes back
// as [BaseReceived].
type FetchBase struct {
	From     bvconfig.NodeID
	Control  netip.AddrPort
	Revision uint64
}

// WatchPlatform starts or stops the watch on the platform. The node returns it
// only when Enabled changes.
type WatchPlatform struct {
	Enabled bool
}

// ReadPlatform reads the platform once; the answer comes back as
// [ConfigOffered] or [PlatformContacted] with the same token.
type ReadPlatform struct {
	Token uint64
}

// RequestSync asks a peer for records from Cursor on; the answer comes back as
// [SyncReceived] with the same token, or [SyncFailed].
type RequestSync struct {
	From    bvconfig.NodeID
	Control netip.AddrPort
	Cursor  uint64
	Limit   int // Bytes of records in the answer.
	Token   uint64
}

// PushRecords sends exceptions to a peer; the answer comes back as
// [PushAcknowledged] or [SyncFailed].
type PushRecords struct {
	To       bvconfig.NodeID
	Control  netip.AddrPort
	Sequence uint64
	Records  []FlowRecord
}

// SetProbes replaces the set of upstreams to probe.
type SetProbes struct {
	Upstreams []bvconfig.Upstream
}

// Stop ends the process: all records that had to be pushed have been pushed, or
// the stop timeout has passed.
type Stop struct {
	// Unpushed is the number of records that remain unacknowledged.
	Unpushed int
}

func (SendHeartbeat) action() {}
func (FetchConfig) action()   {}
func (FetchBase) action()     {}
func (WatchPlatform) action() {}
func (ReadPlatform) action()  {}
func (RequestSync) action()   {}
func (PushRecords) action()   {}
func (SetProbes) action()     {}
func (Stop) action()          {}
