package bvpeer

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"net"
	"net/http"
	"slices"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvnode"
	"balsamvane/io/bvcodec"
	"balsamvane/io/bvhttp"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
)

func appendUint64(b []byte, v uint64) []byte { return binary.BigEndian.AppendUint64(b, v) }

func readUint64(b []byte) uint64 { return binary.BigEndian.Uint64(b) }

type syncRequest struct {
	From   uint64 `cbor:"1,keyasint"`
	Cursor uint64 `cbor:"2,keyasint,omitempty"`
	Limit  uint32 `cbor:"3,keyasint"`
}

type syncAnswer struct {
	From         uint64         `cbor:"1,keyasint"`
	Records      records        `cbor:"2,keyasint"`
	Warm         []warmState    `cbor:"3,keyasint,omitempty"`
	BaseRevision uint64         `cbor:"4,keyasint,omitempty"`
	Cursor       uint64         `cbor:"5,keyasint,omitempty"`
	Done         bool           `cbor:"6,keyasint,omitempty"`
	Removals     []baseRemovals `cbor:"7,keyasint,omitempty"`
}

// baseRemovals is the wire form of [bvnode.BaseRemovals].
type baseRemovals struct {
	Revision         uint64   `cbor:"1,keyasint"`
	RemovedZones     []string `cbor:"2,keyasint,omitempty"`
	RemovedUpstreams []uint64 `cbor:"3,keyasint,omitempty"`
}

func encodeRemovals(ls []bvnode.BaseRemovals) []baseRemovals {
	out := make([]baseRemovals, 0, len(ls))
	for _, l := range ls {
		w := baseRemovals{Revision: l.Revision, RemovedZones: l.RemovedZones}
		for _, u := range l.RemovedUpstreams {
			w.RemovedUpstreams = append(w.RemovedUpstreams, uint64(u))
		}
		out = append(out, w)
	}
	return out
}

func decodeRemovals(ls []baseRemovals) []bvnode.BaseRemovals {
	var out []bvnode.BaseRemovals
	for _, w := range ls {
		l := bvnode.BaseRemovals{Revision: w.Revision, RemovedZones: w.RemovedZones}
		for _, u := range w.RemovedUpstreams {
			l.RemovedUpstreams = append(l.RemovedUpstreams, bvconfig.UpstreamID(u))
		}
		out = append(out, l)
	}
	return out
}

type pushRequest struct {
	From    uint64  `cbor:"1,keyasint"`
	Records records `cbor:"2,keyasint"`
}

type pushAnswer struct{}

// fetchRequest lists the parts that the requesting balancer already has, so that
// the answer carries only the others.
type fetchRequest struct {
	Have []string `cbor:"1,keyasint,omitempty"`
}

type fetchAnswer struct {
	Manifest []byte            `cbor:"1,keyasint"`
	Parts    map[string][]byte `cbor:"2,keyasint,omitempty"`
}

type baseRequest struct {
	Revision uint64 `cbor:"1,keyasint"`
}

type baseAnswer struct {
	Manifest []byte            `cbor:"1,keyasint"`
	Parts    map[string][]byte `cbor:"2,keyasint,omitempty"`
	Age      uint64            `cbor:"3,keyasint"` // Milliseconds.
}

// Server answers control calls from peers.
type Server struct {
	handler     Handler
	credentials Credentials
	clock       clockwork.Clock
	rejected    func()
}

// NewServer returns a server. rejected is called for each call without a valid
// signature.
func NewServer(h Handler, c Credentials, clock clockwork.Clock, rejected func()) *Server {
	return &Server{handler: h, credentials: c, clock: clock, rejected: rejected}
}

// HTTP returns the server's HTTP handler. It verifies signatures under the
// shared key unless TLS is set, which then authenticates the peers.
func (s *Server) HTTP() http.Handler {
	o := []connect.HandlerOption{connect.WithCodec(bvcodec.New()), connect.WithReadMaxBytes(maxRequest)}
	m := http.NewServeMux()
	m.Handle(procedureSync, connect.NewUnaryHandler(procedureSync, s.sync, o...))
	m.Handle(procedurePush, connect.NewUnaryHandler(procedurePush, s.push, o...))
	m.Handle(procedureBase, connect.NewUnaryHandler(procedureBase, s.base, o...))
	m.Handle(procedureFetch, connect.NewUnaryHandler(procedureFetch, s.fetch, o...))
	if s.credentials.TLS != nil {
		return m
	}
	return authenticate(m, s.credentials.Keys, s.clock, s.rejected)
}

// Serve answers calls from l until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	if s.credentials.TLS != nil {
		l = tls.NewListener(l, s.credentials.TLS.server())
	}
	return bvhttp.Serve(ctx, l, s.HTTP())
}

func (s *Server) sync(_ context.Context, r *connect.Request[syncRequest]) (*connect.Response[syncAnswer], error) {
	a := s.handler.Sync(bvconfig.NodeID(r.Msg.From), r.Msg.Cursor, int(min(r.Msg.Limit, maxRequest)))
	return connect.NewResponse(&syncAnswer{
		From:         uint64(a.From),
		Records:      encodeRecords(a.Records),
		Warm:         encodeWarm(a.Warm),
		BaseRevision: a.BaseRevision,
		Cursor:       a.Cursor,
		Done:         a.Done,
		Removals:     encodeRemovals(a.BaseRemovals),
	}), nil
}

func (s *Server) push(_ context.Context, r *connect.Request[pushRequest]) (*connect.Response[pushAnswer], error) {
	l, err := r.Msg.Records.decode()
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	s.handler.Push(bvconfig.NodeID(r.Msg.From), l)
	return connect.NewResponse(&pushAnswer{}), nil
}

func (s *Server) fetch(_ context.Context, r *connect.Request[fetchRequest]) (*connect.Response[fetchAnswer], error) {
	b, ok := s.handler.Bundle()
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("bvpeer: no configuration has been accepted"))
	}
	a := &fetchAnswer{Manifest: b.Manifest, Parts: map[string][]byte{}}
	for k, p := range b.Parts {
		if !slices.Contains(r.Msg.Have, k) {
			a.Parts[k] = p
		}
	}
	return connect.NewResponse(a), nil
}

func (s *Server) base(_ context.Context, r *connect.Request[baseRequest]) (*connect.Response[baseAnswer], error) {
	b, age, ok := s.handler.Base(r.Msg.Revision)
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("bvpeer: the revision is not retained"))
	}
	return connect.NewResponse(&baseAnswer{
		Manifest: b.Manifest, Parts: b.Parts, Age: uint64(max(age, 0) / time.Millisecond),
	}), nil
}
