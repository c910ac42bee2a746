package main

import (
	"context"
	"errors"
	"os/signal"
	"syscall"

	"balsamvane/core/bvnode"
	"balsamvane/io/bvdaemon"
	"balsamvane/io/bvsettings"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"
)

// newRun returns the command that runs one balancer.
func newRun() *cobra.Command {
	var path string
	var printSettings bool
	c := &cobra.Command{
		Use:   "run",
		Short: "Run one balancer until SIGTERM or SIGINT",
		Long: "Run one balancer. SIGTERM and SIGINT start a planned stop, in which the balancer\n" +
			"hands its state to its peers; a second signal ends the process at once.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if printSettings {
				return bvsettings.Print(c.OutOrStdout())
			}
			if path == "" {
				return errors.New("balsamvane: run needs --settings FILE")
			}
			return run(c, path)
		},
	}
	c.Flags().StringVar(&path, "settings", "", "settings file (YAML)")
	c.Flags().BoolVar(&printSettings, "print-settings", false, "print the default settings and exit")
	return c
}

func run(c *cobra.Command, path string) error {
	s, findings := bvsettings.Load(path)
	if err := findings.Err(); err != nil {
		return err
	}
	log, err := newLogger(s.LogLevel)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	clock := clockwork.NewRealClock()
	// The start time is larger than that of any earlier process of this VM,
	// and needs no disk.
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
	d, err := bvdaemon.New(s, clock, log, node, bvdaemon.Options{Incarnation: incarnation, Decode: decodeConfig})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, stop) // A second signal then ends the process.
	return d.Run(ctx)
}
