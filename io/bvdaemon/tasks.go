package bvdaemon

import (
	"context"
	"sync"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
)

// tasks runs the goroutines of a daemon under one context. The first error
// cancels the context. conc's pools are not used, because they accept no new
// task once Wait has been called.
type tasks struct {
	context context.Context
	cancel  context.CancelFunc
	group   conc.WaitGroup

	mu    sync.Mutex
	ended bool
	err   error
}

func (t *tasks) start(ctx context.Context) { t.context, t.cancel = context.WithCancel(ctx) }

// exitOnPanic ends the process if the deferring goroutine panics. A panic can
// leave the node locked or in an inconsistent state. Peers take over from a dead
// process within seconds, but not from one that hangs.
func (d *Daemon) exitOnPanic() {
	if r := recover(); r != nil {
		d.log.Fatal("goroutine panicked", zap.Any("panic", r), zap.Stack("stack"))
	}
}

// spawn runs f in a task that ends the process if f panics.
func (d *Daemon) spawn(f func(context.Context) error) {
	d.tasks.spawn(func(ctx context.Context) error {
		defer d.exitOnPanic()
		return f(ctx)
	})
}

// spawn runs f in a goroutine unless end was called.
func (t *tasks) spawn(f func(context.Context) error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return
	}
	t.group.Go(func() {
		if err := f(t.context); err != nil {
			t.fail(err)
		}
	})
}

func (t *tasks) fail(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.err == nil {
		t.err = err
	}
	t.cancel()
}

// end prevents new tasks and cancels the context. It is called from a task, so
// that wait cannot return before it.
func (t *tasks) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	t.cancel()
}

// wait waits for all tasks and returns the first error.
func (t *tasks) wait() error {
	t.group.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.err
}
