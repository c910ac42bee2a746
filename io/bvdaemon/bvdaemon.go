// Package bvdaemon wires one balancer process: sockets, the node, control
// calls, probes, the platform and the admin endpoints.
//
// The node is one state machine behind a mutex. Packets take the mutex once a
// batch; all other events are serialized by a second mutex, so that the
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
//	err = d.Run(ctx) // Until ctx ends and the planned stop is done.
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
	// readers is the number of sockets, and of goroutines that read them, on
	// each UDP address.
	readers = 2
	// maxCalls bounds the control calls in progress.
	maxCalls = 16
	// drainTime is how long packets that are already in the socket buffers
	// are still processed after a planned stop.
	drainTime = 200 * time.Millisecond
	// stopMargin is how much longer than its own bound the node may take to
	// ask for the stop.
	stopMargin = 5 * time.Second
	// vmListInterval is the time between two reads of the platform's list of
	// VMs. The list lags anyway; 15,000 nodes make 250 reads a second, an
	// eighth of what the platform serves.
	vmListInterval = time.Minute
	// keyInterval is the time between two looks at the key files.
	keyInterval = time.Second
)

// Node is the state machine that decides; [bvnode.Node] is one.
type Node interface {
	Packet(now time.Time, p bvflow.Packet, t bvroute.Trail, r bvroute.Record) bvroute.Decision
	Handle(now time.Time, e bvnode.Event) []bvnode.Action
	SyncRequest(now time.Time, from bvconfig.NodeID, cursor uint64, limit int) bvnode.SyncReceived
	Config() (c bvconfig.Config, ok bool)
	Generation(now time.Time, revision uint64) (c bvconfig.Config, age time.Duration, ok bool)
	Status(now time.Time) bvnode.Status
	Metrics(now time.Time) bvnode.Metrics
	Dump(now time.Time) bvnode.Dump
	Explain(now time.Time, t bvflow.Tuple) bvroute.Explanation
}

// Options are what a daemon needs besides its settings.
type Options struct {
	// Incarnation is the node's first incarnation; it goes into handed-on
	// packets until the node announces another one.
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

	fabric  []*bvtunnel.Socket
	peer    []*bvtunnel.Socket
	control net.Listener
	admin   net.Listener

	platform *bvplatform.Client
	client   *bvpeer.Client
	prober   *bvprobe.Prober

	tasks   tasks
	calls   chan struct{}
	codec   *bvtunnel.Codec // Used with events held.
	watch   context.CancelFunc
	stopped chan struct{}
	once    sync.Once

	last   atomic.Pointer[bvmember.Heartbeat]
	bundle atomic.Pointer[accepted]
}

// accepted is the configuration in force in its published bytes.
type accepted struct {
	version bvconfig.Version
	bundle  bvplatform.Bundle
}

// New reads the key files and opens all sockets.
func New(s bvsettings.Settings, clock clockwork.Clock, log *zap.Logger, n Node, o Options) (*Daemon, error) {
	d := &Daemon{
		settings: s, options: o, clock: clock, log: log, node: n,
		self:    bvconfig.NodeIDOf(s.Node),
		peers:   newPeerTable(),
		calls:   make(chan struct{}, maxCalls),
		stopped: make(chan struct{}),
	}
	d.last.Store(&bvmember.Heartbeat{Node: d.self, Incarnation: o.Incarnation})
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
	if d.fabric, err = bvtunnel.Listen(ctx, d.settings.Listen.Fabric, readers); err != nil {
		return err
	}
	if d.peer, err = bvtunnel.Listen(ctx, d.settings.Listen.Peer, readers); err != nil {
		return err
	}
	if d.control, err = l.Listen(ctx, "tcp", d.settings.Listen.Control.String()); err != nil {
		return eris.Wrap(err, "bvdaemon: listening for control calls")
	}
	d.admin, err = l.Listen(ctx, "tcp", d.settings.Listen.Admin.String())
	return eris.Wrap(err, "bvdaemon: listening for admin requests")
}

func (d *Daemon) closeSockets() {
	for _, s := range d.fabric {
		_ = s.Close()
	}
	for _, s := range d.peer {
		_ = s.Close()
	}
	for _, l := range []net.Listener{d.control, d.admin} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Addresses returns the addresses that the daemon listens on; they differ from
// the settings where those have port 0.
func (d *Daemon) Addresses() bvsettings.Listen {
	return bvsettings.Listen{
		Fabric:  d.fabric[0].Address(),
		Peer:    d.peer[0].Address(),
		Control: d.control.Addr().(*net.TCPAddr).AddrPort(),
		Admin:   d.admin.Addr().(*net.TCPAddr).AddrPort(),
	}
}

// Run works until ctx ends, then makes a planned stop: the node pushes what it
// has to push, and Run returns when the node asks for the stop.
func (d *Daemon) Run(ctx context.Context) error {
	defer func() { _ = d.metrics.Close() }()
	d.tasks.start(context.WithoutCancel(ctx))
	sockets := d.startPackets()
	d.spawn(func(ctx context.Context) error {
		rejected := func() { d.counters.callsRejected.Inc(1) }
		return bvpeer.NewServer(peerHandler{d}, d.credentials(), d.clock, rejected).Serve(ctx, d.control)
	})
	d.spawn(func(ctx context.Context) error {
		return bvadmin.New(d.metrics, d.sources()).Serve(ctx, d.admin)
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

// awaitStop waits for the end of ctx, requests the stop and waits for it. It
// also returns when a task has failed, which ends work.
func (d *Daemon) awaitStop(ctx, work context.Context) {
	select {
	case <-ctx.Done():
		d.log.Info("stop requested")
		d.handle(bvnode.StopRequested{})
	case <-d.stopped:
		return
	case <-work.Done():
		return
	}
	select {
	case <-d.stopped:
	case <-work.Done():
	case <-d.clock.After(d.settings.Timeouts.Stop + stopMargin):
		d.log.Warn("node did not finish its stop in time")
	}
}

// tick lets the node's time pass and looks for changed key files.
func (d *Daemon) tick(ctx context.Context) error {
	t := d.clock.NewTicker(bvnode.TickInterval)
	defer t.Stop()
	var checked time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.Chan():
		}
		d.handle(bvnode.Tick{})
		if now := d.clock.Now(); now.Sub(checked) >= keyInterval {
			checked = now
			d.refreshKeys()
			d.measure(now)
		}
	}
}

func (d *Daemon) refreshKeys() {
	changed, err := d.keys.Refresh()
	if err != nil {
		d.log.Warn("key file cannot be read; the key before stays in use", zap.Error(err))
	}
	if changed {
		d.log.Info("key file has changed")
	}
	if d.tls != nil {
		if err := d.tls.Load(); err != nil {
			d.log.Warn("TLS files cannot be read; the files before stay in use", zap.Error(err))
		}
	}
}

// incarnation returns the node's current incarnation.
func (d *Daemon) incarnation() uint64 { return d.last.Load().Incarnation }

// returnAddress is where refusals go.
func (d *Daemon) returnAddress() netip.AddrPort { return d.settings.Fabric.Return }
