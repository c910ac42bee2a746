package bvforwarder

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"balsamvane/core/bvfinding"
	"balsamvane/io/bvsettings"

	"go.uber.org/zap"
)

// settingsInterval is the time between two reads of the settings file, which
// may change without a signal.
const settingsInterval = 5 * time.Second

// Reload reads and applies settings that change while the process runs.
type Reload struct {
	// Load reads the settings file.
	Load func() (bvsettings.Settings, bvfinding.List)
	// Apply applies changed settings.
	Apply func(bvsettings.Settings)
}

// watchSettings reads the settings at each SIGHUP and once per
// settingsInterval. In a running process it applies only the seeds and the number
// of balancers that share the budget of a cold upstream; other settings need a
// restart. If the settings are faulty it logs the error and keeps the previous
// ones.
func (w *Forwarder) watchSettings(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	t := w.clock.NewTicker(settingsInterval)
	defer t.Stop()
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			signaled = true
		case <-t.Chan():
		}
		if w.options.Reload.Load != nil {
			w.reload(signaled)
		}
	}
}

func (w *Forwarder) reload(signaled bool) {
	s, findings := w.options.Reload.Load()
	if err := findings.Err(); err != nil {
		w.log.Warn("settings are faulty; those before stay in force", zap.String("error", err.Error()))
		return
	}
	if reflect.DeepEqual(s, w.lastRead) {
		if signaled {
			w.log.Info("settings reloaded; nothing has changed")
		}
		return
	}
	before := w.lastRead
	w.lastRead = s
	w.options.Reload.Apply(s)
	w.mu.Lock()
	w.routerOptions.ColdBalancers = coldBalancers(s)
	w.router.SetColdBalancers(w.routerOptions.ColdBalancers)
	w.mu.Unlock()
	s.Seeds, before.Seeds = nil, nil
	w.log.Info("settings reloaded", zap.Bool("needsRestart", !reflect.DeepEqual(s, before)))
}
