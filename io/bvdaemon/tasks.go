package bvdaemon

import (
	"context"
	"sync"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
)

// tasks are the goroutines of a daemon under one context. The first error ends
// the context. conc's pools are not used, because they take no new task once
// something waits for them.
type tasks struct {
	context context.Context
	cancel  context.CancelFunc
	group   conc.WaitGroup

	mu    sync.Mutex
	ended bool
	err   error
}

func (t *tasks) start(ctx context.Context) { t.context, t.cancel = context.WithCancel(ctx) }

// guard ends the process if the goroutine panics. A panic can leave the node
// locked or half changed; peers take over from a dead process within seconds
// but not from one that hangs.
func (d *Daemon) guard() {
	if r := recover(); r != nil {
		d.log.Fatal("goroutine panicked", zap.Any("panic", r), zap.Stack("stack"))
	}
}

// spawn runs f in a guarded task.
func (d *Daemon) spawn(f func(context.Context) error) {
	d.tasks.spawn(func(ctx context.Context) error {
		defer d.guard()
		return f(ctx)
	})
}

// spawn runs f unless the tasks have ended.
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

// end lets no more tasks start and ends the context. It is called from a task,
// so that wait cannot return before.
func (t *tasks) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	t.cancel()
}

// wait returns the first error when all tasks have returned.
func (t *tasks) wait() error {
	t.group.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.err
}
