package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// maxReplyBytes bounds a reply of the admin endpoint. At the design size, a
// dump of all flows of a balancer is well below it.
const maxReplyBytes = 256 << 20

// adminClient reads the admin endpoint of balancers.
type adminClient struct {
	http *http.Client
}

// newAdminClient returns a client whose requests time out after timeout. It
// uses no proxy, because balancers are reached by IP address.
func newAdminClient(timeout time.Duration) *adminClient {
	return &adminClient{http: &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// get requests a path from a balancer and returns the JSON reply.
func (c *adminClient) get(ctx context.Context, address, path string, query url.Values) (json.RawMessage, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, eris.Errorf("%q is not an address: write ip:port, such as 127.0.0.1:9090", address)
	}
	u := url.URL{Scheme: "http", Host: a.String(), Path: path, RawQuery: query.Encode()}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	reply, err := c.http.Do(r)
	if err != nil {
		return nil, eris.Wrapf(err, "read %s of %s", path, address)
	}
	defer func() { _ = reply.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxReplyBytes+1))
	if err != nil {
		return nil, eris.Wrapf(err, "read %s of %s", path, address)
	}
	if len(body) > maxReplyBytes {
		return nil, eris.Errorf("%s of %s has more than %d bytes: ask for one service, flow or VM", path, address, maxReplyBytes)
	}
	if reply.StatusCode != http.StatusOK {
		return nil, eris.Errorf("%s of %s: %s: %s", path, address, reply.Status, firstLine(body))
	}
	if !json.Valid(body) {
		return nil, eris.Errorf("%s of %s is not JSON", path, address)
	}
	return body, nil
}

func firstLine(b []byte) string {
	s, _, _ := strings.Cut(strings.TrimSpace(string(b)), "\n")
	if len(s) > 200 {
		s = s[:200]
	}
	return s
}

// age is a duration that a balancer reports as a Go duration or in seconds.
type age time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (a *age) UnmarshalJSON(b []byte) error {
	var seconds float64
	if json.Unmarshal(b, &seconds) == nil {
		*a = age(seconds * float64(time.Second))
		return nil
	}
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return fmt.Errorf("age: neither a number nor a string: %w", err)
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("age: %w", err)
	}
	*a = age(d)
	return nil
}

// MarshalJSON implements json.Marshaler; the output is in seconds.
func (a age) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(a).Seconds()) }

// String returns the age, rounded for a table.
func (a age) String() string {
	d := time.Duration(a)
	if d < 10*time.Second {
		return d.Round(100 * time.Millisecond).String()
	}
	return d.Round(time.Second).String()
}
