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
	"balsamvane/core/bvrevision"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
)

// revisionHeader is the header with the platform's revision of a value. It
// differs from the revision in the manifest: it also grows when operators
// publish the same manifest revision twice.
const revisionHeader = "Platform-Revision"

// eraHeader is the header that counts how often the platform was restored from a
// copy. A platform that does not send it is in era 0.
const eraHeader = "Platform-Era"

var errNotModified = errors.New("bvplatform: value has not changed")

// value is an answer of a replica.
type value struct {
	body     []byte
	revision bvrevision.Revision
	replica  netip.AddrPort
}

// longPoll holds the parameters of a long poll: the replica answers when the
// value has a revision higher than after, when the replica is not in after's era, or
// when the seconds have passed.
type longPoll struct {
	after   bvrevision.Revision
	seconds int
}

// get makes one call, bounded in time and size. A timeout or the end of ctx closes
// the HTTP/1.1 connection, so that the next call uses a new one.
func (c *Client) get(ctx context.Context, at netip.AddrPort, key string, w longPoll) (value, error) {
	limit := c.options.ReadTimeout
	u := url.URL{Scheme: "http", Host: at.String(), Path: "/v1/values/" + key}
	if w.seconds > 0 {
		limit = time.Duration(w.seconds)*time.Second + c.options.WatchMargin
		u.RawQuery = fmt.Sprintf("afterRevision=%d&afterEra=%d&waitSeconds=%d", w.after.Number, w.after.Era, w.seconds)
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

// readAnswer returns the value of an answer. If the value has not changed, it returns
// errNotModified and a value with only the era.
func readAnswer(resp *http.Response, key string) (value, error) {
	era, err := readEra(resp.Header)
	if err != nil {
		return value{}, err
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return value{revision: bvrevision.Revision{Era: era}}, errNotModified
	case http.StatusNotFound:
		return value{}, eris.Wrapf(ErrAbsent, "reading %s", key)
	default:
		return value{}, eris.Wrapf(ErrUnexpectedAnswer, "status %d for %s", resp.StatusCode, key)
	}
	number, err := strconv.ParseInt(resp.Header.Get(revisionHeader), 10, 64)
	if err != nil || number < 0 {
		return value{}, eris.Wrapf(ErrUnexpectedAnswer, "no %s for %s", revisionHeader, key)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueBytes+1))
	if err != nil {
		return value{}, eris.Wrapf(err, "bvplatform: reading %s", key)
	}
	if len(body) > MaxValueBytes {
		return value{}, eris.Wrapf(ErrOversized, "reading %s", key)
	}
	return value{body: body, revision: bvrevision.Revision{Era: era, Number: number}}, nil
}

func readEra(h http.Header) (uint64, error) {
	v := h.Get(eraHeader)
	if v == "" {
		return 0, nil
	}
	era, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		return 0, eris.Wrapf(ErrUnexpectedAnswer, "%s %q", eraHeader, v)
	}
	return era, nil
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
	after := bvrevision.Revision{}
	for ctx.Err() == nil {
		b, revision, err := c.watchOnce(ctx, after)
		if ctx.Err() != nil {
			break
		}
		if err == nil {
			after = bvrevision.Latest(after, revision)
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
// revision after the given one. If the platform was restored from a copy, the
// returned revision is the start of the new era, after which a watch gets the value
// whatever its number is.
func (c *Client) watchOnce(ctx context.Context, after bvrevision.Revision) (Bundle, bvrevision.Revision, error) {
	none := bvrevision.Revision{}
	if len(c.addresses) == 0 {
		return Bundle{}, none, ErrNoAddresses
	}
	w := longPoll{after: after, seconds: max(int(c.options.WatchWait/time.Second), 1)}
	v, err := c.get(ctx, c.replica(), c.manifestKey(), w)
	notModified := errors.Is(err, errNotModified)
	switch {
	case err != nil && !notModified:
		return Bundle{}, none, err
	case v.revision.Era < after.Era, !notModified && !v.revision.After(after):
		// A stale replica answers at once; without this error the watch would
		// call it in a tight loop.
		return Bundle{}, none, eris.Wrapf(ErrUnexpectedAnswer, "revision %s is not after %s", v.revision, after)
	case notModified:
		return Bundle{}, v.revision, nil
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
