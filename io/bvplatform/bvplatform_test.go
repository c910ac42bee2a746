package bvplatform

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"balsamvane/core/bvrevision"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// replica simulates one replica of the platform.
type replica struct {
	mu           sync.Mutex
	era          uint64
	revision     uint64
	values       map[string]string
	reads        map[string]int
	unresponsive bool
	changed      chan struct{}
	called       chan struct{}
}

func newReplica(t *testing.T) (*replica, netip.AddrPort) {
	r := &replica{
		values: map[string]string{}, reads: map[string]int{},
		changed: make(chan struct{}), called: make(chan struct{}, 100),
	}
	s := httptest.NewServer(r)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return r, netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

func (r *replica) publish(revision uint64, parts ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for _, p := range parts {
		sum := sha256.Sum256([]byte(p))
		h := hex.EncodeToString(sum[:])
		r.values["groups/g/parts/"+h] = p
		list = append(list, fmt.Sprintf(`{"key":"groups/g/parts/%s","sha256":"%s","size":%d}`, h, h, len(p)))
	}
	r.values["groups/g/manifest"] = fmt.Sprintf(`{"group":"g","revision":%d,"parts":[%s]}`, revision, strings.Join(list, ","))
	r.revision = revision
	close(r.changed)
	r.changed = make(chan struct{})
}

// restore returns to a state before revision and ends all waits.
func (r *replica) restore(revision uint64, values map[string]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.era, r.revision, r.values = r.era+1, revision, maps.Clone(values)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *replica) copyValues() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.values)
}

func (r *replica) setUnresponsive(v bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unresponsive = v
}

func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	key := strings.TrimPrefix(req.URL.Path, "/v1/values/")
	r.mu.Lock()
	r.reads[key]++
	unresponsive, changed, isWatch := r.unresponsive, r.changed, req.URL.Query().Has("waitSeconds")
	query := req.URL.Query()
	after, _ := strconv.ParseUint(query.Get("afterRevision"), 10, 64)
	r.mu.Unlock()
	r.called <- struct{}{}
	switch {
	case unresponsive:
		<-req.Context().Done()
		return
	case isWatch && after >= r.currentRevision() && (!query.Has("afterEra") || query.Get("afterEra") == r.currentEra()):
		select {
		case <-req.Context().Done():
			return
		case <-changed:
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	v, ok := r.values[key]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Platform-Revision", fmt.Sprint(r.revision))
	w.Header().Set("Platform-Era", fmt.Sprint(r.era))
	if isWatch && r.revision <= after {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write([]byte(v))
}

func (r *replica) currentRevision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

func (r *replica) currentEra() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strconv.FormatUint(r.era, 10)
}

func (r *replica) partReads(part string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := sha256.Sum256([]byte(part))
	return r.reads["groups/g/parts/"+hex.EncodeToString(sum[:])]
}

// TestRead guards against repeated reads of unchanged parts, and against an
// absent value that is treated as an empty one.
func TestRead(t *testing.T) {
	r, addr := newReplica(t)
	c := New([]netip.AddrPort{addr}, "g", clockwork.NewFakeClock(), Options{})
	_, err := c.Read(t.Context())
	require.ErrorIs(t, err, ErrAbsent)
	r.publish(1, "a", "b")
	b, err := c.Read(t.Context())
	require.NoError(t, err)
	assert.Len(t, b.Parts, 2)
	r.publish(2, "a", "c")
	b, err = c.Read(t.Context())
	require.NoError(t, err)
	assert.Contains(t, string(b.Manifest), `"revision":2`)
	assert.Equal(t, 1, r.partReads("a"))
	assert.Equal(t, 1, r.partReads("c"))
	_, err = c.VMs(t.Context())
	assert.ErrorIs(t, err, ErrAbsent)
}

// TestReadBadValues guards against parts that do not match the manifest and
// against values of unbounded size.
func TestReadBadValues(t *testing.T) {
	r, addr := newReplica(t)
	c := New([]netip.AddrPort{addr}, "g", clockwork.NewFakeClock(), Options{})
	r.publish(1, "a")
	for k := range r.values {
		if strings.Contains(k, "/parts/") {
			r.values[k] = "x"
		}
	}
	_, err := c.Read(t.Context())
	require.ErrorIs(t, err, ErrPartMismatch)
	r.values["groups/g/manifest"] = strings.Repeat("x", MaxValueBytes+1)
	_, err = c.Read(t.Context())
	require.ErrorIs(t, err, ErrOversized)
	r.values["groups/g/manifest"] = "{"
	_, err = c.Read(t.Context())
	require.ErrorIs(t, err, ErrMalformedManifest)
}

// TestStaleAndAbsentReplica guards against a configuration that reverts because
// one replica is stale, and against an outage because one is down.
func TestStaleAndAbsentReplica(t *testing.T) {
	current, a := newReplica(t)
	stale, b := newReplica(t)
	absent := httptest.NewServer(http.NotFoundHandler())
	g := netip.MustParseAddrPort(strings.TrimPrefix(absent.URL, "http://"))
	absent.Close()
	current.publish(5, "new")
	stale.publish(4, "old")
	clock := clockwork.NewFakeClock()
	for seed := range uint64(6) {
		c := New([]netip.AddrPort{g, b, a}, "g", clock, Options{Seed: seed})
		c.recordRevision(bvrevision.Revision{Number: 5})
		for range 3 {
			clock.Advance(time.Minute) // Refills the retry budget.
			got, err := c.Read(t.Context())
			require.NoError(t, err)
			assert.Contains(t, string(got.Manifest), `"revision":5`)
		}
	}
}

// TestReadTimeout guards against a read that never returns.
func TestReadTimeout(t *testing.T) {
	r, addr := newReplica(t)
	r.publish(1, "a")
	r.setUnresponsive(true)
	clock := clockwork.NewFakeClock()
	c := New([]netip.AddrPort{addr}, "g", clock, Options{})
	done := make(chan error)
	go func() { _, err := c.Read(t.Context()); done <- err }()
	<-r.called
	clock.Advance(3 * time.Second)
	require.ErrorIs(t, <-done, context.DeadlineExceeded)
	r.setUnresponsive(false)
	_, err := c.Read(t.Context())
	require.NoError(t, err)
}

// TestRestoredPlatform guards against a watch that skips the configurations published
// after the platform was restored from a copy, until their revisions exceed those of
// the lost history. The platform is restored while a watch waits, or while it is down.
func TestRestoredPlatform(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprintf("down %t", down), func(t *testing.T) {
			r, addr := newReplica(t)
			r.publish(1, "a")
			saved := r.copyValues()
			clock := clockwork.NewFakeClock()
			c := New([]netip.AddrPort{addr}, "g", clock, Options{})
			ctx, cancel := context.WithCancel(t.Context())
			updates := make(chan Update, 100)
			done := make(chan error)
			go func() { done <- c.Watch(ctx, func(u Update) { updates <- u }) }()
			// next returns the next configuration. The clock advances by less than a wait.
			next := func(want string) {
				t.Helper()
				end := clock.Now().Add(20 * time.Second)
				for clock.Now().Before(end) {
					select {
					case u := <-updates:
						if u.Bundle.Manifest == nil {
							continue
						}
						assert.Contains(t, string(u.Bundle.Manifest), want)
						return
					case <-time.After(5 * time.Millisecond):
						clock.Advance(100 * time.Millisecond)
					}
				}
				require.Fail(t, "no configuration", want)
			}
			next(`"revision":1`)
			r.publish(2, "b")
			next(`"revision":2`)
			r.publish(3, "c")
			next(`"revision":3`)
			if down {
				r.setUnresponsive(true)
				for failed := false; !failed; {
					clock.Advance(40 * time.Second)
					select {
					case u := <-updates:
						failed = u.Err != nil
					case <-time.After(5 * time.Millisecond):
					}
				}
			}
			r.restore(1, saved)
			r.publish(2, "d")
			r.setUnresponsive(false)
			next(`"revision":2`)
			r.publish(3, "e")
			next(`"revision":3`)
			b, err := c.Read(ctx)
			require.NoError(t, err)
			assert.Contains(t, string(b.Manifest), `"revision":3`)
			cancel()
			require.ErrorIs(t, <-done, context.Canceled)
		})
	}
}

// TestWatch guards against a watch that misses a change, hangs on an unresponsive
// connection, or does not recover afterwards.
func TestWatch(t *testing.T) {
	r, addr := newReplica(t)
	r.publish(1, "a")
	clock := clockwork.NewFakeClock()
	c := New([]netip.AddrPort{addr}, "g", clock, Options{})
	ctx, cancel := context.WithCancel(t.Context())
	updates := make(chan Update, 10)
	done := make(chan error)
	go func() { done <- c.Watch(ctx, func(u Update) { updates <- u }) }()
	u := <-updates
	require.NoError(t, u.Err)
	assert.Contains(t, string(u.Bundle.Manifest), `"revision":1`)
	r.publish(2, "b")
	u = <-updates
	require.NoError(t, u.Err)
	assert.Contains(t, string(u.Bundle.Manifest), `"revision":2`)

	for len(r.called) > 0 {
		<-r.called
	}
	r.setUnresponsive(true)
	r.publish(3, "c") // Ends the wait; reads of the part are not answered.
	var failure error
	for failure == nil {
		<-r.called
		clock.Advance(40 * time.Second)
		select {
		case u = <-updates:
			failure = u.Err
		case <-time.After(10 * time.Millisecond):
		}
	}
	require.Error(t, failure)
	r.setUnresponsive(false)
	for {
		require.NoError(t, clock.BlockUntilContext(ctx, 1))
		clock.Advance(40 * time.Second)
		if u = <-updates; u.Err == nil {
			break
		}
	}
	assert.Contains(t, string(u.Bundle.Manifest), `"revision":3`)
	cancel()
	require.ErrorIs(t, <-done, context.Canceled)
}
