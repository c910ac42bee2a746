// Package bvplatform reads and watches the configuration that the platform
// publishes for a group.
//
// The platform is a set of replicas that answer HTTP GET under
// /v1/values/{key}. A replica can be stale, slow, absent, or silent with an
// open connection. Each call is therefore bounded in time and size, a call
// that fails is repeated at another replica within a retry budget, and a watch
// that stays silent is cut and made again on a new connection.
//
// The client returns the published bytes; decoding them is the caller's part.
//
// # Usage
//
//	c := bvplatform.New(addresses, "serena", clock, bvplatform.Options{})
//	bundle, err := c.Read(ctx)
//	err = c.Watch(ctx, func(u bvplatform.Update) { offer(u) })
package bvplatform

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"balsamvane/core/bvretry"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
)

// MaxValueBytes is the largest value in bytes that the platform publishes.
const MaxValueBytes = 1 << 20

// maxParts bounds a manifest, so that a broken one cannot cause reads without
// end. 256 parts of 1 MB exceed any group's configuration.
const maxParts = 256

// The errors of a read.
var (
	ErrAbsent            = errors.New("bvplatform: value does not exist")
	ErrOversized         = errors.New("bvplatform: value is larger than 1 MB")
	ErrPartMismatch      = errors.New("bvplatform: part does not have the size or hash that the manifest gives")
	ErrMalformedManifest = errors.New("bvplatform: malformed manifest")
	ErrUnexpectedAnswer  = errors.New("bvplatform: unexpected answer")
	ErrNoAddresses       = errors.New("bvplatform: no address of the platform is known")
)

// Options bound the client. Zero values are replaced by the defaults given.
type Options struct {
	ReadTimeout time.Duration // One read; 2 s.
	WatchWait   time.Duration // The wait that a watch asks for; 30 s.
	// WatchMargin is how much longer than WatchWait a watch may be silent
	// before its connection is cut; 5 s.
	WatchMargin time.Duration
	FirstDelay  time.Duration // First delay of the backoff; 250 ms.
	MaxDelay    time.Duration // Longest delay of the backoff; 10 s.
	// Seed feeds the jitter and the choice of the first replica.
	Seed uint64
}

func (o Options) withDefaults() Options {
	set := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	set(&o.ReadTimeout, 2*time.Second)
	set(&o.WatchWait, 30*time.Second)
	set(&o.WatchMargin, 5*time.Second)
	set(&o.FirstDelay, 250*time.Millisecond)
	set(&o.MaxDelay, 10*time.Second)
	return o
}

// Bundle is a published configuration in its published bytes. Parts are by
// the key that the manifest gives.
type Bundle struct {
	Manifest []byte
	Parts    map[string][]byte
}

// Client reads from the platform. It is safe for concurrent use.
type Client struct {
	addresses []netip.AddrPort
	group     string
	clock     clockwork.Clock
	options   Options
	http      *http.Client
	transport *http.Transport
	budget    bvretry.Budget

	mu       sync.Mutex
	next     int               // Replica of the next call.
	revision uint64            // Platform revision of the newest manifest read.
	parts    map[string][]byte // Parts of the last manifest, by SHA-256.
	random   *rand.Rand
}

// New returns a client for the replicas at addresses.
func New(addresses []netip.AddrPort, group string, clock clockwork.Clock, o Options) *Client {
	o = o.withDefaults()
	t := &http.Transport{
		DialContext:           (&net.Dialer{Timeout: o.ReadTimeout}).DialContext,
		ResponseHeaderTimeout: o.WatchWait + o.WatchMargin,
		IdleConnTimeout:       time.Minute,
		MaxConnsPerHost:       4,
	}
	c := &Client{
		addresses: addresses, group: group, clock: clock, options: o,
		http:      &http.Client{Transport: t, CheckRedirect: noRedirect},
		transport: t,
		random:    rand.New(rand.NewPCG(o.Seed, 1)),
	}
	if len(addresses) > 0 {
		// Balancers start at different replicas, so that their load spreads.
		c.next = c.random.IntN(len(addresses))
	}
	return c
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Read returns the newest configuration that a replica gives. A replica that
// is older than what this client has read before is passed over if another
// one answers.
func (c *Client) Read(ctx context.Context) (Bundle, error) {
	v, err := c.value(ctx, c.manifestKey())
	if err != nil {
		return Bundle{}, err
	}
	c.sawRevision(v.revision)
	return c.bundle(ctx, v.body)
}

// VMs returns the platform's list of VMs in its published bytes.
func (c *Client) VMs(ctx context.Context) ([]byte, error) {
	v, err := c.value(ctx, "groups/"+c.group+"/vms")
	return v.body, err
}

func (c *Client) manifestKey() string { return "groups/" + c.group + "/manifest" }

func (c *Client) sawRevision(r uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision = max(c.revision, r)
}

func (c *Client) newestRevision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// value reads a value, at each replica at most once. The first repetition
// takes from the retry budget like any other.
func (c *Client) value(ctx context.Context, key string) (value, error) {
	if len(c.addresses) == 0 {
		return value{}, ErrNoAddresses
	}
	c.budget.Called(c.clock.Now())
	isManifest := key == c.manifestKey()
	var best value
	var last error
	for i := range c.addresses {
		if i > 0 && !c.budget.Allow(c.clock.Now()) {
			break
		}
		v, err := c.get(ctx, c.replica(), key, wait{})
		if err != nil {
			last = err
			c.failed()
			if ctx.Err() != nil {
				break
			}
			continue
		}
		if v.revision > best.revision || best.body == nil {
			best = v
		}
		if !isManifest || v.revision >= c.newestRevision() {
			return v, nil
		}
		c.failed()
	}
	if best.body != nil {
		// The parts of a stale manifest are at the replica that gave it.
		c.use(best.from)
		return best, nil
	}
	return value{}, last
}

// use makes the next call go to at.
func (c *Client) use(at netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = max(slices.Index(c.addresses, at), 0)
}

func (c *Client) replica() netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addresses[c.next%len(c.addresses)]
}

// failed moves on to the next replica.
func (c *Client) failed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = (c.next + 1) % len(c.addresses)
}

// manifest is the part of the published manifest that reading needs.
type manifest struct {
	Parts []part `json:"parts"`
}

type part struct {
	Key    string `json:"key"`
	SHA256 string `json:"sha256"`
	Size   int64  `json:"size"`
}

func (p part) check(body []byte) error {
	if sum := sha256.Sum256(body); int64(len(body)) != p.Size || hex.EncodeToString(sum[:]) != p.SHA256 {
		return eris.Wrapf(ErrPartMismatch, "checking part %s", p.Key)
	}
	return nil
}

func decodeManifest(b []byte) (manifest, error) {
	var m manifest
	if err := json.Unmarshal(b, &m); err != nil {
		return m, eris.Wrap(ErrMalformedManifest, err.Error())
	}
	if len(m.Parts) > maxParts {
		return m, eris.Wrapf(ErrMalformedManifest, "%d parts are more than %d", len(m.Parts), maxParts)
	}
	return m, nil
}

// Check compares the parts with the sizes and hashes in the manifest. Parts
// that the manifest does not name are an error too.
func (b Bundle) Check() error {
	m, err := decodeManifest(b.Manifest)
	if err != nil {
		return err
	}
	named := make(map[string]bool, len(m.Parts))
	for _, p := range m.Parts {
		body, ok := b.Parts[p.Key]
		if !ok {
			return eris.Wrapf(ErrAbsent, "checking part %s", p.Key)
		}
		if err := p.check(body); err != nil {
			return err
		}
		named[p.Key] = true
	}
	if len(named) != len(b.Parts) {
		return eris.Wrap(ErrMalformedManifest, "parts that the manifest does not name")
	}
	return nil
}

// bundle reads the parts that a manifest names and that are not cached.
func (c *Client) bundle(ctx context.Context, b []byte) (Bundle, error) {
	m, err := decodeManifest(b)
	if err != nil {
		return Bundle{}, err
	}
	out := Bundle{Manifest: b, Parts: make(map[string][]byte, len(m.Parts))}
	cached := make(map[string][]byte, len(m.Parts))
	for _, p := range m.Parts {
		body, ok := c.cached(p.SHA256)
		if !ok {
			v, err := c.value(ctx, p.Key)
			if err != nil {
				return Bundle{}, eris.Wrapf(err, "reading part %s", p.Key)
			}
			body = v.body
		}
		if err := p.check(body); err != nil {
			return Bundle{}, err
		}
		out.Parts[p.Key], cached[p.SHA256] = body, body
	}
	c.mu.Lock()
	c.parts = cached
	c.mu.Unlock()
	return out, nil
}

func (c *Client) cached(hash string) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, ok := c.parts[hash]
	return b, ok
}

// Assemble returns the configuration that a manifest names, with parts taken
// from the lists given, and checks it.
func Assemble(manifest []byte, lists ...map[string][]byte) (Bundle, error) {
	m, err := decodeManifest(manifest)
	if err != nil {
		return Bundle{}, err
	}
	b := Bundle{Manifest: manifest, Parts: make(map[string][]byte, len(m.Parts))}
	for _, p := range m.Parts {
		for _, l := range lists {
			if body, ok := l[p.Key]; ok {
				b.Parts[p.Key] = body
				break
			}
		}
	}
	return b, b.Check()
}
