// Package bvforwarder wires one balancer process whose packets carry tokens:
// sockets, the router, the catalog and its follower, readiness and the admin
// endpoints. io/bvdaemon does the same for packets without a token.
//
// One goroutine reads packets, decides and sends, a batch at a time. The
// router and the catalog share one mutex, which the follower locks for each
// answer of the store.
//
// A planned stop fails the readiness check first and goes on forwarding until
// no more packets arrive, so that no packet is lost while the platform still
// sends to this balancer.
//
// # Usage
//
//	f, err := bvforwarder.New(settings, clock, log, metrics, codec, follower, bvforwarder.Options{})
//	if err != nil {
//		return err
//	}
//	err = f.Run(ctx) // Returns when ctx has ended and the planned stop is done.
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

// Options configure a Forwarder in addition to its settings; zero values select
// the defaults.
type Options struct {
	// ReadyPath is the path of the readiness check; default "/ready".
	ReadyPath string
	// QuietFor is the shortest duration of a planned stop, which ends once no
	// packet has arrived for half of it. It covers two intervals of the
	// readiness check and a margin; default 1.2 s.
	QuietFor time.Duration
	// TickInterval is the time between two checks for expired state; default 250 ms.
	TickInterval time.Duration
	// Reload applies changed settings; without it they are read only once.
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
	lastRead bvsettings.Settings // Settings as last read; used by watchSettings only.
	options  Options
	clock    clockwork.Clock
	log      *zap.Logger
	metrics  *bvadmin.Metrics
	codec    Codec
	follower *bvfollower.Follower

	mu            sync.Mutex // Guards catalog, router and routerOptions.
	catalog       *bvcatalog.Catalog
	router        *bvtoken.Router
	routerOptions bvtoken.Options // Kept to create a new router after a panic.

	counters        *counters
	hedges          hedgeCounters     // Guarded by mu.
	admissions      admissionCounters // Guarded by mu.
	decisions       *decisionLog
	panicBudget     *bvlog.Budget // Bounds the log lines about panics.
	socket          *bvtunnel.Socket
	ready           net.Listener
	admin           net.Listener
	control         net.Listener // Nil if no balancer may follow this one.
	relay           *bvrelay.Server
	stopping        atomic.Bool
	lastPacketAt    atomic.Int64 // Time of the last batch of packets, in nanoseconds since started.
	started         time.Time
	catalogComplete chan struct{} // Closed when the catalog is complete.
	catalogChanged  chan struct{} // Closed at the next answer of a source; guarded by mu.
}

// New returns a forwarder with open sockets.
func New(s bvsettings.Settings, clock clockwork.Clock, log *zap.Logger, m *bvadmin.Metrics, c Codec, f *bvfollower.Follower, o Options) (*Forwarder, error) {
	catalog := bvcatalog.New(bvcatalog.Options{})
	w := &Forwarder{
		settings: s, lastRead: s, options: o.withDefaults(), clock: clock, log: log, metrics: m, codec: c, follower: f,
		catalog: catalog, started: clock.Now(), catalogComplete: make(chan struct{}), catalogChanged: make(chan struct{}),
		routerOptions: bvtoken.Options{
			Zone: s.Zone, ColdBalancers: coldBalancers(s),
			ColdFactor: s.Limits.ColdFactor, ColdSlack: s.Limits.ColdSlack,
			Admission: s.Admission.Enabled, Responses: s.Responses.Enabled,
			HedgeFraction: s.Hedge.Fraction, HedgeBurst: s.Hedge.Burst,
		},
		counters:    newCounters(m.Scope),
		hedges:      newHedgeCounters(m.Scope, hedgingEnabled(s)),
		admissions:  newAdmissionCounters(m.Scope),
		panicBudget: bvlog.NewBudget(clock, panicLinesPerSecond),
		decisions:   newDecisionLog(log, clock, m.Scope),
	}
	w.resetRouter()
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
	sockets, err := bvtunnel.Listen(ctx, w.settings.Listen.Fabric, 1, w.clock)
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

// Run forwards packets until ctx ends, then makes a planned stop. If a task fails,
// it returns the first error without a planned stop.
func (w *Forwarder) Run(ctx context.Context) error {
	defer func() { _ = w.metrics.Close() }()
	defer w.close()
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	p := pool.New().WithContext(work).WithCancelOnError().WithFirstError()
	p.Go(w.supervised("packets", w.forward, func() {}))
	p.Go(w.supervised("catalog", func(ctx context.Context) error {
		return ignoreCanceled(ctx, w.follower.Run(ctx, w.applyEvent))
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

func ignoreCanceled(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// awaitStop waits until ctx ends and then until no more packets arrive, at most
// for the stop timeout. It also returns when a task fails, which ends work.
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
	return w.clock.Since(w.started) - time.Duration(w.lastPacketAt.Load())
}

// tick expires state of the catalog and updates gauges, once per interval.
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
		w.updateGauges(now)
		w.mu.Unlock()
		w.decisions.reportSuppressed(now)
	}
}

// forward reads packets until the socket is closed, decides and sends. It
// starts when the catalog is complete. Until then packets wait in the socket's
// buffer, since callers retransmit a dropped packet only after some time.
func (w *Forwarder) forward(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = w.socket.Close() })
	defer stop()
	select {
	case <-ctx.Done():
		return nil
	case <-w.catalogComplete:
	}
	l := newLoop(w)
	for {
		if err := l.read(); err != nil {
			if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
				return nil
			}
			return eris.Wrap(err, "bvforwarder: reading packets")
		}
		if l.in.Len() > 0 {
			w.lastPacketAt.Store(int64(w.clock.Since(w.started)))
		}
		l.process()
	}
}

// callerAddress returns the address for packets to a caller. The platform
// accepts them at the same port to which it delivers packets.
func (w *Forwarder) callerAddress(t bvflow.Tuple) netip.AddrPort {
	return netip.AddrPortFrom(t.Source.Addr(), w.settings.Listen.Fabric.Port())
}
