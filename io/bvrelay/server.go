package bvrelay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"balsamvane/core/bvcatalog"
	"balsamvane/core/bvfanout"
	"balsamvane/io/bvcodec"
	"balsamvane/io/bvfollower"
	"balsamvane/io/bvhttp"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
)

// compressFrom is the size from which an answer is compressed, in bytes: that
// of listings. Only a call for a listing accepts that.
const compressFrom = 4 << 10

// Provider gives what followers ask for. It is called from several goroutines.
type Provider interface {
	// All returns all entries; ok is false while nothing is known.
	All() (l bvfollower.Listing, ok bool)
	// Since returns the changes after a revision; ok is false if they are not
	// held any more.
	Since(after bvcatalog.Revision) (l bvfollower.Listing, ok bool)
	// Changed returns a channel that is closed at the next answer of the store.
	Changed() <-chan struct{}
}

// Server answers followers.
type Server struct {
	provider Provider
	clock    clockwork.Clock
	maxAge   time.Duration
	watches  chan struct{}

	mu     sync.Mutex // Guards fanout.
	fanout *bvfanout.Fanout
}

// NewServer returns a server that answers with what provider knows, to the
// followers that fanout takes. A watch ends when that is older than maxAge, so
// that followers turn to others.
func NewServer(p Provider, fanout *bvfanout.Fanout, clock clockwork.Clock, maxAge time.Duration) *Server {
	return &Server{provider: p, fanout: fanout, clock: clock, maxAge: maxAge, watches: make(chan struct{}, maxWatches)}
}

// Followers returns the number of balancers that follow this one.
func (s *Server) Followers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fanout.Len(s.clock.Now())
}

// Serve answers calls from l until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	m := http.NewServeMux()
	watch := connect.NewUnaryHandler(procedureWatch, s.watch,
		connect.WithCodec(bvcodec.New()), connect.WithReadMaxBytes(maxRequest), connect.WithCompressMinBytes(compressFrom))
	m.HandleFunc(procedureWatch, func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil // Nobody reads it, and headers are most of the bytes of a watch.
		watch.ServeHTTP(w, r)
	})
	return bvhttp.Serve(ctx, l, m)
}

func (s *Server) watch(ctx context.Context, r *connect.Request[watchRequest]) (*connect.Response[watchAnswer], error) {
	select {
	case s.watches <- struct{}{}:
		defer func() { <-s.watches }()
	default:
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.New("bvrelay: too many followers"))
	}
	if err := r.Msg.check(); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if r.Msg.List {
		l, ok := s.provider.All()
		if !ok {
			return nil, connect.NewError(connect.CodeUnavailable, errors.New("bvrelay: nothing is known yet"))
		}
		return connect.NewResponse(encode(l)), nil
	}
	others, err := s.place(r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if len(others) > 0 {
		return connect.NewResponse(encodeRedirect(others)), nil
	}
	l, ok := s.wait(ctx, r.Msg)
	if !ok {
		return nil, connect.NewError(connect.CodeOutOfRange, bvfollower.ErrCompacted)
	}
	return connect.NewResponse(encode(l)), nil
}

// place returns the balancers that the sender of q is to follow instead.
func (s *Server) place(q *watchRequest) ([]netip.AddrPort, error) {
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

// wait returns the changes after a revision as soon as there are some, and none
// when the store has confirmed the state since the follower's, when that is too old, or at the
// end of the wait. Followers so have a state that is hardly older than this
// balancer's.
func (s *Server) wait(ctx context.Context, q *watchRequest) (bvfollower.Listing, bool) {
	after := bvcatalog.Revision(q.After)
	end := s.clock.After(min(time.Duration(q.Wait)*time.Millisecond, maxWait))
	known, started := duration(q.Age), s.clock.Now()
	for {
		changed := s.provider.Changed()
		l, ok := s.provider.Since(after)
		left := s.maxAge - l.Age
		if !ok || len(l.Changes) > 0 || left <= 0 || l.Age+ageGain < known+s.clock.Since(started) {
			return l, ok
		}
		select {
		case <-changed:
			continue
		case <-s.clock.After(left):
			continue
		case <-end:
		case <-ctx.Done():
		}
		return s.provider.Since(after)
	}
}
