package bvrelay

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"balsamvane/core/bvfanout"
	"balsamvane/io/bvcodec"
	"balsamvane/io/bvfollower"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
)

// listTimeout limits a listing, which the balancer answers without waiting.
const listTimeout = 2 * time.Second

// dialTimeout limits the time to open a connection. The call to a peer that does
// not accept one in time fails.
const dialTimeout = 500 * time.Millisecond

// userAgent is short, since headers are most of the bytes of a watch.
const userAgent = "bv"

// Client follows one balancer. It implements [bvfollower.Store].
type Client struct {
	self      bvfanout.Follower
	clock     clockwork.Clock
	transport *http.Transport
	list      *connect.Client[watchRequest, watchAnswer]
	watch     *connect.Client[watchRequest, watchAnswer] // Without compression: its headers take more bytes than it saves.
}

// NewClient returns a client of the balancer with the given control address. self
// is the follower.
func NewClient(control netip.AddrPort, self bvfanout.Follower, clock clockwork.Clock) *Client {
	t := &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:    2,
		DisableCompression: true,
	}
	h, url := &http.Client{Transport: t}, "http://"+control.String()+procedureWatch
	options := []connect.ClientOption{connect.WithCodec(bvcodec.New()), connect.WithReadMaxBytes(maxAnswerBytes)}
	return &Client{
		self: self, clock: clock, transport: t,
		list:  connect.NewClient[watchRequest, watchAnswer](h, url, options...),
		watch: connect.NewClient[watchRequest, watchAnswer](h, url, append(options, connect.WithAcceptCompression("gzip", nil, nil))...),
	}
}

// List returns the balancer's whole catalog in one answer.
func (c *Client) List(ctx context.Context, _ func()) (bvfollower.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return c.call(ctx, c.list, &watchRequest{List: true})
}

// Watch waits for changes after a revision, at most for wait.
func (c *Client) Watch(ctx context.Context, after bvfollower.Position, wait time.Duration) (bvfollower.Listing, error) {
	q := &watchRequest{
		After: after.Revision.Number, Era: after.Revision.Era, Wait: uint32(wait.Milliseconds()), Age: milliseconds(after.Age), Zone: c.self.Zone,
	}
	if c.self.Address.IsValid() {
		q.Address = encodeAddress(c.self.Address)
	}
	return c.call(ctx, c.watch, q)
}

func (c *Client) call(ctx context.Context, procedure *connect.Client[watchRequest, watchAnswer], q *watchRequest) (bvfollower.Listing, error) {
	r := connect.NewRequest(q)
	r.Header().Set("User-Agent", userAgent)
	asked := c.clock.Now()
	a, err := procedure.CallUnary(ctx, r)
	if connect.CodeOf(err) == connect.CodeOutOfRange {
		return bvfollower.Listing{}, bvfollower.ErrCompacted
	}
	if err != nil {
		return bvfollower.Listing{}, eris.Wrap(err, "bvrelay: calling a peer")
	}
	if err := a.Msg.validate(); err != nil {
		return bvfollower.Listing{}, err
	}
	if len(a.Msg.Others) > 0 {
		return bvfollower.Listing{}, a.Msg.redirect()
	}
	return a.Msg.decode(asked)
}

// Disconnect closes idle connections, so that the next call opens a new one.
func (c *Client) Disconnect() { c.transport.CloseIdleConnections() }
