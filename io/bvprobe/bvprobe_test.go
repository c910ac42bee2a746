package bvprobe

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvnode"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func upstream(t *testing.T, name string, h http.HandlerFunc) bvconfig.Upstream {
	s := httptest.NewServer(h)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return bvconfig.Upstream{Name: name, Health: netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))}
}

// TestProbe guards against an unresponsive upstream that blocks the probes of
// others, and against malformed reports that count as successful probes.
func TestProbe(t *testing.T) {
	warm := upstream(t, "warm", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"state":"shedding","startedAt":"2026-01-02T03:04:05Z","openConnections":7,"busySlots":2}`))
	})
	unresponsiveCalled := make(chan struct{}, 100)
	unresponsive := upstream(t, "silent", func(_ http.ResponseWriter, r *http.Request) {
		unresponsiveCalled <- struct{}{}
		<-r.Context().Done()
	})
	broken := upstream(t, "broken", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"state":"fine"}`)) })
	clock := clockwork.NewFakeClock()
	events := make(chan bvnode.Event, 100)
	p := New(clock, func(e bvnode.Event) { events <- e }, Options{})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { p.Run(ctx); close(done) }()
	p.Set([]bvconfig.Upstream{warm, unresponsive, broken, {Name: "none"}})
	require.NoError(t, clock.BlockUntilContext(ctx, 3))
	clock.Advance(2 * time.Second)
	<-unresponsiveCalled
	got := map[bvconfig.UpstreamID]bvnode.Event{}
	add := func(e bvnode.Event) {
		switch e := e.(type) {
		case bvnode.ProbeSucceeded:
			got[e.Upstream] = e
		case bvnode.ProbeFailed:
			got[e.Upstream] = e
		}
	}
	add(<-events)
	add(<-events)
	assert.Equal(t, map[bvconfig.UpstreamID]bvnode.Event{
		warm.ID(): bvnode.ProbeSucceeded{
			Upstream: warm.ID(), State: bvnode.UpstreamShedding,
			StartedAt: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), OpenConnections: 7, BusySlots: 2,
		},
		broken.ID(): bvnode.ProbeFailed{Upstream: broken.ID()},
	}, got)
	clock.Advance(900 * time.Millisecond)
	require.NoError(t, clock.BlockUntilContext(ctx, 3))
	assert.Empty(t, events, "before the timeout")
	clock.Advance(100 * time.Millisecond)
	add(<-events)
	assert.Equal(t, bvnode.ProbeFailed{Upstream: unresponsive.ID()}, got[unresponsive.ID()])
	p.Set(nil)
	cancel()
	<-done
}

// FuzzDecodeReport guards against panics and accepted counts below 0.
func FuzzDecodeReport(f *testing.F) {
	f.Add([]byte(`{"state":"warm","startedAt":"2026-01-02T03:04:05Z","openConnections":7,"busySlots":2}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := decodeReport(b)
		if err == nil && (e.BusySlots < 0 || e.OpenConnections < 0) {
			t.Fatal("negative load")
		}
	})
}
