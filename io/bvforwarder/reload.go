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

// settingsInterval is the time between two looks at the settings file, which
// may change without a signal.
const settingsInterval = 5 * time.Second

// Reload takes over settings that change while the process runs.
type Reload struct {
	// Load reads the settings file.
	Load func() (bvsettings.Settings, bvfinding.List)
	// Apply takes over changed settings.
	Apply func(bvsettings.Settings)
}

// watchSettings reads the settings at each SIGHUP and now and then, and
// applies those that can change in a running process: the seeds. Faulty
// settings are reported, and those before stay in force.
func (w *Forwarder) watchSettings(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	t := w.clock.NewTicker(settingsInterval)
	defer t.Stop()
	for {
		asked := false
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			asked = true
		case <-t.Chan():
		}
		if w.options.Reload.Load != nil {
			w.reload(asked)
		}
	}
}

func (w *Forwarder) reload(asked bool) {
	s, findings := w.options.Reload.Load()
	if err := findings.Err(); err != nil {
		w.log.Warn("settings are faulty; those before stay in force", zap.String("error", err.Error()))
		return
	}
	if reflect.DeepEqual(s, w.latest) {
		if asked {
			w.log.Info("settings reloaded; nothing has changed")
		}
		return
	}
	before := w.latest
	w.latest = s
	w.options.Reload.Apply(s)
	w.mu.Lock()
	w.routing.ColdBalancers = coldBalancers(s)
	w.router.SetColdBalancers(w.routing.ColdBalancers)
	w.mu.Unlock()
	s.Seeds, before.Seeds = nil, nil
	w.log.Info("settings reloaded", zap.Bool("needsRestart", !reflect.DeepEqual(s, before)))
}
