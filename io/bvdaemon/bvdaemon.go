// Package bvdaemon wires the parts of one balancer process: sockets, the node,
// control calls, probes, the platform client and the admin endpoints.
//
// The node is a state machine guarded by a mutex. Packets lock the mutex once
// per batch. All other events are serialized by a second mutex, so that the
// actions of one event are started before the next event is handled.
//
// # Usage
//
//	d, err := bvdaemon.New(settings, clock, logger, node, bvdaemon.Options{
//		Incarnation: incarnation,
//		Decode:      bvconfig.Decode,
//	})
//	if err != nil {
//		return err
//	}
//	err = d.Run(ctx) // Returns when ctx has ended and the planned stop is done.
package bvdaemon

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvfinding"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvmember"
	"balsamvane/core/bvnode"
	"balsamvane/core/bvroute"
	"balsamvane/io/bvadmin"
	"balsamvane/io/bvpeer"
	"balsamvane/io/bvplatform"
	"balsamvane/io/bvprobe"
	"balsamvane/io/bvsettings"
	"balsamvane/io/bvtunnel"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

const (
	// socketsPerAddress is the number of sockets on each UDP address. Each
	// socket has its own reader goroutine.
	socketsPerAddress = 2
	// maxCalls is the maximum number of outgoing control calls in progress.
	maxCalls = 16
	// drainTime is how long the sockets are still read after a planned stop,
	// so that packets already in their buffers are processed.
	drainTime = 200 * time.Millisecond
	// stopMargin is added to the node's own stop timeout before the daemon
	// stops without the node's Stop action.
	stopMargin = 5 * time.Second
	// vmListInterval is the time between two reads of the platform's list of
	// VMs. Shorter intervals gain little because the list itself lags. At this
	// interval 15,000 nodes make 250 reads a second, an eighth of what the
	// platform serves.
	vmListInterval = time.Minute
	// keyInterval is the time between two checks of the key files.
	keyInterval = time.Second
)

// Node is the state machine that routes packets and handles events. It is
// implemented by [bvnode.Node].
type Node interface {
	Packet(now time.Time, p bvflow.Packet, t bvroute.Trail, r bvroute.Record) bvroute.Decision
	Sent(from, by time.Time, p bvflow.Packet)
	Handle(now time.Time, e bvnode.Event) []bvnode.Action
	SyncRequest(now time.Time, from bvconfig.NodeID, cursor uint64, limit int) bvnode.SyncReceived
	Config() (c bvconfig.Config, ok bool)
	Generation(now time.Time, revision uint64) (c bvconfig.Config, age time.Duration, ok bool)
	Status(now time.Time) bvnode.Status
	Metrics(now time.Time) bvnode.Metrics
	Dump(now time.Time) bvnode.Dump
	Explain(now time.Time, t bvflow.Tuple) bvroute.Explanation
}

// Options holds a daemon's parameters that are not settings.
type Options struct {
	// Incarnation is the node's first incarnation. Forwarded packets carry it
	// until the node sends a heartbeat with another one.
	Incarnation uint64
	// Decode decodes and validates a published configuration.
	Decode func(manifest []byte, parts map[string][]byte) (bvconfig.Config, bvfinding.List)
}

// Daemon is one balancer process.
type Daemon struct {
	settings bvsettings.Settings
	options  Options
	clock    clockwork.Clock
	log      *zap.Logger
	self     bvconfig.NodeID

	events sync.Mutex // Serializes events and the start of their actions.
	mu     sync.Mutex // Guards node.
	node   Node

	keys     *bvtunnel.KeyFile
	tls      *bvpeer.TLSFiles
	metrics  *bvadmin.Metrics
	counters *counters
	gauges   gauges
	peers    *peerTable

	fabricSockets   []*bvtunnel.Socket
	peerSockets     []*bvtunnel.Socket
	controlListener net.Listener
	adminListener   net.Listener

	platform *bvplatform.Client
	client   *bvpeer.Client
	prober   *bvprobe.Prober

	tasks       tasks
	callSlots   chan struct{}
	codec       *bvtunnel.Codec // Guarded by events.
	cancelWatch context.CancelFunc
	stopped     chan struct{}
	stopOnce    sync.Once

	lastHeartbeat  atomic.Pointer[bvmember.Heartbeat]
	acceptedConfig atomic.Pointer[acceptedConfig]
}

// acceptedConfig is the configuration in force, in its published encoding.
type acceptedConfig struct {
	version bvconfig.Version
	bundle  bvplatform.Bundle
}

// New reads the key files and opens all sockets.
func New(s bvsettings.Settings, clock clockwork.Clock, log *zap.Logger, n Node, o Options) (*Daemon, error) {
	d := &Daemon{
		settings: s, options: o, clock: clock, log: log, node: n,
		self:      bvconfig.NodeIDOf(s.Node),
		peers:     newPeerTable(),
		callSlots: make(chan struct{}, maxCalls),
		stopped:   make(chan struct{}),
	}
	d.lastHeartbeat.Store(&bvmember.Heartbeat{Node: d.self, Incarnation: o.Incarnation})
	var err error
	if d.keys, err = bvtunnel.NewKeyFile(s.Keys.Peer); err != nil {
		return nil, err
	}
	if s.TLS.Enabled() {
		d.tls = &bvpeer.TLSFiles{Certificate: s.TLS.Certificate, Key: s.TLS.Key, Authority: s.TLS.Authority}
		if err := d.tls.Load(); err != nil {
			return nil, err
		}
	}
	if err := d.listen(); err != nil {
		d.closeSockets()
		return nil, err
	}
	seed := uint64(d.self)
	d.metrics = bvadmin.NewMetrics()
	d.counters = newCounters(d.metrics.Scope)
	d.gauges = newGauges(d.metrics.Scope)
	d.codec = bvtunnel.NewCodec(d.keys)
	d.client = bvpeer.NewClient(d.self, d.credentials(), clock, bvpeer.Options{Seed: seed})
	d.prober = bvprobe.New(clock, d.handle, bvprobe.Options{Seed: seed})
	d.platform = bvplatform.New(s.Platform.Addresses, s.Group, clock, bvplatform.Options{
		ReadTimeout: s.Platform.ReadTimeout, WatchWait: s.Platform.WatchWait, Seed: seed,
	})
	return d, nil
}

func (d *Daemon) credentials() bvpeer.Credentials {
	return bvpeer.Credentials{TLS: d.tls, Keys: d.keys}
}

func (d *Daemon) listen() error {
	ctx, l := context.Background(), &net.ListenConfig{}
	var err error
	if d.fabricSockets, err = bvtunnel.Listen(ctx, d.settings.Listen.Fabric, socketsPerAddress, d.clock); err != nil {
		return err
	}
	if d.peerSockets, err = bvtunnel.Listen(ctx, d.settings.Listen.Peer, socketsPerAddress, d.clock); err != nil {
		return err
	}
	if d.controlListener, err = l.Listen(ctx, "tcp", d.settings.Listen.Control.String()); err != nil {
		return eris.Wrap(err, "bvdaemon: listening for control calls")
	}
	d.adminListener, err = l.Listen(ctx, "tcp", d.settings.Listen.Admin.String())
	return eris.Wrap(err, "bvdaemon: listening for admin requests")
}

func (d *Daemon) closeSockets() {
	for _, s := range d.fabricSockets {
		_ = s.Close()
	}
	for _, s := range d.peerSockets {
		_ = s.Close()
	}
	for _, l := range []net.Listener{d.controlListener, d.adminListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Addresses returns the addresses that the daemon listens on. Where the
// settings have port 0, they have the port that the kernel assigned.
func (d *Daemon) Addresses() bvsettings.Listen {
	return bvsettings.Listen{
		Fabric:  d.fabricSockets[0].Address(),
		Peer:    d.peerSockets[0].Address(),
		Control: d.controlListener.Addr().(*net.TCPAddr).AddrPort(),
		Admin:   d.adminListener.Addr().(*net.TCPAddr).AddrPort(),
	}
}

// Run runs the daemon until ctx ends, then makes a planned stop: the node
// pushes its remaining records, and Run returns after the node's Stop action. If
// a task fails, Run returns its error without a planned stop.
func (d *Daemon) Run(ctx context.Context) error {
	defer func() { _ = d.metrics.Close() }()
	d.tasks.start(context.WithoutCancel(ctx))
	sockets := d.startPackets()
	d.spawn(func(ctx context.Context) error {
		rejected := func() { d.counters.callsRejected.Inc(1) }
		return bvpeer.NewServer(peerHandler{d}, d.credentials(), d.clock, rejected).Serve(ctx, d.controlListener)
	})
	d.spawn(func(ctx context.Context) error {
		return bvadmin.New(d.metrics, d.sources()).Serve(ctx, d.adminListener)
	})
	d.spawn(func(ctx context.Context) error { d.prober.Run(ctx); return nil })
	d.spawn(d.tick)
	d.spawn(d.readVMs)
	d.spawn(func(c context.Context) error {
		d.awaitStop(ctx, c)
		sockets.drain()
		d.tasks.end()
		return nil
	})
	d.log.Info("balancer started", zap.String("zone", d.settings.Zone))
	err := d.tasks.wait()
	d.closeSockets()
	d.log.Info("balancer stopped")
	return err
}

// awaitStop waits for the end of ctx, requests the stop and waits for the
// node's Stop action, at most for the stop timeout plus stopMargin. It also
// returns when a task fails, which ends tasksContext.
func (d *Daemon) awaitStop(ctx, tasksContext context.Context) {
	select {
	case <-ctx.Done():
		d.log.Info("stop requested")
		d.handle(bvnode.StopRequested{})
	case <-d.stopped:
		return
	case <-tasksContext.Done():
		return
	}
	select {
	case <-d.stopped:
	case <-tasksContext.Done():
	case <-d.clock.After(d.settings.Timeouts.Stop + stopMargin):
		d.log.Warn("node did not finish its stop in time")
	}
}

// tick sends periodic ticks to the node. Every keyInterval it also reloads
// changed key files and updates the gauges.
func (d *Daemon) tick(ctx context.Context) error {
	t := d.clock.NewTicker(bvnode.TickInterval)
	defer t.Stop()
	var lastCheck time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.Chan():
		}
		d.handle(bvnode.Tick{})
		if now := d.clock.Now(); now.Sub(lastCheck) >= keyInterval {
			lastCheck = now
			d.refreshKeys()
			d.updateGauges(now)
		}
	}
}

func (d *Daemon) refreshKeys() {
	changed, err := d.keys.Refresh()
	if err != nil {
		d.log.Warn("reading key file failed; the previous key stays in use", zap.Error(err))
	}
	if changed {
		d.log.Info("key file reloaded")
	}
	if d.tls != nil {
		if err := d.tls.Load(); err != nil {
			d.log.Warn("reading TLS files failed; the previous certificates stay in use", zap.Error(err))
		}
	}
}

// incarnation returns the node's current incarnation.
func (d *Daemon) incarnation() uint64 { return d.lastHeartbeat.Load().Incarnation }

// returnAddress returns the fabric address that refusals are sent to.
func (d *Daemon) returnAddress() netip.AddrPort { return d.settings.Fabric.Return }
