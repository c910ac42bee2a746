package bvforwarder

import (
	"context"
	"time"

	"balsamvane/core/bvtoken"

	"go.uber.org/zap"
)

// restartDelay is the pause before a task that has panicked runs again. It
// bounds the cost of a task that panics every time.
const restartDelay = time.Second

// panicLinesPerSecond bounds the log lines about panics, each of which contains
// a stack.
const panicLinesPerSecond = 2

// supervised returns a task that calls reset and runs f again if f panics. A
// message that triggers a bug then stops one task for a second, and not the
// whole process with the flows that it forwards.
func (w *Forwarder) supervised(name string, f func(context.Context) error, reset func()) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			panicked, err := w.runOnce(ctx, name, f)
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

// runOnce runs f and reports whether it panicked.
func (w *Forwarder) runOnce(ctx context.Context, name string, f func(context.Context) error) (panicked bool, err error) {
	defer func() {
		if p := recover(); p != nil {
			w.reportPanic(name, p)
			panicked = true
		}
	}()
	return false, f(ctx)
}

// reportPanic counts a panic and logs it within the budget.
func (w *Forwarder) reportPanic(task string, p any) {
	w.counters.panics.Inc(1)
	if w.panicBudget.Allow() {
		w.log.Error("task panicked", zap.String("task", task), zap.Any("panic", p), zap.Stack("stack"))
	}
}

// tryRun runs f for one packet and reports whether it returned without a panic.
func (l *loop) tryRun(f func()) (ok bool) {
	defer func() {
		if p := recover(); p != nil {
			l.forwarder.reportPanic("packets", p)
			ok = false
		}
	}()
	f()
	return true
}

// resetRouter creates the router, and replaces it after a panic. The measurements
// of the old one are lost, which only makes choices worse for some seconds. The
// caller holds mu, except in New.
func (w *Forwarder) resetRouter() { w.router = bvtoken.New(w.routerOptions, w.catalog) }
