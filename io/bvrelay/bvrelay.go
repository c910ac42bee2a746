// Package bvrelay lets balancers follow the catalog of another balancer instead of
// the platform's store, so that few balancers read the store.
//
// A watch is a long poll that waits at the serving balancer until there are
// changes. Each answer holds the time since the store confirmed the state, so
// that a follower can detect a balancer that no longer reaches the store. A
// balancer with enough followers redirects a new one to some of them (package
// bvfanout). Calls use connect over HTTP/1.1 with a CBOR codec, like those of
// package bvpeer.
//
// # Usage
//
//	server := bvrelay.NewServer(provider, fanout, clock, bvsource.DefaultMaxAge)
//	go server.Serve(ctx, listener)
//	source := bvfollower.Source{Name: "peer", Store: bvrelay.NewClient(address, self, clock)}
package bvrelay

import (
	"errors"
	"math"
	"net/netip"
	"time"

	"balsamvane/core/bvcatalog"
	"balsamvane/core/bvconfig"
	"balsamvane/core/bvrevision"
	"balsamvane/io/bvfollower"
)

const (
	// procedureWatch has the version of the messages. A balancer of version 1 knows no
	// eras, so it must not be followed.
	procedureWatch = "/balsamvane.relay.v2.Relay/Watch"
	// maxRequestBytes and maxAnswerBytes limit the size of a message. A listing of
	// 140,000 upstreams takes 8 MB.
	maxRequestBytes = 4 << 10
	maxAnswerBytes  = 16 << 20
	// maxWatches limits the concurrent calls of followers to one balancer.
	maxWatches = 128
	// minAgeGain is the difference in age from which a watch is answered without
	// changes because this balancer's state is more recent than the follower's.
	minAgeGain = 200 * time.Millisecond
	// maxWait limits the wait that a follower may request.
	maxWait = 10 * time.Second
)

// ErrMalformedChange is returned for a change that cannot be decoded.
var ErrMalformedChange = errors.New("bvrelay: malformed change")

// ErrOutOfBounds is returned for a message with a revision, a count or a length
// that no balancer sends.
var ErrOutOfBounds = errors.New("bvrelay: message is out of bounds")

const (
	// maxPath limits the number of balancers that relayed a state. The tree of
	// 15,000 balancers is five deep.
	maxPath = 64
	// maxRedirectTargets limits the balancers to which an answer redirects the
	// follower.
	maxRedirectTargets = 16
	// maxZoneBytes limits the length of a zone's name.
	maxZoneBytes = 256
	// maxWatermarkOffset limits how far a watermark is from the request. Any other one
	// counts as unknown.
	maxWatermarkOffset = time.Hour
)

// validate returns ErrOutOfBounds for an answer that no balancer sends.
func (w *watchAnswer) validate() error {
	if w.Revision < 0 || len(w.Path) > maxPath || len(w.Others) > maxRedirectTargets {
		return ErrOutOfBounds
	}
	return nil
}

// validate returns ErrOutOfBounds for a request that no balancer sends.
func (q *watchRequest) validate() error {
	if q.After < 0 || len(q.Zone) > maxZoneBytes {
		return ErrOutOfBounds
	}
	return nil
}

// The wire forms of a catalog's content. Addresses are in the binary form of
// [netip.AddrPort], durations in milliseconds.

type watchRequest struct {
	After int64  `cbor:"1,keyasint"`
	List  bool   `cbor:"2,keyasint,omitempty"` // Return all entries without waiting.
	Wait  uint32 `cbor:"3,keyasint,omitempty"`
	Age   uint64 `cbor:"4,keyasint,omitempty"` // Age of the follower's state.
	// Address and Zone are those of the follower. Address is empty if the
	// follower cannot be followed itself.
	Address []byte `cbor:"5,keyasint,omitempty"`
	Zone    string `cbor:"6,keyasint,omitempty"`
	Era     uint64 `cbor:"7,keyasint,omitempty"` // Era of After.
}

type watchAnswer struct {
	Revision int64        `cbor:"1,keyasint"`
	Age      uint64       `cbor:"2,keyasint,omitempty"`
	Changes  []wireChange `cbor:"3,keyasint,omitempty"`
	// Others are the balancers to follow instead. If set, the other fields are
	// empty.
	Others [][]byte `cbor:"4,keyasint,omitempty"`
	Path   [][]byte `cbor:"5,keyasint,omitempty"`
	Era    uint64   `cbor:"6,keyasint,omitempty"` // Era of all revisions in the answer.
	// Watermark is the time in milliseconds from the arrival of the request to the
	// watermark of the state; negative if that was before. It is absent if none is
	// known, as in answers of earlier versions.
	Watermark *int64 `cbor:"7,keyasint,omitempty"`
}

// wireChange is a change; exactly one field is set.
type wireChange struct {
	Configuration     *wireConfiguration `cbor:"1,keyasint,omitempty"`
	ZoneOutOfService  string             `cbor:"2,keyasint,omitempty"`
	ZoneBackInService string             `cbor:"3,keyasint,omitempty"`
	Upstream          *wireUpstream      `cbor:"4,keyasint,omitempty"`
	Removed           *wireRemoved       `cbor:"5,keyasint,omitempty"`
	Unreadable        *wireUnreadable    `cbor:"6,keyasint,omitempty"`
}

type wireConfiguration struct {
	Version  uint64        `cbor:"1,keyasint"`
	Routes   []wireRoute   `cbor:"2,keyasint,omitempty"`
	Services []wireService `cbor:"3,keyasint,omitempty"`
	// Requests holds an entry for each of Routes. Balancers of earlier versions send
	// none.
	Requests []wireRequests `cbor:"4,keyasint,omitempty"`
}

// wireRequests describes the requests of a route. Durations are in milliseconds.
type wireRequests struct {
	_         struct{} `cbor:",toarray"`
	Objective uint64
	Timeout   uint64
	Priority  uint8
}

type wireRoute struct {
	_          struct{} `cbor:",toarray"`
	Name       string
	Address    []byte
	Idempotent bool
	Backends   []wireBackend
}

type wireBackend struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Weight  uint32
}

type wireService struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	ColdRate    float64
	ColdFor     uint64
	Connections uint32
}

type wireUpstream struct {
	_        struct{} `cbor:",toarray"`
	Revision int64
	ID       uint64
	Address  []byte
	Service  string
	Zone     string
	Slots    uint32
	Draining bool
	ColdFor  uint64
	// StartedAt is in Unix milliseconds; 0 if it is unknown.
	StartedAt int64
	Sequence  uint64
}

type wireRemoved struct {
	_        struct{} `cbor:",toarray"`
	Revision int64
	ID       uint64
}

type wireUnreadable struct {
	_        struct{} `cbor:",toarray"`
	Revision int64
	ID       uint64
	Problem  string
}

// encode returns the wire form of a listing in the answer to a request that arrived
// at the time asked.
func encode(l bvfollower.Listing, asked time.Time) *watchAnswer {
	era := l.Revision.Era
	out := &watchAnswer{
		Revision: l.Revision.Number, Era: era, Age: milliseconds(l.Age), Path: encodeAddresses(l.Path),
		Watermark: encodeWatermark(l.Watermark, asked),
	}
	for _, c := range l.Changes {
		out.Changes = append(out.Changes, encodeChange(c, era))
	}
	return out
}

// encodeWatermark returns the time from asked to a watermark in milliseconds, rounded
// down, or nil if the watermark is unknown or out of bounds.
func encodeWatermark(watermark, asked time.Time) *int64 {
	offset := watermark.Sub(asked)
	if watermark.IsZero() || offset.Abs() >= maxWatermarkOffset {
		return nil
	}
	ms := int64(math.Floor(float64(offset) / float64(time.Millisecond)))
	return &ms
}

// watermark returns the watermark of an answer, or the zero value if it is unknown. The
// request was sent at the time asked and arrived later, so the watermark is not too
// late whatever delayed the request or the answer.
func (w *watchAnswer) watermark(asked time.Time) time.Time {
	limit := maxWatermarkOffset.Milliseconds()
	if w.Watermark == nil || *w.Watermark < -limit || *w.Watermark > limit {
		return time.Time{}
	}
	return asked.Add(time.Duration(*w.Watermark) * time.Millisecond)
}

func encodeRedirect(others []netip.AddrPort) *watchAnswer {
	return &watchAnswer{Others: encodeAddresses(others)}
}

// redirect returns a [bvfollower.Redirect] to the others, or [ErrMalformedChange]
// if an address is malformed.
func (w *watchAnswer) redirect() error {
	others, err := decodeAddresses(w.Others)
	if err != nil {
		return err
	}
	return &bvfollower.Redirect{Others: others}
}

// number returns the number of a revision in an answer of the given era. For a
// revision of an earlier era it is 0, which is before all revisions of the era.
func number(r bvrevision.Revision, era uint64) int64 {
	if r.Era != era {
		return 0
	}
	return r.Number
}

// encodeChange returns the wire form of a change in an answer of the given era.
func encodeChange(c bvcatalog.Change, era uint64) wireChange {
	switch v := c.(type) {
	case bvcatalog.Configuration:
		return wireChange{Configuration: encodeConfiguration(v)}
	case bvcatalog.ZoneOutOfService:
		return wireChange{ZoneOutOfService: v.Zone}
	case bvcatalog.ZoneBackInService:
		return wireChange{ZoneBackInService: v.Zone}
	case bvcatalog.UpstreamPut:
		u := v.Upstream
		return wireChange{Upstream: &wireUpstream{
			Revision: number(v.Revision, era), ID: uint64(u.ID), Address: encodeAddress(u.Address), Service: u.Service,
			Zone: u.Zone, Slots: u.Slots, Draining: u.Draining, ColdFor: milliseconds(u.ColdFor),
			StartedAt: unixMilliseconds(u.StartedAt), Sequence: u.Sequence,
		}}
	case bvcatalog.UpstreamRemoved:
		return wireChange{Removed: &wireRemoved{Revision: number(v.Revision, era), ID: uint64(v.ID)}}
	case bvcatalog.UpstreamUnreadable:
		return wireChange{Unreadable: &wireUnreadable{Revision: number(v.Revision, era), ID: uint64(v.ID), Problem: v.Problem}}
	}
	return wireChange{}
}

func encodeConfiguration(d bvcatalog.Configuration) *wireConfiguration {
	w := &wireConfiguration{Version: d.Version}
	for _, r := range d.Routes {
		x := wireRoute{Name: r.Name, Address: encodeAddress(r.Address), Idempotent: r.Idempotent}
		for _, b := range r.Backends {
			x.Backends = append(x.Backends, wireBackend{Service: b.Service, Weight: b.Weight})
		}
		w.Routes = append(w.Routes, x)
		w.Requests = append(w.Requests, wireRequests{
			Objective: milliseconds(r.Objective), Timeout: milliseconds(r.Timeout), Priority: r.Priority,
		})
	}
	for _, s := range d.Services {
		w.Services = append(w.Services, wireService{
			Name: s.Name, ColdRate: s.ColdFlowsPerSecond, ColdFor: milliseconds(s.ColdFor), Connections: s.Connections,
		})
	}
	return w
}

// decode returns the listing of an answer to a request that was sent at the time
// asked.
func (w *watchAnswer) decode(asked time.Time) (bvfollower.Listing, error) {
	path, err := decodeAddresses(w.Path)
	if err != nil {
		return bvfollower.Listing{}, err
	}
	out := bvfollower.Listing{
		Revision: bvrevision.Revision{Era: w.Era, Number: w.Revision}, Age: duration(w.Age), Path: path, Watermark: w.watermark(asked),
	}
	for _, x := range w.Changes {
		c, err := x.decode(w.Era)
		if err != nil {
			return bvfollower.Listing{}, err
		}
		out.Changes = append(out.Changes, c)
	}
	return out, nil
}

// decode returns a change of an answer of the given era.
func (x wireChange) decode(era uint64) (bvcatalog.Change, error) {
	switch {
	case x.Configuration != nil:
		return x.Configuration.decode()
	case x.ZoneOutOfService != "":
		return bvcatalog.ZoneOutOfService{Zone: x.ZoneOutOfService}, nil
	case x.ZoneBackInService != "":
		return bvcatalog.ZoneBackInService{Zone: x.ZoneBackInService}, nil
	case x.Upstream != nil:
		return x.Upstream.decode(era)
	case x.Removed != nil:
		return bvcatalog.UpstreamRemoved{
			Revision: bvrevision.Revision{Era: era, Number: x.Removed.Revision}, ID: bvconfig.UpstreamID(x.Removed.ID),
		}, nil
	case x.Unreadable != nil:
		revision := bvrevision.Revision{Era: era, Number: x.Unreadable.Revision}
		return bvcatalog.NewUnreadable(revision, bvconfig.UpstreamID(x.Unreadable.ID), x.Unreadable.Problem), nil
	}
	return nil, ErrMalformedChange
}

func (w *wireConfiguration) decode() (bvcatalog.Change, error) {
	d := bvcatalog.Configuration{Version: w.Version}
	for i, x := range w.Routes {
		a, err := decodeAddress(x.Address)
		if err != nil {
			return nil, err
		}
		r := bvcatalog.Route{Name: x.Name, Address: a, Idempotent: x.Idempotent, RequestPolicy: w.requestPolicy(i)}
		for _, b := range x.Backends {
			r.Backends = append(r.Backends, bvcatalog.Backend{Service: b.Service, Weight: b.Weight})
		}
		if len(r.Backends) == 0 {
			return nil, ErrMalformedChange
		}
		d.Routes = append(d.Routes, r)
	}
	for _, s := range w.Services {
		d.Services = append(d.Services, bvcatalog.ServiceLimits{
			Name: s.Name, ColdFlowsPerSecond: s.ColdRate, ColdFor: duration(s.ColdFor), Connections: s.Connections,
		})
	}
	return d, nil
}

// requestPolicy returns the request policy of route i.
func (w *wireConfiguration) requestPolicy(i int) bvcatalog.RequestPolicy {
	if i >= len(w.Requests) {
		return bvcatalog.NewRequestPolicy(0, 0, bvcatalog.LowestPriority)
	}
	q := w.Requests[i]
	return bvcatalog.NewRequestPolicy(duration(q.Objective), duration(q.Timeout), int(q.Priority))
}

func (w *wireUpstream) decode(era uint64) (bvcatalog.Change, error) {
	a, err := decodeAddress(w.Address)
	if err != nil {
		return nil, err
	}
	return bvcatalog.NewPut(bvrevision.Revision{Era: era, Number: w.Revision}, bvcatalog.Upstream{
		ID: bvconfig.UpstreamID(w.ID), Address: a, Service: w.Service, Zone: w.Zone, Slots: w.Slots,
		Draining: w.Draining, ColdFor: duration(w.ColdFor), StartedAt: startTime(w.StartedAt), Sequence: w.Sequence,
	}), nil
}

func encodeAddress(a netip.AddrPort) []byte {
	b, err := a.MarshalBinary()
	if err != nil {
		panic(err) // MarshalBinary of an AddrPort never fails.
	}
	return b
}

func encodeAddresses(as []netip.AddrPort) (out [][]byte) {
	for _, a := range as {
		out = append(out, encodeAddress(a))
	}
	return out
}

func decodeAddresses(bs [][]byte) (out []netip.AddrPort, err error) {
	for _, b := range bs {
		a, err := decodeAddress(b)
		if err != nil {
			return nil, err
		}
		out = append(out, a)
	}
	return out, nil
}

func decodeAddress(b []byte) (netip.AddrPort, error) {
	var a netip.AddrPort
	if err := a.UnmarshalBinary(b); err != nil || !a.IsValid() {
		return a, ErrMalformedChange
	}
	return a, nil
}

// unixMilliseconds returns a start time in Unix milliseconds, or 0 if it is unknown.
func unixMilliseconds(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// startTime returns the start time for n Unix milliseconds, or the zero value if n
// is 0.
func startTime(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.UnixMilli(n).UTC()
}

func milliseconds(d time.Duration) uint64 { return uint64(max(d, 0).Milliseconds()) }

// duration returns n milliseconds, limited to an hour.
func duration(n uint64) time.Duration {
	return min(time.Duration(min(n, uint64(time.Hour.Milliseconds())))*time.Millisecond, time.Hour)
}
