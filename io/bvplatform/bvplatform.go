// Package bvplatform reads and watches the configuration that the platform
// publishes for a group.
//
// The platform is a set of replicas that answer HTTP GET under
// /v1/values/{key}. A replica can be stale, slow or absent, or not answer on an
// open connection. Each call is therefore bounded in time and size, a failed
// call is repeated at another replica within a retry budget, and a watch without
// an answer is canceled and repeated on a new connection.
//
// A platform that was restored from a copy says so with a higher era in its
// answers, and gives out revisions again. A watch then begins anew.
//
// The client returns the published bytes without decoding them.
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
	"balsamvane/core/bvrevision"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
)

// MaxValueBytes is the maximum size of a value that the platform publishes.
const MaxValueBytes = 1 << 20

// maxParts bounds a manifest, so that a malformed one cannot cause unbounded
// reads. 256 parts of 1 MB exceed any group's configuration.
const maxParts = 256

// The errors of a read.
var (
	ErrAbsent            = errors.New("bvplatform: value does not exist")
	ErrOversized         = errors.New("bvplatform: value is larger than 1 MB")
	ErrPartMismatch      = errors.New("bvplatform: part does not match the size or hash in the manifest")
	ErrMalformedManifest = errors.New("bvplatform: malformed manifest")
	ErrUnexpectedAnswer  = errors.New("bvplatform: unexpected answer")
	ErrNoAddresses       = errors.New("bvplatform: no address of the platform is configured")
)

// Options bound the client. Zero values are replaced by the defaults given.
type Options struct {
	ReadTimeout time.Duration // Timeout of one read; 2 s.
	WatchWait   time.Duration // Wait that a watch requests; 30 s.
	// WatchMargin is how much longer than WatchWait a watch may take before its
	// connection is closed; 5 s.
	WatchMargin time.Duration
	FirstDelay  time.Duration // First delay of the backoff; 250 ms.
	MaxDelay    time.Duration // Maximum delay of the backoff; 10 s.
	// Seed is the seed of the jitter and of the choice of the first replica.
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

// Bundle holds the published bytes of a configuration. Parts is keyed by the keys
// in the manifest.
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

	mu          sync.Mutex
	nextReplica int                 // Index of the replica for the next call.
	revision    bvrevision.Revision // Platform revision of the newest manifest read.
	cachedParts map[string][]byte   // Parts of the last manifest, by SHA-256.
	random      *rand.Rand
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
		// Balancers start at different replicas to spread their load.
		c.nextReplica = c.random.IntN(len(addresses))
	}
	return c
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Read returns the configuration of a replica. It skips a replica whose revision
// is lower than one that this client has already read, if another replica
// answers.
func (c *Client) Read(ctx context.Context) (Bundle, error) {
	v, err := c.value(ctx, c.manifestKey())
	if err != nil {
		return Bundle{}, err
	}
	c.recordRevision(v.revision)
	return c.bundle(ctx, v.body)
}

// VMs returns the published bytes of the platform's list of VMs.
func (c *Client) VMs(ctx context.Context) ([]byte, error) {
	v, err := c.value(ctx, "groups/"+c.group+"/vms")
	return v.body, err
}

func (c *Client) manifestKey() string { return "groups/" + c.group + "/manifest" }

func (c *Client) recordRevision(r bvrevision.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision = bvrevision.Latest(c.revision, r)
}

func (c *Client) newestRevision() bvrevision.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// value reads a value with at most one call to each replica. Every call after
// the first is charged to the retry budget.
func (c *Client) value(ctx context.Context, key string) (value, error) {
	if len(c.addresses) == 0 {
		return value{}, ErrNoAddresses
	}
	c.budget.Called(c.clock.Now())
	isManifest := key == c.manifestKey()
	var best value
	var lastErr error
	for i := range c.addresses {
		if i > 0 && !c.budget.Allow(c.clock.Now()) {
			break
		}
		v, err := c.get(ctx, c.replica(), key, longPoll{})
		if err != nil {
			lastErr = err
			c.advanceReplica()
			if ctx.Err() != nil {
				break
			}
			continue
		}
		if v.revision.After(best.revision) || best.body == nil {
			best = v
		}
		if !isManifest || !c.newestRevision().After(v.revision) {
			return v, nil
		}
		c.advanceReplica()
	}
	if best.body != nil {
		// The replica that returned a stale manifest has its parts.
		c.selectReplica(best.replica)
		return best, nil
	}
	return value{}, lastErr
}

// selectReplica selects the replica at the given address for the next call.
func (c *Client) selectReplica(at netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextReplica = max(slices.Index(c.addresses, at), 0)
}

func (c *Client) replica() netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addresses[c.nextReplica%len(c.addresses)]
}

// advanceReplica switches to the next replica for the next call.
func (c *Client) advanceReplica() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextReplica = (c.nextReplica + 1) % len(c.addresses)
}

// manifest holds the fields of the published manifest that this package needs.
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

// Check compares the parts with the sizes and hashes in the manifest. Parts that
// are not in the manifest are an error too.
func (b Bundle) Check() error {
	m, err := decodeManifest(b.Manifest)
	if err != nil {
		return err
	}
	listed := make(map[string]bool, len(m.Parts))
	for _, p := range m.Parts {
		body, ok := b.Parts[p.Key]
		if !ok {
			return eris.Wrapf(ErrAbsent, "checking part %s", p.Key)
		}
		if err := p.check(body); err != nil {
			return err
		}
		listed[p.Key] = true
	}
	if len(listed) != len(b.Parts) {
		return eris.Wrap(ErrMalformedManifest, "bundle has parts that are not in the manifest")
	}
	return nil
}

// bundle returns the configuration of a manifest. It reads the parts that are not
// cached.
func (c *Client) bundle(ctx context.Context, b []byte) (Bundle, error) {
	m, err := decodeManifest(b)
	if err != nil {
		return Bundle{}, err
	}
	out := Bundle{Manifest: b, Parts: make(map[string][]byte, len(m.Parts))}
	cached := make(map[string][]byte, len(m.Parts))
	for _, p := range m.Parts {
		body, ok := c.cachedPart(p.SHA256)
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
	c.cachedParts = cached
	c.mu.Unlock()
	return out, nil
}

func (c *Client) cachedPart(hash string) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, ok := c.cachedParts[hash]
	return b, ok
}

// Assemble returns the configuration of a manifest, with parts from the given
// lists, and checks it.
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
