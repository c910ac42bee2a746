package bvprobe

import (
	"context"
	"net/http"
	"testing"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvnode"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestProbeAfterStandstill guards against probes that fail because this process
// stood still for their whole timeout and the timeout is handled before the answer
// that waits in the socket.
func TestProbeAfterStandstill(t *testing.T) {
	called, resume := make(chan struct{}), make(chan struct{})
	u := upstream(t, "sound", func(w http.ResponseWriter, r *http.Request) {
		called <- struct{}{}
		select {
		case <-resume:
			_, _ = w.Write([]byte(`{"state":"warm"}`))
		case <-r.Context().Done():
		}
	})
	clock := clockwork.NewFakeClock()
	events := make(chan bvnode.Event, 10)
	p := New(clock, func(e bvnode.Event) { events <- e }, Options{})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { p.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	p.Set([]bvconfig.Upstream{u})
	require.NoError(t, clock.BlockUntilContext(ctx, 1))
	clock.Advance(2 * time.Second)
	<-called
	clock.Advance(time.Second) // The clock jumps, as it does for a process that stood still.
	select {
	case e := <-events:
		require.Fail(t, "the probe failed before its answer was read", "%T", e)
	case <-time.After(100 * time.Millisecond):
	}
	close(resume)
	assert.IsType(t, bvnode.ProbeSucceeded{}, <-events)
}
