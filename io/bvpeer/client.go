package bvpeer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvnode"
	"balsamvane/core/bvretry"
	"balsamvane/io/bvcodec"
	"balsamvane/io/bvplatform"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
)

// ErrTimeout is returned for a call that the peer did not answer in time.
var ErrTimeout = errors.New("bvpeer: peer did not answer in time")

// Options bound the client. Zero values are replaced by the defaults given.
type Options struct {
	Timeout    time.Duration // One attempt; 2 s.
	RetryDelay time.Duration // First delay before a retry; 100 ms.
	Seed       uint64        // Feeds the jitter.
}

// Client calls peers. It is safe for concurrent use.
type Client struct {
	self    bvconfig.NodeID
	clock   clockwork.Clock
	options Options
	scheme  string
	http    connect.HTTPClient
	budget  bvretry.Budget

	mu      sync.Mutex
	backoff *bvretry.Backoff
	parts   map[string][]byte // Parts of the last configuration fetched.
}

// NewClient returns a client that calls in the name of self.
func NewClient(self bvconfig.NodeID, c Credentials, clock clockwork.Clock, o Options) *Client {
	if o.Timeout <= 0 {
		o.Timeout = 2 * time.Second
	}
	if o.RetryDelay <= 0 {
		o.RetryDelay = 100 * time.Millisecond
	}
	t := &http.Transport{
		DialContext:     (&net.Dialer{Timeout: o.Timeout}).DialContext,
		IdleConnTimeout: time.Minute,
		MaxConnsPerHost: 2,
	}
	out := &Client{
		self: self, clock: clock, options: o, scheme: "http",
		backoff: bvretry.NewBackoff(o.RetryDelay, o.Timeout, o.Seed),
	}
	out.http = &http.Client{Transport: signing{next: t, keys: c.Keys, clock: clock}}
	if c.TLS != nil {
		out.scheme = "https"
		t.DialTLSContext = c.TLS.dial
		out.http = &http.Client{Transport: t}
	}
	return out
}

// Sync asks the peer at control for its records from cursor on, at most limit
// bytes of them.
func (c *Client) Sync(ctx context.Context, control netip.AddrPort, cursor uint64, limit int) (bvnode.SyncReceived, error) {
	a, err := call[syncRequest, syncAnswer](ctx, c, control, procedureSync,
		&syncRequest{From: uint64(c.self), Cursor: cursor, Limit: uint32(max(limit, 0))})
	if err != nil {
		return bvnode.SyncReceived{}, err
	}
	l, err := a.Records.decode()
	if err != nil {
		return bvnode.SyncReceived{}, err
	}
	return bvnode.SyncReceived{
		From:         bvconfig.NodeID(a.From),
		Records:      l,
		Warm:         decodeWarm(a.Warm),
		BaseRevision: a.BaseRevision,
		Cursor:       a.Cursor,
		Done:         a.Done,
		BaseRemovals: decodeLeft(a.Left),
	}, nil
}

// Push gives records to the peer at control and returns when it has stored
// them.
func (c *Client) Push(ctx context.Context, control netip.AddrPort, l []bvnode.FlowRecord) error {
	_, err := call[pushRequest, pushAnswer](ctx, c, control, procedurePush,
		&pushRequest{From: uint64(c.self), Records: encodeRecords(l)})
	return err
}

// Fetch returns the accepted configuration of the peer at control. Parts that
// were fetched before are not sent again.
func (c *Client) Fetch(ctx context.Context, control netip.AddrPort) (bvplatform.Bundle, error) {
	c.mu.Lock()
	known := c.parts
	c.mu.Unlock()
	req := &fetchRequest{}
	for k := range known {
		req.Have = append(req.Have, k)
	}
	a, err := call[fetchRequest, fetchAnswer](ctx, c, control, procedureFetch, req)
	if err != nil {
		return bvplatform.Bundle{}, err
	}
	b, err := bvplatform.Assemble(a.Manifest, a.Parts, known)
	if err != nil {
		return bvplatform.Bundle{}, err
	}
	c.CacheParts(b)
	return b, nil
}

// FetchBase returns an earlier configuration that the peer at control retains
// for base picks, and how long ago it came into force there.
func (c *Client) FetchBase(ctx context.Context, control netip.AddrPort, revision uint64) (bvplatform.Bundle, time.Duration, error) {
	a, err := call[baseRequest, baseAnswer](ctx, c, control, procedureBase, &baseRequest{Revision: revision})
	if err != nil {
		return bvplatform.Bundle{}, 0, err
	}
	b, err := bvplatform.Assemble(a.Manifest, a.Parts, nil)
	return b, milliseconds(a.Age), err
}

// CacheParts tells the client of a configuration that this node has, so that a
// fetch asks only for other parts.
func (c *Client) CacheParts(b bvplatform.Bundle) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parts = b.Parts
}

// call makes one call and at most one retry. The answers that a retry cannot
// change are returned at once.
func call[Q, A any](ctx context.Context, c *Client, at netip.AddrPort, procedure string, q *Q) (*A, error) {
	client := connect.NewClient[Q, A](c.http, c.scheme+"://"+at.String()+procedure,
		connect.WithCodec(bvcodec.New()), connect.WithReadMaxBytes(maxAnswer))
	c.budget.Called(c.clock.Now())
	a, err := attempt(ctx, c, client, q)
	if err == nil || !retryable(err) || ctx.Err() != nil || !c.budget.Allow(c.clock.Now()) {
		return a, err
	}
	c.mu.Lock()
	delay := c.backoff.Jitter(c.options.RetryDelay)
	c.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, err
	case <-c.clock.After(delay):
	}
	return attempt(ctx, c, client, q)
}

func retryable(err error) bool {
	if errors.Is(err, ErrTimeout) {
		return true
	}
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeUnknown, connect.CodeInternal:
		return true
	default:
		return false
	}
}

// attempt makes one bounded call. Its context carries no deadline, because the
// deadline would be on the clock that was passed in, and net/http and connect
// compare deadlines with the system clock.
func attempt[Q, A any](ctx context.Context, c *Client, client *connect.Client[Q, A], q *Q) (*A, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t := c.clock.AfterFunc(c.options.Timeout, func() { cancel(ErrTimeout) })
	defer t.Stop()
	r, err := client.CallUnary(ctx, connect.NewRequest(q))
	if err != nil {
		if errors.Is(context.Cause(ctx), ErrTimeout) {
			return nil, eris.Wrap(ErrTimeout, "calling peer")
		}
		return nil, eris.Wrap(err, "bvpeer: calling peer")
	}
	return r.Msg, nil
}
