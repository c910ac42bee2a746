package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"balsamvane/standin/bvstandcaller"
	"balsamvane/standin/bvstandfabric"
	"balsamvane/standin/bvstandplatform"
	"balsamvane/standin/bvstandupstream"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.yaml.in/yaml/v3"
)

func platform() *cobra.Command {
	var o bvstandplatform.Options
	c := &cobra.Command{
		Use: "platform", Short: "Serve configuration values from a directory",
		RunE: func(c *cobra.Command, _ []string) error {
			return bvstandplatform.New(o, clockwork.NewRealClock()).Run(c.Context())
		},
	}
	c.Flags().StringVar(&o.Directory, "directory", "", "values; a key is a file's relative path")
	c.Flags().DurationVar(&o.Delay, "delay", 2*time.Second, "delay of answers in mode slow")
	addAddressFlag(c, &o.Listen, "listen", "HTTP address for readers")
	addAddressFlag(c, &o.Control, "control", "HTTP address for /mode and /counts")
	requireFlags(c, "directory")
	return c
}

func fabric() *cobra.Command {
	var o bvstandfabric.Options
	c := &cobra.Command{
		Use: "fabric", Short: "Forward each packet of the caller to a random balancer",
		RunE: func(c *cobra.Command, _ []string) error {
			return bvstandfabric.New(o, clockwork.NewRealClock()).Run(c.Context())
		},
	}
	addAddressFlag(c, &o.Listen, "listen", "UDP address for the caller's packets")
	addAddressFlag(c, &o.Return, "return", "UDP address for refusals of balancers")
	addAddressFlag(c, &o.Caller, "caller", "UDP address of the caller")
	c.Flags().StringVar(&o.BalancersFile, "balancers", "", "file with one balancer fabric address a line")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the random choice")
	requireFlags(c, "balancers")
	return c
}

func upstream() *cobra.Command {
	var o bvstandupstream.Options
	c := &cobra.Command{
		Use: "upstream", Short: "Serve one service in one VM",
		RunE: func(c *cobra.Command, _ []string) error {
			return bvstandupstream.New(o, clockwork.NewRealClock(), zap.Must(zap.NewDevelopment())).Run(c.Context())
		},
	}
	f := c.Flags()
	f.StringVar(&o.Name, "name", "", "VM name")
	f.StringVar(&o.Service, "service", "", "service name, part of each answer")
	f.Uint32Var(&o.VNI, "vni", 0, "the only virtual network that the VM accepts")
	addAddressFlag(c, &o.Tunnel, "tunnel", "UDP address for Geneve")
	addAddressFlag(c, &o.Health, "health", "HTTP address")
	addAddressFlag(c, &o.Caller, "caller", "UDP address that answers go to")
	f.IntVar(&o.Slots, "slots", 4, "requests that run at once")
	f.IntVar(&o.Queue, "queue", 64, "requests that wait for a slot; more are refused")
	f.DurationVar(&o.ColdFor, "cold-for", 0, "time after the start in which the upstream is cold")
	f.IntVar(&o.ColdRate, "cold-rate", 0, "new flows a second above which a cold upstream is overloaded; 0 for no limit")
	f.DurationVar(&o.OverloadOutage, "fall-over", 2*time.Second, "time without answers after an overload")
	f.DurationVar(&o.HealthLag, "health-lag", 0, "age of what /health reports")
	f.DurationVar(&o.DrainLimit, "drain-limit", 45*time.Second, "longest time from SIGTERM to the exit")
	f.StringVar(&o.CountsFile, "counts-file", "", "file for the counts at exit")
	requireFlags(c, "name", "service", "vni")
	return c
}

func caller() *cobra.Command {
	var o bvstandcaller.Options
	var services, reportFile string
	c := &cobra.Command{
		Use: "caller", Short: "Make requests, check the answers, print the counts as one JSON line",
		RunE: func(c *cobra.Command, _ []string) error {
			var t bvstandcaller.Traffic
			b, err := os.ReadFile(services)
			if err == nil {
				err = yaml.Unmarshal(b, &t)
			}
			if err != nil {
				return eris.Wrap(err, "bvstandin: read the services file")
			}
			r, err := bvstandcaller.New(o, t, clockwork.NewRealClock(), zap.Must(zap.NewDevelopment())).Run(c.Context())
			if err != nil {
				return err
			}
			if reportFile != "" {
				if err := writeReport(reportFile, r); err != nil {
					return err
				}
			}
			return printJSON(r.Summary)
		},
	}
	f := c.Flags()
	f.StringVar(&services, "services", "", "YAML file of services and their traffic")
	addAddressFlag(c, &o.Listen, "listen", "UDP address for answers")
	addAddressFlag(c, &o.Fabric, "fabric", "UDP address of the fabric")
	addAddressFlag(c, &o.Control, "control", "HTTP address for /zone, /reached and /report")
	f.DurationVar(&o.Duration, "duration", 20*time.Second, "time in which requests start")
	f.DurationVar(&o.Grace, "grace", 25*time.Second, "longest wait for open requests")
	f.DurationVar(&o.FeedRamp, "feed-ramp", 4*time.Second, "time over which the feeds open")
	f.DurationVar(&o.WarmUp, "warm-up", 5*time.Second, "time after which refusals of new requests are counted separately")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of arrivals and addresses")
	f.StringVar(&o.CountsDir, "counts-dir", "", "directory of counts files of stopped upstreams")
	f.StringVar(&reportFile, "report", "", "file for the detailed report")
	requireFlags(c, "services")
	return c
}

func writeReport(path string, r bvstandcaller.Report) error {
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return eris.Wrap(err, "bvstandin: encode the report")
	}
	return eris.Wrap(os.WriteFile(path, b, 0o600), "bvstandin: write the report")
}

func printJSON(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return eris.Wrap(err, "bvstandin: encode the output")
	}
	fmt.Println(string(b))
	return nil
}
