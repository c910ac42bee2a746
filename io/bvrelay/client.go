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
	"github.com/rotisserie/eris"
)

// listTimeout bounds a listing, which the balancer answers at once.
const listTimeout = 2 * time.Second

// dialTimeout bounds the opening of a connection. A peer that does not take
// one within it is passed over.
const dialTimeout = 500 * time.Millisecond

// userAgent is short: headers are most of the bytes of a watch.
const userAgent = "bv"

// Client follows one balancer. It implements [bvfollower.Store].
type Client struct {
	self      bvfanout.Follower
	transport *http.Transport
	list      *connect.Client[watchRequest, watchAnswer]
	watch     *connect.Client[watchRequest, watchAnswer] // Without compression, whose headers are longer than what it saves.
}

// NewClient returns a client of the balancer whose control address is given.
// self is the balancer that follows.
func NewClient(control netip.AddrPort, self bvfanout.Follower) *Client {
	t := &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:    2,
		DisableCompression: true,
	}
	h, url := &http.Client{Transport: t}, "http://"+control.String()+procedureWatch
	options := []connect.ClientOption{connect.WithCodec(bvcodec.New()), connect.WithReadMaxBytes(maxAnswer)}
	return &Client{
		self: self, transport: t,
		list:  connect.NewClient[watchRequest, watchAnswer](h, url, options...),
		watch: connect.NewClient[watchRequest, watchAnswer](h, url, append(options, connect.WithAcceptCompression("gzip", nil, nil))...),
	}
}

// List returns all that the balancer knows, in one part.
func (c *Client) List(ctx context.Context, _ func()) (bvfollower.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return ask(ctx, c.list, &watchRequest{List: true})
}

// Watch waits for changes after a revision.
func (c *Client) Watch(ctx context.Context, after bvfollower.Position, wait time.Duration) (bvfollower.Listing, error) {
	q := &watchRequest{
		After: int64(after.Revision), Wait: uint32(wait.Milliseconds()), Age: milliseconds(after.Age), Zone: c.self.Zone,
	}
	if c.self.Address.IsValid() {
		q.Address = encodeAddress(c.self.Address)
	}
	return ask(ctx, c.watch, q)
}

func ask(ctx context.Context, c *connect.Client[watchRequest, watchAnswer], q *watchRequest) (bvfollower.Listing, error) {
	r := connect.NewRequest(q)
	r.Header().Set("User-Agent", userAgent)
	a, err := c.CallUnary(ctx, r)
	if connect.CodeOf(err) == connect.CodeOutOfRange {
		return bvfollower.Listing{}, bvfollower.ErrCompacted
	}
	if err != nil {
		return bvfollower.Listing{}, eris.Wrap(err, "bvrelay: asking a peer")
	}
	if err := a.Msg.check(); err != nil {
		return bvfollower.Listing{}, err
	}
	if len(a.Msg.Others) > 0 {
		return bvfollower.Listing{}, a.Msg.redirect()
	}
	return a.Msg.decode()
}

// Disconnect makes the next call use a new connection.
func (c *Client) Disconnect() { c.transport.CloseIdleConnections() }
