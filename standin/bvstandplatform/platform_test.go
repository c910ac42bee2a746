package bvstandplatform

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// harness runs a platform with one value, at the key groups/g/vms.
type harness struct {
	t        *testing.T
	platform *Platform
	path     string
	server   *httptest.Server
}

func newHarness(t *testing.T, clock clockwork.Clock) *harness {
	dir := t.TempDir()
	r := &harness{t: t, platform: New(Options{Directory: dir, Delay: time.Hour}, clock), path: filepath.Join(dir, "groups", "g", "vms")}
	require.NoError(t, os.MkdirAll(filepath.Dir(r.path), 0o700))
	r.write("one")
	r.server = httptest.NewServer(r.platform.Values())
	t.Cleanup(r.server.Close)
	return r
}

func (r *harness) write(content string) {
	require.NoError(r.t, os.WriteFile(r.path, []byte(content), 0o600))
	require.NoError(r.t, r.platform.poll())
}

func (r *harness) get(ctx context.Context, query string) (status int, revision, content string, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.server.URL+"/v1/values/groups/g/vms"+query, nil)
	require.NoError(r.t, err)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get("Platform-Revision"), string(b), err
}

func (r *harness) requireValue(query string, status int, revision, content string) {
	r.t.Helper()
	s, v, c, err := r.get(r.t.Context(), query)
	require.NoError(r.t, err)
	assert.Equal(r.t, []any{status, revision, content}, []any{s, v, c})
}

// TestPlatformRevisions guards against a revision that increases although the
// content is the same, or stays although the content changed.
func TestPlatformRevisions(t *testing.T) {
	r := newHarness(t, clockwork.NewRealClock())
	r.requireValue("", http.StatusOK, "1", "one")
	r.requireValue("?afterRevision=1", http.StatusNotModified, "1", "")
	r.write("one")
	r.requireValue("", http.StatusOK, "1", "one")
	r.write("two")
	r.requireValue("?afterRevision=1", http.StatusOK, "2", "two")
	resp, err := http.Get(r.server.URL + "/v1/values/groups/g/none")
	require.NoError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, http.StatusNotFound, resp.StatusCode)
	assert.Equal(t, uint64(5), r.platform.counts.Calls)
}

// TestPlatformWatch guards against a watch that misses a change or is counted
// as several calls.
func TestPlatformWatch(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newHarness(t, clock)
	done := make(chan string)
	watch := func() {
		_, v, c, err := r.get(t.Context(), "?afterRevision=1&waitSeconds=30")
		assert.NoError(t, err)
		done <- v + c
	}
	go watch()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	r.write("two")
	assert.Equal(t, "2two", <-done)
	assert.Equal(t, uint64(1), r.platform.counts.Calls)
}

// TestPlatformRestore guards against a restore that keeps revisions, does not begin a
// new era, or leaves a watch waiting.
func TestPlatformRestore(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newHarness(t, clock)
	require.False(t, r.platform.restore(), "there is no copy")
	r.platform.save()
	r.write("two")
	r.requireValue("", http.StatusOK, "2", "two")
	type answer struct {
		status int
		era    string
	}
	done := make(chan answer)
	go func() {
		resp, err := http.Get(r.server.URL + "/v1/values/groups/g/vms?afterRevision=2&afterEra=1&waitSeconds=30")
		if assert.NoError(t, err) {
			_ = resp.Body.Close()
			done <- answer{resp.StatusCode, resp.Header.Get(eraHeader)}
		}
	}()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	require.True(t, r.platform.restore())
	assert.Equal(t, answer{http.StatusNotModified, "2"}, <-done)
	r.requireValue("", http.StatusOK, "1", "one")
	r.requireValue("?afterRevision=2&afterEra=1&waitSeconds=30", http.StatusNotModified, "1", "")
	require.NoError(t, r.platform.poll())
	r.requireValue("?afterRevision=0&afterEra=2&waitSeconds=30", http.StatusOK, "2", "two")
}

// TestPlatformModes guards against modes that do not behave as documented.
func TestPlatformModes(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newHarness(t, clock)
	require.True(t, r.platform.setMode(ModeStale))
	r.write("two")
	r.requireValue("", http.StatusOK, "1", "one")
	require.True(t, r.platform.setMode(ModeAbsent))
	_, _, _, err := r.get(t.Context(), "")
	assert.Error(t, err)
	require.True(t, r.platform.setMode(ModeSilent))
	ctx, cancel := context.WithCancel(t.Context())
	getErr := make(chan error)
	go func() {
		_, _, _, err := r.get(ctx, "")
		getErr <- err
	}()
	assert.Eventually(t, func() bool {
		r.platform.mu.Lock()
		defer r.platform.mu.Unlock()
		return r.platform.counts.Waiting == 1
	}, time.Minute, time.Millisecond)
	require.True(t, r.platform.setMode(ModeNormal))
	r.requireValue("", http.StatusOK, "2", "two")
	cancel()
	assert.True(t, errors.Is(<-getErr, context.Canceled), "the connection must get no answer after the mode changed")
	assert.False(t, r.platform.setMode("gone"))
}
