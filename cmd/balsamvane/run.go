package main

import (
	"context"
	"errors"
	"net/netip"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvfanout"
	"balsamvane/core/bvfinding"
	"balsamvane/core/bvflow"
	"balsamvane/core/bvnode"
	"balsamvane/core/bvpick"
	"balsamvane/io/bvadmin"
	"balsamvane/io/bvdaemon"
	"balsamvane/io/bvfollower"
	"balsamvane/io/bvforwarder"
	"balsamvane/io/bvlog"
	"balsamvane/io/bvrelay"
	"balsamvane/io/bvsettings"
	"balsamvane/platform"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"go.uber.org/zap"
)

// newRun returns the run command.
func newRun() *cobra.Command {
	var path, variable string
	var printSettings bool
	c := &cobra.Command{
		Use:   "run",
		Short: "Run one balancer until SIGTERM or SIGINT",
		Long: "Run one balancer. SIGTERM and SIGINT start a planned stop, in which the balancer\n" +
			"transfers its state to its peers; a second signal ends the process at once.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if printSettings {
				return bvsettings.Print(c.OutOrStdout())
			}
			if variable != "" {
				path = os.Getenv(variable)
			}
			if path == "" {
				return errors.New("run needs --settings FILE, or --settings-variable with the name of a variable that is set")
			}
			return run(c, path)
		},
	}
	c.Flags().StringVar(&path, "settings", "", "settings file (YAML)")
	c.Flags().StringVar(&variable, "settings-variable", "", "environment variable with the path of the settings file")
	c.Flags().BoolVar(&printSettings, "print-settings", false, "print the default settings and exit")
	c.MarkFlagsMutuallyExclusive("settings", "settings-variable")
	return c
}

// process is a balancer. Run returns when the context has ended and the planned
// stop is complete.
type process interface {
	Run(ctx context.Context) error
}

func run(c *cobra.Command, path string) error {
	s, findings := bvsettings.Load(path)
	if err := findings.Err(); err != nil {
		return err
	}
	clock := clockwork.NewRealClock()
	log, err := bvlog.New(s.LogLevel, os.Stdout, clock)
	if err != nil {
		return err
	}
	defer log.Close()
	b, err := newBalancer(path, s, clock, log.With(zap.String("node", s.Node)))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, stop) // Restores the default handling: a second signal ends the process.
	return b.Run(ctx)
}

// newBalancer returns the balancer for the encapsulation of the settings.
func newBalancer(path string, s bvsettings.Settings, clock clockwork.Clock, log *zap.Logger) (process, error) {
	switch s.Encapsulation {
	case bvsettings.EncapsulationToken:
		return newForwarder(path, s, clock, log)
	case bvsettings.EncapsulationGeneve:
		return newDaemon(s, clock, log)
	default:
		return nil, eris.Errorf("unknown encapsulation %q", s.Encapsulation)
	}
}

// newForwarder returns a balancer for packets with tokens. Its configuration
// comes from the store of the operators' platform, directly or through other
// balancers.
func newForwarder(path string, s bvsettings.Settings, clock clockwork.Clock, log *zap.Logger) (process, error) {
	metrics := bvadmin.NewMetrics()
	calls := bvforwarder.CallCounter(metrics.Scope)
	store := bvfollower.Source{Name: "store", Direct: true, Store: platform.NewStore(s.Platform.Addresses[0], clock, log, calls)}
	follower := bvfollower.New(sources(s, store, clock), clock, log, bvfollower.Options{
		Seed:             uint64(bvconfig.NodeIDOf(s.Node)),
		Self:             s.Listen.Control,
		StoreFallbackAge: storeAge(s),
		Peer:             func(a netip.AddrPort) bvfollower.Source { return peerSource(s, a, clock) },
	})
	return bvforwarder.New(s, clock, log, metrics, platform.Codec{}, follower, bvforwarder.Options{
		ReadyPath: platform.ReadyPath,
		Reload: bvforwarder.Reload{
			Load:  func() (bvsettings.Settings, bvfinding.List) { return bvsettings.Load(path) },
			Apply: func(s bvsettings.Settings) { follower.SetSources(sources(s, store, clock)) },
		},
	})
}

// maxStoreAge is the maximum that storeAge returns, even if the settings allow an
// older state.
const maxStoreAge = 4500 * time.Millisecond

// storeAge returns the age of the platform's state from which a balancer that
// follows others calls the store. It is 3/4 of the age that the settings allow,
// so that the rest is left for the store's answer.
func storeAge(s bvsettings.Settings) time.Duration {
	return min(min(s.Timeouts.Configuration, s.Timeouts.Drain)*3/4, maxStoreAge)
}

// peerSource returns the balancer with a control address as a source. If this
// balancer is a seed, it sends no address at which it can be followed. The other
// seed then always admits it, even if it has as many followers as it accepts. It
// would otherwise redirect this seed to its followers, which may themselves
// follow this seed.
func peerSource(s bvsettings.Settings, a netip.AddrPort, clock clockwork.Clock) bvfollower.Source {
	self := bvfanout.Follower{Zone: s.Zone}
	if !slices.Contains(s.Seeds, s.Listen.Control) {
		self.Address = s.Listen.Control
	}
	return bvfollower.Source{Name: a.String(), Store: bvrelay.NewClient(a, self, clock)}
}

// sources returns the balancer's sources in order of preference. A seed reads
// the store, and follows other seeds if the store does not answer. All other
// balancers follow the seeds, each in an order of its own, and read the store
// if no seed answers.
func sources(s bvsettings.Settings, store bvfollower.Source, clock clockwork.Clock) []bvfollower.Source {
	var peerSources []bvfollower.Source
	var candidates []bvpick.Candidate
	isSeed := slices.Contains(s.Seeds, s.Listen.Control)
	for _, a := range s.Seeds {
		if a == s.Listen.Control {
			continue
		}
		peerSources = append(peerSources, peerSource(s, a, clock))
		candidates = append(candidates, bvpick.Balancer(bvconfig.NodeIDOf(a.String())))
	}
	key := bvflow.NewHasher(0).Key(bvflow.Tuple{Source: s.Listen.Fabric})
	order := make([]int, len(candidates))
	var ranked []bvfollower.Source
	for _, i := range order[:bvpick.Rank(key, candidates, order)] {
		ranked = append(ranked, peerSources[i])
	}
	if isSeed {
		return append([]bvfollower.Source{store}, ranked...)
	}
	return append(ranked, store)
}

// newDaemon returns a balancer for packets in Geneve.
func newDaemon(s bvsettings.Settings, clock clockwork.Clock, log *zap.Logger) (process, error) {
	// The start time increases with each process of this VM, so that no counter
	// has to be stored on disk.
	incarnation := uint64(clock.Now().UnixNano())
	node := bvnode.New(bvnode.Options{
		Node:                  s.Node,
		Zone:                  s.Zone,
		Group:                 s.Group,
		Incarnation:           incarnation,
		Started:               clock.Now(),
		Seeds:                 s.Seeds,
		MaxFlows:              s.Limits.Flows,
		ControlBytesPerSecond: s.Limits.ControlBytesPerSecond,
		IdleTimeout:           s.Timeouts.Idle,
		OpeningWindow:         s.Timeouts.Opening,
		StopTimeout:           s.Timeouts.Stop,
		Seed:                  incarnation,
	})
	return bvdaemon.New(s, clock, log, node, bvdaemon.Options{Incarnation: incarnation, Decode: decodeConfig})
}
