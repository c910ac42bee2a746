package bvrelay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"balsamvane/core/bvfanout"
	"balsamvane/core/bvrevision"
	"balsamvane/io/bvcodec"
	"balsamvane/io/bvfollower"
	"balsamvane/io/bvhttp"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
)

// minCompressBytes is the size from which answers are compressed. Only calls for
// a listing accept compression.
const minCompressBytes = 4 << 10

// errEarlierEra is the answer to a follower which knows, other than this balancer,
// that the store was restored from a copy.
var errEarlierEra = errors.New("bvrelay: the state is from before the store was restored")

// Provider provides the catalog that followers receive. Its methods are called
// concurrently.
type Provider interface {
	// All returns all entries; ok is false until the catalog is complete.
	All() (l bvfollower.Listing, ok bool)
	// Since returns the changes after a revision; ok is false if the history does
	// not hold them.
	Since(after bvrevision.Revision) (l bvfollower.Listing, ok bool)
	// Changed returns a channel that is closed at the next answer of the
	// provider's own source, with or without changes.
	Changed() <-chan struct{}
}

// Server answers the calls of followers.
type Server struct {
	provider Provider
	clock    clockwork.Clock
	maxAge   time.Duration
	watches  chan struct{}

	mu     sync.Mutex // Guards fanout.
	fanout *bvfanout.Fanout
}

// NewServer returns a server that answers from p to the followers that fanout
// admits. It answers a watch as soon as the state of p is older than maxAge, so
// that the follower can change to another source.
func NewServer(p Provider, fanout *bvfanout.Fanout, clock clockwork.Clock, maxAge time.Duration) *Server {
	return &Server{provider: p, fanout: fanout, clock: clock, maxAge: maxAge, watches: make(chan struct{}, maxWatches)}
}

// Followers returns the number of balancers that follow this one.
func (s *Server) Followers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fanout.Len(s.clock.Now())
}

// Serve answers calls from l until ctx is done.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	m := http.NewServeMux()
	watch := connect.NewUnaryHandler(procedureWatch, s.watch,
		connect.WithCodec(bvcodec.New()), connect.WithReadMaxBytes(maxRequestBytes), connect.WithCompressMinBytes(minCompressBytes))
	m.HandleFunc(procedureWatch, func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil // Unused, and headers are most of the bytes of a watch.
		watch.ServeHTTP(w, r)
	})
	return bvhttp.Serve(ctx, l, m)
}

func (s *Server) watch(ctx context.Context, r *connect.Request[watchRequest]) (*connect.Response[watchAnswer], error) {
	asked := s.clock.Now()
	select {
	case s.watches <- struct{}{}:
		defer func() { <-s.watches }()
	default:
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.New("bvrelay: too many followers"))
	}
	if err := r.Msg.validate(); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if r.Msg.List {
		l, ok := s.provider.All()
		if !ok {
			return nil, connect.NewError(connect.CodeUnavailable, errors.New("bvrelay: nothing is known yet"))
		}
		return connect.NewResponse(encode(l, asked)), nil
	}
	others, err := s.redirectTargets(r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if len(others) > 0 {
		return connect.NewResponse(encodeRedirect(others)), nil
	}
	l, ok := s.waitForChanges(ctx, r.Msg)
	switch {
	case l.Revision.Era < r.Msg.Era:
		return nil, connect.NewError(connect.CodeUnavailable, errEarlierEra)
	case !ok:
		return nil, connect.NewError(connect.CodeOutOfRange, bvfollower.ErrCompacted)
	}
	return connect.NewResponse(encode(l, asked)), nil
}

// redirectTargets returns the balancers to which the sender of q is redirected;
// none if it is admitted.
func (s *Server) redirectTargets(q *watchRequest) ([]netip.AddrPort, error) {
	x := bvfanout.Follower{Zone: q.Zone}
	if len(q.Address) > 0 {
		a, err := decodeAddress(q.Address)
		if err != nil {
			return nil, err
		}
		x.Address = a
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fanout.Admit(s.clock.Now(), x), nil
}

// waitForChanges returns the changes after a revision as soon as there are any.
// It returns none at the end of the wait, when this balancer's state is too old,
// or when the store has confirmed it more recently than the follower's. The last
// case keeps the follower's state hardly older than this balancer's.
func (s *Server) waitForChanges(ctx context.Context, q *watchRequest) (bvfollower.Listing, bool) {
	after := bvrevision.Revision{Era: q.Era, Number: q.After}
	end := s.clock.After(min(time.Duration(q.Wait)*time.Millisecond, maxWait))
	followerAge, started := duration(q.Age), s.clock.Now()
	for {
		changed := s.provider.Changed()
		l, ok := s.provider.Since(after)
		remaining := s.maxAge - l.Age
		if !ok || len(l.Changes) > 0 || remaining <= 0 || l.Age+minAgeGain < followerAge+s.clock.Since(started) {
			return l, ok
		}
		select {
		case <-changed:
			continue
		case <-s.clock.After(remaining):
			continue
		case <-end:
		case <-ctx.Done():
		}
		return s.provider.Since(after)
	}
}
