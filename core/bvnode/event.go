package bvnode

import (
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvmember"
	"balsamvane/core/bvroute"
)

// Event is an input of the node other than a packet. The set of events is
// closed.
type Event interface{ event() }

// Tick runs everything that depends on time. The caller sends one every
// [TickInterval].
type Tick struct{}

// HeartbeatReceived carries an authenticated heartbeat of a peer.
type HeartbeatReceived struct {
	Heartbeat bvmember.Heartbeat
}

// ConfigOffered carries a configuration read from the platform or from a
// peer. FromPlatform marks a successful platform read. Token is the token of the
// [FetchConfig] or [ReadPlatform] that it answers, and 0 for a watch.
type ConfigOffered struct {
	Config       bvconfig.Config
	FromPlatform bool
	Token        uint64
}

// PlatformContacted is the event that the platform answered, also when there was
// nothing new. Token is the token of the [ReadPlatform], and 0 for a watch.
type PlatformContacted struct {
	Token uint64
}

// BaseReceived carries an earlier configuration, whose upstream lists a peer
// uses for its base picks. Age is how long ago it came into force at the peer.
type BaseReceived struct {
	Config bvconfig.Config
	Age    time.Duration
}

// QueueChanged is the event that the packet queue went over its limit or back
// under it.
type QueueChanged struct {
	OverLimit bool
}

// VMListRead carries the platform's list of VMs, which lags behind.
type VMListRead struct {
	VMs []VM
	// Unnamed is the number of entries whose name cannot be read. Any VM that the list
	// lacks may be one of them.
	Unnamed int
}

// VM is an entry of the platform's list.
type VM struct {
	Name  string
	State VMState
}

// VMState is a VM's state in the platform's list.
type VMState uint8

// The states of a VM.
const (
	VMLive VMState = iota
	VMLeaving
	VMRemoved
	VMUnknown // The state cannot be read.
)

// ProbeSucceeded carries an upstream's own report of its health and load.
type ProbeSucceeded struct {
	Upstream        bvconfig.UpstreamID
	State           UpstreamState
	StartedAt       time.Time
	OpenConnections int
	BusySlots       int
}

// UpstreamState is the state that an upstream reports.
type UpstreamState uint8

// The states of an upstream.
const (
	UpstreamWarm UpstreamState = iota
	UpstreamCold
	UpstreamDraining
	UpstreamShedding
)

// ProbeFailed is the event that an upstream's health endpoint did not answer in
// time.
type ProbeFailed struct {
	Upstream bvconfig.UpstreamID
}

// FlowRecord is one exception, or a refusal, as sent between peers.
type FlowRecord struct {
	Key      [16]byte
	Kind     bvroute.RecordKind
	Upstream bvconfig.UpstreamID
}

// WarmState says how long an upstream has been accepting flows.
type WarmState struct {
	Upstream bvconfig.UpstreamID
	// Age is the time since the upstream's ramp started.
	Age time.Duration
}

// SyncReceived carries a part of a peer's answer to [RequestSync].
type SyncReceived struct {
	From         bvconfig.NodeID
	Records      []FlowRecord
	Warm         []WarmState
	BaseRevision uint64
	// BaseRemovals are the removed entries of the peer's bases.
	BaseRemovals []BaseRemovals
	// Cursor is where the next request continues; Done marks the last part.
	Cursor uint64
	Done   bool
	// Token is the token of the request.
	Token uint64
}

// SyncFailed is the event that a peer did not answer a [RequestSync] or
// [PushRecords].
type SyncFailed struct {
	From bvconfig.NodeID
}

// RecordsPushed carries exceptions that a peer pushed without a request.
type RecordsPushed struct {
	From    bvconfig.NodeID
	Records []FlowRecord
}

// PushAcknowledged is the event that a peer has stored the records of a
// [PushRecords].
type PushAcknowledged struct {
	From bvconfig.NodeID
	// Sequence is the sequence number of the acknowledged push.
	Sequence uint64
}

// StopRequested starts a planned stop.
type StopRequested struct{}

func (Tick) event()              {}
func (HeartbeatReceived) event() {}
func (ConfigOffered) event()     {}
func (PlatformContacted) event() {}
func (BaseReceived) event()      {}
func (QueueChanged) event()      {}
func (VMListRead) event()        {}
func (ProbeSucceeded) event()    {}
func (ProbeFailed) event()       {}
func (SyncReceived) event()      {}
func (SyncFailed) event()        {}
func (RecordsPushed) event()     {}
func (PushAcknowledged) event()  {}
func (StopRequested) event()     {}
