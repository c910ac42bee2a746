// Package bvpeer implements the control calls between the balancers of a
// group: sync, push and fetching configurations. Heartbeats are not control
// calls; they use UDP (package bvtunnel).
//
// Calls use connect over HTTP/1.1 with a CBOR codec. Peers authenticate each
// other with mutual TLS, or, if no certificates are set, with an HMAC over
// each request and answer under the group's shared key. Every call has a
// timeout; a call that times out also closes its connection.
//
// # Usage
//
//	server := bvpeer.NewServer(handler, credentials, clock, rejected)
//	go server.Serve(ctx, listener)
//	client := bvpeer.NewClient(self, credentials, clock, bvpeer.Options{})
//	received, err := client.Sync(ctx, peer, cursor, limit)
package bvpeer

import (
	"errors"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvnode"
	"balsamvane/core/bvroute"
	"balsamvane/io/bvplatform"
)

const (
	procedureSync  = "/balsamvane.peer.v1.Peer/Sync"
	procedurePush  = "/balsamvane.peer.v1.Peer/Push"
	procedureFetch = "/balsamvane.peer.v1.Peer/FetchConfig"
	procedureBase  = "/balsamvane.peer.v1.Peer/FetchBase"
)

const (
	maxRequest = 1 << 20
	// maxAnswer bounds a fetched configuration to the size of 16 platform values.
	maxAnswer = 16 << 20
)

// ErrRecords is returned for record lists whose length is not a multiple of
// the record size.
var ErrRecords = errors.New("bvpeer: malformed list of records")

// Handler answers the calls of peers. It is called from several goroutines.
type Handler interface {
	// Sync returns at most limit bytes of the records for the peer, starting
	// at cursor.
	Sync(from bvconfig.NodeID, cursor uint64, limit int) bvnode.SyncReceived
	// Push stores the records before it returns.
	Push(from bvconfig.NodeID, records []bvnode.FlowRecord)
	// Bundle returns the accepted configuration; ok is false if there is none.
	Bundle() (b bvplatform.Bundle, ok bool)
	// Base returns a configuration that is retained for base picks, and how
	// long ago it came into force. ok is false if revision is not retained.
	Base(revision uint64) (b bvplatform.Bundle, age time.Duration, ok bool)
}

// recordSize is the size of a record on the wire: a 16-byte key and an 8-byte
// upstream ID.
const recordSize = 24

// records is the wire form of a list of exceptions and refusals. A refusal
// carries the ID of any upstream of its service, from which its replicas derive
// the service.
type records struct {
	Placed  []byte `cbor:"1,keyasint,omitempty"`
	Refused []byte `cbor:"2,keyasint,omitempty"`
	Closing []byte `cbor:"3,keyasint,omitempty"`
}

func encodeRecords(l []bvnode.FlowRecord) records {
	var w records
	for _, r := range l {
		to := &w.Placed
		switch r.Kind {
		case bvroute.RecordRefused:
			to = &w.Refused
		case bvroute.RecordClosing:
			to = &w.Closing
		}
		*to = append(*to, r.Key[:]...)
		*to = appendUint64(*to, uint64(r.Upstream))
	}
	return w
}

func (w records) decode() ([]bvnode.FlowRecord, error) {
	if len(w.Placed)%recordSize != 0 || len(w.Refused)%recordSize != 0 || len(w.Closing)%recordSize != 0 {
		return nil, ErrRecords
	}
	out := make([]bvnode.FlowRecord, 0, (len(w.Placed)+len(w.Refused)+len(w.Closing))/recordSize)
	out = appendRecords(out, w.Placed, bvroute.RecordPlaced)
	out = appendRecords(out, w.Closing, bvroute.RecordClosing)
	return appendRecords(out, w.Refused, bvroute.RecordRefused), nil
}

func appendRecords(to []bvnode.FlowRecord, b []byte, kind bvroute.RecordKind) []bvnode.FlowRecord {
	for ; len(b) > 0; b = b[recordSize:] {
		to = append(to, bvnode.FlowRecord{
			Key: [16]byte(b[:16]), Kind: kind, Upstream: bvconfig.UpstreamID(readUint64(b[16:])),
		})
	}
	return to
}

type warmState struct {
	_        struct{} `cbor:",toarray"`
	Upstream uint64
	Age      uint64 // Milliseconds.
}

func encodeWarm(l []bvnode.WarmState) []warmState {
	out := make([]warmState, 0, len(l))
	for _, s := range l {
		out = append(out, warmState{Upstream: uint64(s.Upstream), Age: uint64(max(s.Age, 0) / time.Millisecond)})
	}
	return out
}

func decodeWarm(l []warmState) []bvnode.WarmState {
	out := make([]bvnode.WarmState, 0, len(l))
	for _, s := range l {
		out = append(out, bvnode.WarmState{
			Upstream: bvconfig.UpstreamID(s.Upstream),
			Age:      milliseconds(s.Age),
		})
	}
	return out
}

// milliseconds returns n milliseconds, limited to the longest duration.
func milliseconds(n uint64) time.Duration {
	const maxMilliseconds = uint64(1<<63-1) / uint64(time.Millisecond)
	return time.Duration(min(n, maxMilliseconds)) * time.Millisecond
}
