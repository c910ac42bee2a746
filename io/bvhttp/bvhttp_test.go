package bvhttp

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestServe guards against a server that outlives its context, or that returns an
// error when the context ends.
func TestServe(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- Serve(ctx, l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }))
	}()
	r, err := http.Get("http://" + l.Addr().String())
	require.NoError(t, err)
	assert.NoError(t, r.Body.Close())
	assert.Equal(t, http.StatusTeapot, r.StatusCode)
	cancel()
	assert.NoError(t, <-done)
	assert.Error(t, Serve(context.Background(), l, nil), "the listener is closed")
}
