package bvforwarder

import (
	"context"
	"time"

	"balsamvane/core/bvtoken"

	"go.uber.org/zap"
)

// restartDelay is the pause before a task that has panicked runs again. It
// bounds what a task that panics each time costs.
const restartDelay = time.Second

// panicLines bounds the lines about panics, in lines a second. Each has a stack.
const panicLines = 2

// supervised returns a task that runs f again if it panics, after reset. A
// message that the code is not prepared for costs a second of one task, and not
// the process with all that it forwards.
func (w *Forwarder) supervised(name string, f func(context.Context) error, reset func()) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			panicked, err := w.attempt(ctx, name, f)
			if !panicked || ctx.Err() != nil {
				return err
			}
			reset()
			select {
			case <-ctx.Done():
				return nil
			case <-w.clock.After(restartDelay):
			}
		}
	}
}

// attempt runs f and reports whether it has panicked.
func (w *Forwarder) attempt(ctx context.Context, name string, f func(context.Context) error) (panicked bool, err error) {
	defer func() {
		if p := recover(); p != nil {
			w.panicked(name, p)
			panicked = true
		}
	}()
	return false, f(ctx)
}

// panicked counts a panic and logs it.
func (w *Forwarder) panicked(task string, p any) {
	w.counters.panics.Inc(1)
	if w.panics.Allow() {
		w.log.Error("task panicked", zap.String("task", task), zap.Any("panic", p), zap.Stack("stack"))
	}
}

// safely runs f for one packet and reports whether it has not panicked.
func (l *loop) safely(f func()) (ok bool) {
	defer func() {
		if p := recover(); p != nil {
			l.forwarder.panicked("packets", p)
			ok = false
		}
	}()
	f()
	return true
}

// renewRouter replaces a router that has panicked. What it has measured is lost,
// which costs only worse choices for some seconds. The caller holds mu.
func (w *Forwarder) renewRouter() { w.router = bvtoken.New(w.routing, w.catalog) }
