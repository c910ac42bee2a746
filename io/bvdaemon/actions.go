package bvdaemon

import (
	"context"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvnode"
	"balsamvane/io/bvplatform"

	"go.uber.org/zap"
)

// handle passes an event to the node and starts the actions that it returns.
// It is called from many goroutines, but never from execute, which runs with
// events held.
func (d *Daemon) handle(e bvnode.Event) {
	d.events.Lock()
	defer d.events.Unlock()
	for _, a := range d.nextActions(e) {
		d.execute(a)
	}
}

// nextActions passes an event to the node and returns the node's actions.
func (d *Daemon) nextActions(e bvnode.Event) []bvnode.Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.node.Handle(d.clock.Now(), e)
}

// execute starts one action without blocking. The caller holds events.
func (d *Daemon) execute(a bvnode.Action) {
	switch a := a.(type) {
	case bvnode.SendHeartbeat:
		d.sendHeartbeat(a)
	case bvnode.FetchConfig:
		d.fetchConfig(a)
	case bvnode.FetchBase:
		d.fetchBase(a)
	case bvnode.WatchPlatform:
		d.watchPlatform(a.Enabled)
	case bvnode.ReadPlatform:
		d.readPlatform(a.Token)
	case bvnode.RequestSync:
		d.requestSync(a)
	case bvnode.PushRecords:
		d.pushRecords(a)
	case bvnode.SetProbes:
		d.prober.Set(a.Upstreams)
	case bvnode.Stop:
		d.stopOnce.Do(func() {
			d.log.Info("node is ready to stop", zap.Int("unpushedRecords", a.Unpushed))
			close(d.stopped)
		})
	}
}

func (d *Daemon) sendHeartbeat(a bvnode.SendHeartbeat) {
	h := a.Heartbeat
	d.lastHeartbeat.Store(&h)
	b, err := d.codec.AppendHeartbeat(nil, h)
	if err != nil {
		d.counters.heartbeatsFailed.Inc(int64(len(a.To)))
		d.log.Warn("encoding heartbeat failed", zap.Error(err))
		return
	}
	for _, to := range a.To {
		if err := d.peerSockets[0].Send(b, to); err != nil {
			d.counters.heartbeatsFailed.Inc(1)
		}
	}
}

// call runs f in a goroutine if fewer than maxCalls are in progress. Otherwise
// it runs failed if that is not nil, also in a goroutine, because the caller
// holds events.
func (d *Daemon) call(f func(context.Context), failed func()) {
	select {
	case d.callSlots <- struct{}{}:
	default:
		d.counters.callsDropped.Inc(1)
		if failed != nil {
			d.spawn(func(context.Context) error { failed(); return nil })
		}
		return
	}
	d.spawn(func(ctx context.Context) error {
		defer func() { <-d.callSlots }()
		f(ctx)
		return nil
	})
}

func (d *Daemon) fetchConfig(a bvnode.FetchConfig) {
	d.call(func(ctx context.Context) {
		b, err := d.client.Fetch(ctx, a.Control)
		if err != nil {
			d.log.Warn("fetching configuration from peer failed", zap.Stringer("peer", a.Control), zap.Error(err))
			return
		}
		d.offerConfig(b, configSource{token: a.Token})
	}, nil)
}

func (d *Daemon) fetchBase(a bvnode.FetchBase) {
	d.call(func(ctx context.Context) {
		b, age, err := d.client.FetchBase(ctx, a.Control, a.Revision)
		if err != nil {
			d.log.Warn("fetching base configuration from peer failed", zap.Stringer("peer", a.Control), zap.Error(err))
			return
		}
		c, findings := d.options.Decode(b.Manifest, b.Parts)
		if err := findings.Err(); err != nil {
			d.log.Warn("peer sent an invalid base configuration", zap.Stringer("peer", a.Control), zap.Error(err))
			return
		}
		d.handle(bvnode.BaseReceived{Config: c, Age: age})
	}, nil)
}

// watchPlatform starts or stops the platform watch.
func (d *Daemon) watchPlatform(enabled bool) {
	if d.cancelWatch != nil {
		d.cancelWatch()
		d.cancelWatch = nil
	}
	if !enabled {
		return
	}
	ctx, cancel := context.WithCancel(d.tasks.context)
	d.cancelWatch = cancel
	d.spawn(func(context.Context) error {
		_ = d.platform.Watch(ctx, d.platformUpdated) // Returns only when ctx ends.
		return nil
	})
}

// platformUpdated handles one update of the platform watch.
func (d *Daemon) platformUpdated(u bvplatform.Update) {
	switch {
	case u.Err != nil:
		d.log.Warn("platform watch failed", zap.Error(u.Err))
	case u.Bundle.Manifest == nil:
		d.handle(bvnode.PlatformContacted{})
	default:
		d.offerConfig(u.Bundle, configSource{platform: true})
	}
}

// readPlatform reads the configuration from the platform once.
func (d *Daemon) readPlatform(token uint64) {
	d.spawn(func(ctx context.Context) error {
		b, err := d.platform.Read(ctx)
		if err != nil {
			d.log.Warn("reading platform failed", zap.Error(err))
			return nil
		}
		d.offerConfig(b, configSource{platform: true, token: token})
		return nil
	})
}

// sleep waits for t and reports whether ctx is still active.
func (d *Daemon) sleep(ctx context.Context, t time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-d.clock.After(t):
		return true
	}
}

// configSource is the origin of a received configuration.
type configSource struct {
	platform bool
	token    uint64 // Token of the action that requested it; 0 for a watch.
}

// offerConfig decodes a configuration and offers it to the node. If the
// configuration is invalid, the accepted one stays in force.
func (d *Daemon) offerConfig(b bvplatform.Bundle, from configSource) {
	c, findings := d.options.Decode(b.Manifest, b.Parts)
	if err := findings.Err(); err != nil {
		d.counters.configRejected.Inc(1)
		d.log.Error("configuration is not valid", zap.Bool("fromPlatform", from.platform), zap.Error(err))
		if from.platform {
			d.handle(bvnode.PlatformContacted{Token: from.token})
		}
		return
	}
	d.handle(bvnode.ConfigOffered{Config: c, FromPlatform: from.platform, Token: from.token})
	d.mu.Lock()
	now, ok := d.node.Config()
	d.mu.Unlock()
	old := d.acceptedConfig.Load()
	if !ok || now.Version != c.Version || old != nil && old.version == c.Version {
		return
	}
	d.acceptedConfig.Store(&acceptedConfig{version: c.Version, bundle: b})
	d.client.CacheParts(b)
	d.log.Info("configuration accepted", zap.Uint64("revision", c.Version.Revision), zap.Bool("fromPlatform", from.platform))
}

func (d *Daemon) requestSync(a bvnode.RequestSync) {
	failed := func() { d.handle(bvnode.SyncFailed{From: a.From}) }
	d.call(func(ctx context.Context) {
		r, err := d.client.Sync(ctx, a.Control, a.Cursor, a.Limit)
		if err != nil {
			d.log.Warn("syncing with peer failed", zap.Stringer("peer", a.Control), zap.Error(err))
			failed()
			return
		}
		r.From, r.Token = a.From, a.Token // From the request; the answer is not trusted for these.
		d.handle(r)
	}, failed)
}

func (d *Daemon) pushRecords(a bvnode.PushRecords) {
	failed := func() { d.handle(bvnode.SyncFailed{From: a.To}) }
	d.call(func(ctx context.Context) {
		if err := d.client.Push(ctx, a.Control, a.Records); err != nil {
			d.log.Warn("pushing records to peer failed", zap.Stringer("peer", a.Control), zap.Error(err))
			failed()
			return
		}
		d.handle(bvnode.PushAcknowledged{From: a.To, Sequence: a.Sequence})
	}, failed)
}

// maxLoggedVMs is the maximum number of VMs that one log line names.
const maxLoggedVMs = 10

// readVMs reads the platform's list of VMs every vmListInterval. The first
// delay depends on the node's ID, which spreads the reads of the fleet.
func (d *Daemon) readVMs(ctx context.Context) error {
	delay := time.Duration(uint64(d.self) % uint64(vmListInterval))
	for d.sleep(ctx, delay) {
		delay = vmListInterval
		b, err := d.platform.VMs(ctx)
		if err != nil {
			d.log.Warn("reading list of VMs failed", zap.Error(err))
			continue
		}
		l, err := bvplatform.DecodeVMs(b)
		if err != nil {
			d.log.Warn("list of VMs is malformed", zap.Error(err))
			continue
		}
		d.logUnreadableVMs(l)
		d.handle(l)
	}
	return nil
}

// logUnreadableVMs logs the entries of the list of VMs that cannot be read.
func (d *Daemon) logUnreadableVMs(l bvnode.VMListRead) {
	var unknown []string
	for _, v := range l.VMs {
		if v.State == bvnode.VMUnknown && len(unknown) < maxLoggedVMs {
			unknown = append(unknown, v.Name)
		}
	}
	if len(unknown) > 0 || l.Unnamed > 0 {
		d.log.Warn("list of VMs has entries that cannot be read", zap.Strings("unknownState", unknown), zap.Int("unnamed", l.Unnamed))
	}
}

// peerHandler answers control calls from peers.
type peerHandler struct {
	daemon *Daemon
}

// Sync implements bvpeer.Handler.
func (h peerHandler) Sync(from bvconfig.NodeID, cursor uint64, limit int) bvnode.SyncReceived {
	defer h.daemon.exitOnPanic()
	h.daemon.mu.Lock()
	defer h.daemon.mu.Unlock()
	r := h.daemon.node.SyncRequest(h.daemon.clock.Now(), from, cursor, limit)
	r.From = h.daemon.self
	return r
}

// Push implements bvpeer.Handler.
func (h peerHandler) Push(from bvconfig.NodeID, l []bvnode.FlowRecord) {
	defer h.daemon.exitOnPanic()
	h.daemon.handle(bvnode.RecordsPushed{From: from, Records: l})
}

// Bundle implements bvpeer.Handler.
func (h peerHandler) Bundle() (bvplatform.Bundle, bool) {
	a := h.daemon.acceptedConfig.Load()
	if a == nil {
		return bvplatform.Bundle{}, false
	}
	return a.bundle, true
}

// Base implements bvpeer.Handler.
func (h peerHandler) Base(revision uint64) (bvplatform.Bundle, time.Duration, bool) {
	h.daemon.mu.Lock()
	c, age, ok := h.daemon.node.Generation(h.daemon.clock.Now(), revision)
	h.daemon.mu.Unlock()
	if !ok {
		return bvplatform.Bundle{}, 0, false
	}
	m, parts, err := bvconfig.Encode(c, 0)
	if err != nil {
		h.daemon.log.Warn("encoding base configuration failed", zap.Error(err))
		return bvplatform.Bundle{}, 0, false
	}
	return bvplatform.Bundle{Manifest: m, Parts: parts}, age, true
}
