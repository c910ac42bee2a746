package bvforwarder

import (
	"context"
	"net/http"
	"net/netip"

	"balsamvane/core/bvcatalog"
	"balsamvane/core/bvrevision"
	"balsamvane/io/bvadmin"
	"balsamvane/io/bvfollower"
	"balsamvane/io/bvhttp"

	"go.uber.org/zap"
)

// applyEvent applies an event of the follower to the catalog.
func (w *Forwarder) applyEvent(e bvfollower.Event) {
	now := w.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	before, revision, complete := w.catalog.Version(), w.catalog.Revision(), w.catalog.Complete()
	switch v := e.(type) {
	case bvfollower.Listed:
		l := v.Listing
		w.catalog.Replace(now, l.Age, l.Revision, l.Changes)
		w.catalog.RecordWatermark(l.Revision, l.Watermark)
		w.log.Info("catalog listed", zap.Int64("revision", l.Revision.Number), zap.Uint64("era", l.Revision.Era),
			zap.Duration("age", l.Age), zap.Int("entries", len(l.Changes)), zap.Int64("catalogRevision", w.catalog.Revision().Number))
		w.logRestore(revision, complete)
	case bvfollower.Changed:
		l := v.Listing
		w.catalog.Apply(now, l.Age, l.Revision, l.Changes)
		w.catalog.RecordWatermark(l.Revision, l.Watermark)
		w.logChanges(l)
		if len(l.Changes) > 0 {
			w.counters.changeLag.RecordDuration(l.Age)
		}
	}
	w.counters.applyDuration.RecordDuration(w.clock.Since(now))
	close(w.catalogChanged)
	w.catalogChanged = make(chan struct{})
	w.signalComplete()
	if after := w.catalog.Version(); after != before {
		w.log.Info("configuration in force", zap.Uint64("version", after), zap.Int("routes", w.catalog.NumRoutes()))
	}
}

// logRestore logs that the store was restored from a copy, if the revision of the
// catalog shows it. The caller holds mu.
func (w *Forwarder) logRestore(before bvrevision.Revision, wasComplete bool) {
	after := w.catalog.Revision()
	if wasComplete && after.Era != before.Era {
		w.log.Warn("store was restored from a copy", zap.Int64("revisionBefore", before.Number), zap.Uint64("eraBefore", before.Era),
			zap.Int64("revision", after.Number), zap.Uint64("era", after.Era), zap.Stringers("path", w.follower.Path()), zap.Uint64("version", w.catalog.Version()),
			zap.Strings("zonesOut", w.catalog.ZonesOutOfService()))
	}
}

// signalComplete starts the packet loop once the catalog is complete. The caller
// holds mu.
func (w *Forwarder) signalComplete() {
	select {
	case <-w.catalogComplete:
	default:
		if w.catalog.Complete() {
			close(w.catalogComplete)
		}
	}
}

func (w *Forwarder) logChanges(l bvfollower.Listing) {
	for _, c := range l.Changes {
		at := zap.Int64("revision", l.Revision.Number)
		switch v := c.(type) {
		case bvcatalog.ZoneOutOfService:
			w.log.Info("zone taken out of service", zap.String("zone", v.Zone), at)
		case bvcatalog.ZoneBackInService:
			w.log.Info("zone back in service", zap.String("zone", v.Zone), at)
		case bvcatalog.UpstreamPut:
			u := v.Upstream
			w.log.Info("upstream changed", zap.Uint64("upstream", uint64(u.ID)), zap.String("zone", u.Zone),
				zap.Bool("draining", u.Draining), zap.Duration("coldFor", u.ColdFor), at)
		case bvcatalog.UpstreamRemoved:
			w.log.Info("upstream gone", zap.Uint64("upstream", uint64(v.ID)), at)
		case bvcatalog.UpstreamUnreadable, bvcatalog.Configuration:
		}
	}
}

// isReady reports whether the platform should send packets to this balancer.
func (w *Forwarder) isReady() bool {
	if w.stopping.Load() {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.catalog.Complete() && !w.router.Isolated(w.clock.Now())
}

// serveReady answers the readiness check until ctx ends.
func (w *Forwarder) serveReady(ctx context.Context) error {
	return bvhttp.Serve(ctx, w.ready, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != w.options.ReadyPath:
			rw.WriteHeader(http.StatusNotFound)
		case !w.isReady():
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
}

func (w *Forwarder) sources() bvadmin.Sources {
	return bvadmin.Sources{
		Dump:    w.dump,
		Status:  func() any { return w.status() },
		Ready:   w.isReady,
		Explain: func(caller, destination netip.AddrPort) any { return w.explain(caller, destination) },
	}
}
