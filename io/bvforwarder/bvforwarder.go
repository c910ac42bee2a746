// Package bvforwarder wires one balancer process whose packets carry tokens:
// sockets, the router, the catalog and its follower, readiness and the admin
// endpoints. io/bvdaemon does the same for packets without a token.
//
// One goroutine reads packets, decides and sends, a batch at a time. The
// router and the catalog are behind one mutex, which the follower takes for
// each answer of the store.
//
// A planned stop first takes the balancer out of rotation and goes on
// forwarding until no more packets arrive, so that no caller waits for a
// packet that nobody took.
//
// # Usage
//
//	f, err := bvforwarder.New(settings, clock, log, metrics, codec, follower, bvforwarder.Options{})
//	if err != nil {
//		return err
//	}
//	err = f.Run(ctx) // Until ctx ends and the planned stop is done.
package bvforwarder

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"balsamvane/core/bvcatalog"
	"balsamvane/core/bvfanout"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvsource"
	"balsamvane/core/bvtoken"
	"balsamvane/io/bvadmin"
	"balsamvane/io/bvfollower"
	"balsamvane/io/bvlog"
	"balsamvane/io/bvrelay"
	"balsamvane/io/bvsettings"
	"balsamvane/io/bvtunnel"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"
)

// Codec reads and writes packets with a token in their header.
type Codec interface {
	Decode(b []byte) (bvtoken.Packet, error)
	AppendForward(out, packet []byte, d bvtoken.Decision) []byte
	AppendReset(out []byte, t bvflow.Tuple, d bvtoken.Decision) []byte
}

// Options are what a forwarder needs besides its settings; zero values select
// the defaults.
type Options struct {
	// ReadyPath is the path of the readiness check. "/ready".
	ReadyPath string
	// QuietFor is how long no packet may have come before a planned stop ends.
	// It covers two intervals of the readiness check and a margin. 1.2 s.
	QuietFor time.Duration
	// TickInterval is the time between two looks at what ends by itself. 250 ms.
	TickInterval time.Duration
	// Reload takes over changed settings; without it they are read only once.
	Reload Reload
}

func (o Options) withDefaults() Options {
	o.ReadyPath = cmp.Or(o.ReadyPath, "/ready")
	o.QuietFor = cmp.Or(o.QuietFor, 1200*time.Millisecond)
	o.TickInterval = cmp.Or(o.TickInterval, 250*time.Millisecond)
	return o
}

// Forwarder is one balancer process.
type Forwarder struct {
	settings bvsettings.Settings
	latest   bvsettings.Settings // As read last; used by watchSettings only.
	options  Options
	clock    clockwork.Clock
	log      *zap.Logger
	metrics  *bvadmin.Metrics
	codec    Codec
	follower *bvfollower.Follower

	mu      sync.Mutex // Guards catalog, router and routing.
	catalog *bvcatalog.Catalog
	router  *bvtoken.Router
	routing bvtoken.Options // Of the router.

	counters  *counters
	decisions *decisionLog
	panics    *bvlog.Budget // Of lines about panics.
	socket    *bvtunnel.Socket
	ready     net.Listener
	admin     net.Listener
	control   net.Listener // Nil if no balancer may follow this one.
	relay     *bvrelay.Server
	stopping  atomic.Bool
	lastIn    atomic.Int64 // Nanoseconds since started at which packets came last.
	started   time.Time
	complete  chan struct{} // Closed when the catalog is complete.
	changed   chan struct{} // Closed at the next change of the catalog; guarded by mu.
}

// New opens the sockets.
func New(s bvsettings.Settings, clock clockwork.Clock, log *zap.Logger, m *bvadmin.Metrics, c Codec, f *bvfollower.Follower, o Options) (*Forwarder, error) {
	catalog := bvcatalog.New(bvcatalog.Options{})
	w := &Forwarder{
		settings: s, latest: s, options: o.withDefaults(), clock: clock, log: log, metrics: m, codec: c, follower: f,
		catalog: catalog, started: clock.Now(), complete: make(chan struct{}), changed: make(chan struct{}),
		routing: bvtoken.Options{
			Zone: s.Zone, ColdBalancers: coldBalancers(s),
			ColdFactor: s.Limits.ColdFactor, ColdSlack: s.Limits.ColdSlack,
		},
		counters:  newCounters(m.Scope),
		panics:    bvlog.NewBudget(clock, panicLines),
		decisions: newDecisionLog(log, clock, m.Scope),
	}
	w.renewRouter()
	w.relay = bvrelay.NewServer(provider{w}, bvfanout.New(bvfanout.Options{Zone: s.Zone}), clock, bvsource.DefaultMaxAge)
	if err := w.listen(); err != nil {
		w.close()
		return nil, err
	}
	return w, nil
}

// coldBalancers returns the number of balancers that share the budget of a cold
// upstream, or 0 if this one has no share.
func coldBalancers(s bvsettings.Settings) int {
	if len(s.Seeds) == 0 {
		return s.Limits.ColdBalancers
	}
	return bvtoken.ColdBalancers(s.Listen.Control, s.Seeds)
}

func (w *Forwarder) listen() error {
	ctx, l := context.Background(), &net.ListenConfig{}
	sockets, err := bvtunnel.Listen(ctx, w.settings.Listen.Fabric, 1)
	if err != nil {
		return err
	}
	w.socket = sockets[0]
	if w.ready, err = l.Listen(ctx, "tcp", w.settings.Listen.Ready.String()); err != nil {
		return eris.Wrap(err, "bvforwarder: listening for readiness checks")
	}
	if w.admin, err = l.Listen(ctx, "tcp", w.settings.Listen.Admin.String()); err != nil {
		return eris.Wrap(err, "bvforwarder: listening for admin requests")
	}
	if a := w.settings.Listen.Control; a.IsValid() {
		w.control, err = l.Listen(ctx, "tcp", a.String())
	}
	return eris.Wrap(err, "bvforwarder: listening for followers")
}

func (w *Forwarder) close() {
	if w.socket != nil {
		_ = w.socket.Close()
	}
	for _, l := range []net.Listener{w.ready, w.admin, w.control} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Run works until ctx ends, then makes a planned stop.
func (w *Forwarder) Run(ctx context.Context) error {
	defer func() { _ = w.metrics.Close() }()
	defer w.close()
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	p := pool.New().WithContext(work).WithCancelOnError().WithFirstError()
	p.Go(w.supervised("packets", w.forward, func() {}))
	p.Go(w.supervised("catalog", func(ctx context.Context) error {
		return ignoreEnd(ctx, w.follower.Run(ctx, w.follow))
	}, w.follower.Relist))
	p.Go(w.supervised("tick", w.tick, func() {}))
	p.Go(w.supervised("settings", w.watchSettings, func() {}))
	p.Go(func(ctx context.Context) error { return w.serveReady(ctx) })
	p.Go(func(ctx context.Context) error { return bvadmin.New(w.metrics, w.sources()).Serve(ctx, w.admin) })
	if w.control != nil {
		p.Go(func(ctx context.Context) error {
			return w.relay.Serve(ctx, w.control)
		})
	}
	p.Go(func(work context.Context) error {
		w.awaitStop(ctx, work)
		cancel()
		return nil
	})
	w.log.Info("balancer started", zap.String("zone", w.settings.Zone))
	err := p.Wait()
	w.log.Info("balancer stopped")
	return err
}

func ignoreEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// awaitStop waits for the end of ctx and then for the end of the packets.
func (w *Forwarder) awaitStop(ctx, work context.Context) {
	select {
	case <-ctx.Done():
	case <-work.Done():
		return
	}
	w.stopping.Store(true)
	w.log.Info("stop requested")
	begin := w.clock.Now()
	for w.clock.Since(begin) < w.settings.Timeouts.Stop {
		select {
		case <-work.Done():
			return
		case <-w.clock.After(w.options.TickInterval / 2):
		}
		if w.clock.Since(begin) >= w.options.QuietFor && w.sinceLastPacket() >= w.options.QuietFor/2 {
			return
		}
	}
	w.log.Warn("packets still arrive at the end of the planned stop")
}

func (w *Forwarder) sinceLastPacket() time.Duration {
	return w.clock.Since(w.started) - time.Duration(w.lastIn.Load())
}

// tick lets what ends by itself end.
func (w *Forwarder) tick(ctx context.Context) error {
	t := w.clock.NewTicker(w.options.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.Chan():
		}
		now := w.clock.Now()
		w.mu.Lock()
		w.catalog.Tick(now)
		w.gauge(now)
		w.mu.Unlock()
		w.decisions.reportLeftOut(now)
	}
}

// forward reads packets until the socket is closed, decides and sends. It
// starts when the catalog is complete: until then packets wait in the socket's
// buffer, since callers would repeat a dropped one only after some time.
func (w *Forwarder) forward(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = w.socket.Close() })
	defer stop()
	select {
	case <-ctx.Done():
		return nil
	case <-w.complete:
	}
	l := newLoop(w)
	for {
		if err := w.socket.Read(l.in); err != nil {
			if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
				return nil
			}
			return eris.Wrap(err, "bvforwarder: reading packets")
		}
		w.lastIn.Store(int64(w.clock.Since(w.started)))
		l.process()
	}
}

// callerAddress is where packets for a caller are sent: the platform takes
// them at the port at which it also delivers.
func (w *Forwarder) callerAddress(t bvflow.Tuple) netip.AddrPort {
	return netip.AddrPortFrom(t.Source.Addr(), w.settings.Listen.Fabric.Port())
}
