package bvplatform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"balsamvane/core/bvretry"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
)

// revisionHeader is the header with the platform's revision of a value. It
// differs from the revision in the manifest: it also grows when operators
// publish the same manifest revision twice.
const revisionHeader = "Platform-Revision"

var errNotModified = errors.New("bvplatform: value has not changed")

// value is an answer of a replica.
type value struct {
	body     []byte
	revision uint64
	replica  netip.AddrPort
}

// longPoll holds the parameters of a long poll: the replica answers when the
// value has a revision higher than after, or when the seconds have passed.
type longPoll struct {
	after   uint64
	seconds int
}

// get makes one call, bounded in time and size. A timeout or the end of ctx closes
// the HTTP/1.1 connection, so that the next call uses a new one.
func (c *Client) get(ctx context.Context, at netip.AddrPort, key string, w longPoll) (value, error) {
	limit := c.options.ReadTimeout
	u := url.URL{Scheme: "http", Host: at.String(), Path: "/v1/values/" + key}
	if w.seconds > 0 {
		limit = time.Duration(w.seconds)*time.Second + c.options.WatchMargin
		u.RawQuery = fmt.Sprintf("afterRevision=%d&waitSeconds=%d", w.after, w.seconds)
	}
	ctx, cancel := clockwork.WithTimeout(ctx, c.clock, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return value{}, eris.Wrap(err, "bvplatform: building request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return value{}, eris.Wrapf(err, "bvplatform: reading %s", key)
	}
	defer func() { _ = resp.Body.Close() }()
	v, err := readAnswer(resp, key)
	v.replica = at
	return v, err
}

func readAnswer(resp *http.Response, key string) (value, error) {
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return value{}, errNotModified
	case http.StatusNotFound:
		return value{}, eris.Wrapf(ErrAbsent, "reading %s", key)
	default:
		return value{}, eris.Wrapf(ErrUnexpectedAnswer, "status %d for %s", resp.StatusCode, key)
	}
	revision, err := strconv.ParseUint(resp.Header.Get(revisionHeader), 10, 64)
	if err != nil {
		return value{}, eris.Wrapf(ErrUnexpectedAnswer, "no %s for %s", revisionHeader, key)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueBytes+1))
	if err != nil {
		return value{}, eris.Wrapf(err, "bvplatform: reading %s", key)
	}
	if len(body) > MaxValueBytes {
		return value{}, eris.Wrapf(ErrOversized, "reading %s", key)
	}
	return value{body: body, revision: revision}, nil
}

// Update is the result of one round of a watch.
type Update struct {
	// Bundle is the new configuration; its Manifest is nil if nothing has
	// changed or the watch failed.
	Bundle Bundle
	// Err is the failure of this round, or nil if the platform answered.
	Err error
}

// Watch waits for changes until ctx ends and reports each round to sink: a new
// configuration, no change, or a failure. It returns the error of ctx.
func (c *Client) Watch(ctx context.Context, sink func(Update)) error {
	backoff := bvretry.NewBackoff(c.options.FirstDelay, c.options.MaxDelay, c.options.Seed)
	after := uint64(0)
	for ctx.Err() == nil {
		b, revision, err := c.watchOnce(ctx, after)
		if ctx.Err() != nil {
			break
		}
		if err == nil {
			after = max(after, revision)
			backoff.Reset()
			sink(Update{Bundle: b})
			continue
		}
		sink(Update{Err: err})
		c.advanceReplica()
		c.transport.CloseIdleConnections()
		if err := c.sleep(ctx, backoff.Next()); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// watchOnce makes one long poll. Its result has no manifest if there is no
// revision higher than after.
func (c *Client) watchOnce(ctx context.Context, after uint64) (Bundle, uint64, error) {
	if len(c.addresses) == 0 {
		return Bundle{}, 0, ErrNoAddresses
	}
	w := longPoll{after: after, seconds: max(int(c.options.WatchWait/time.Second), 1)}
	v, err := c.get(ctx, c.replica(), c.manifestKey(), w)
	if errors.Is(err, errNotModified) {
		return Bundle{}, after, nil
	}
	if err != nil {
		return Bundle{}, 0, err
	}
	if v.revision <= after {
		// A stale replica answers at once; without this error the watch would
		// call it in a tight loop.
		return Bundle{}, 0, eris.Wrapf(ErrUnexpectedAnswer, "revision %d is not after %d", v.revision, after)
	}
	c.recordRevision(v.revision)
	b, err := c.bundle(ctx, v.body)
	return b, v.revision, err
}

func (c *Client) sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.clock.After(d):
		return nil
	}
}
