// Package bvhttp serves HTTP for the endpoints of a process: admin, readiness,
// and calls of other balancers. All have the same limits for slow and oversized
// requests, and no server logs by itself.
//
// # Usage
//
//	err := bvhttp.Serve(ctx, listener, handler)
package bvhttp

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// The limits of a connection. The write timeout covers the longest wait of a
// call; a peer's connection may be idle between two calls.
const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 10 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
)

// Serve answers requests from l with h until ctx ends.
func Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		// The default logger writes lines that are not JSON, one for each failed
		// handshake.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "bvhttp: serving")
	}
	return nil
}
