// Package bvpeer carries the control calls between the balancers of a group:
// sync, push and the fetching of configurations. Heartbeats are not among
// them; they use UDP (package bvtunnel).
//
// Calls use connect over HTTP/1.1 with a CBOR codec. Peers authenticate each
// other with mutual TLS, or, if no certificates are set, with an HMAC over
// each request and answer under the group's shared key. Every call is bounded
// in time; a call that is cut takes its connection with it.
//
// # Usage
//
//	server := bvpeer.NewServer(handler, credentials, clock)
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
	// maxAnswer bounds a fetched configuration: 16 values of the platform.
	maxAnswer = 16 << 20
)

// ErrRecords is returned for record lists whose length is no multiple of a
// record's.
var ErrRecords = errors.New("bvpeer: malformed list of records")

// Handler answers the calls of peers. It is called from several goroutines.
type Handler interface {
	// Sync returns the records for the peer from cursor on, at most limit
	// bytes of them.
	Sync(from bvconfig.NodeID, cursor uint64, limit int) bvnode.SyncReceived
	// Push stores the records before it returns.
	Push(from bvconfig.NodeID, records []bvnode.FlowRecord)
	// Bundle returns the accepted configuration; ok is false if there is none.
	Bundle() (b bvplatform.Bundle, ok bool)
	// Base returns an earlier configuration that is retained for base picks,
	// and how long ago it came into force.
	Base(revision uint64) (b bvplatform.Bundle, age time.Duration, ok bool)
}

// recordSize is the size of a record on the wire: key and upstream.
const recordSize = 24

// records is the wire form of a list of exceptions and refusals. A refusal
// has the ID of some upstream of its service, which tells its replicas which
// service it belongs to.
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

// milliseconds returns n milliseconds, or the longest duration if that is
// shorter.
func milliseconds(n uint64) time.Duration {
	const most = uint64(1<<63-1) / uint64(time.Millisecond)
	return time.Duration(min(n, most)) * time.Millisecond
}
