package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"balsamvane/standin/bvstandcaller"
	"balsamvane/standin/bvstandpublish"
	"balsamvane/standin/bvstandregister"
	"balsamvane/standin/bvstandrelay"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

// pollInterval is the time between two checks of a condition.
const pollInterval = 50 * time.Millisecond

func relay() *cobra.Command {
	var o bvstandrelay.Options
	var routes []string
	c := &cobra.Command{
		Use: "relay", Short: "Forward UDP packets unchanged",
		RunE: func(c *cobra.Command, _ []string) error {
			o.Routes = map[netip.AddrPort]bvstandrelay.Route{}
			for _, r := range routes {
				if err := addRoute(o.Routes, r); err != nil {
					return err
				}
			}
			return bvstandrelay.Relay(c.Context(), o)
		},
	}
	addAddressFlag(c, &o.Listen, "listen", "UDP address")
	c.Flags().Var(addressValue{&o.To}, "to", "UDP address to send to")
	c.Flags().StringArrayVar(&routes, "route", nil, "service=vni@tunnel: pick the upstream by the destination inside the packet")
	return c
}

func addRoute(m map[netip.AddrPort]bvstandrelay.Route, text string) error {
	service, rest, _ := strings.Cut(text, "=")
	vni, to, _ := strings.Cut(rest, "@")
	s, err := netip.ParseAddrPort(service)
	if err != nil {
		return eris.Wrap(err, "bvstandin: parse a route")
	}
	n, err := strconv.ParseUint(vni, 10, 24)
	if err != nil {
		return eris.Wrap(err, "bvstandin: parse a route")
	}
	t, err := netip.ParseAddrPort(to)
	if err != nil {
		return eris.Wrap(err, "bvstandin: parse a route")
	}
	m[s] = bvstandrelay.Route{VNI: uint32(n), To: t}
	return nil
}

func blast() *cobra.Command {
	var o bvstandrelay.BurstOptions
	c := &cobra.Command{
		Use: "blast", Short: "Measure packets per second through an address",
		RunE: func(c *cobra.Command, _ []string) error {
			r, err := bvstandrelay.LoadBurst(c.Context(), o, clockwork.NewRealClock())
			if err != nil {
				return err
			}
			return printJSON(r)
		},
	}
	f := c.Flags()
	addAddressFlag(c, &o.To, "to", "UDP address of the relay or balancer")
	addAddressFlag(c, &o.Receive, "receive", "UDP address at which the packets arrive")
	addAddressFlag(c, &o.Destination, "destination", "service address inside the packets")
	f.IntVar(&o.Flows, "flows", 1000, "number of flows")
	f.IntVar(&o.Size, "size", 200, "payload bytes of a packet")
	f.IntVar(&o.Window, "window", 256, "packets in flight")
	f.DurationVar(&o.Duration, "duration", 3*time.Second, "time of the measurement")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the flows' ports")
	return c
}

func register() *cobra.Command {
	var o bvstandregister.Options
	c := &cobra.Command{
		Use: "register", Short: "Print an asset register as CSV",
		RunE: func(*cobra.Command, []string) error { return bvstandregister.Write(os.Stdout, o) },
	}
	f := c.Flags()
	f.IntVar(&o.Services, "services", 2, "number of services")
	f.IntVar(&o.Zones, "zones", 4, "number of availability zones")
	f.IntVar(&o.Regions, "regions", 1, "number of regions")
	f.IntVar(&o.Upstreams, "upstreams", 14, "upstream VMs of a service")
	f.IntVar(&o.Balancers, "balancers", 2, "balancer VMs of a zone")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the weights")
	return c
}

func publish() *cobra.Command {
	var directory, group, fragment string
	var added []string
	var revision uint64
	var change bvstandpublish.Change
	c := &cobra.Command{
		Use: "publish", Short: "Write a configuration for the platform; print the Unix time in ms",
		RunE: func(*cobra.Command, []string) error {
			f, err := readFragment(fragment)
			if err != nil {
				return err
			}
			for _, path := range added {
				a, err := readFragment(path)
				if err != nil {
					return err
				}
				change.Added = append(change.Added, a)
			}
			if err := bvstandpublish.Publish(directory, group, revision, f, change); err != nil {
				return err
			}
			fmt.Println(clockwork.NewRealClock().Now().UnixMilli())
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&directory, "directory", "", "directory of the platform")
	f.StringVar(&group, "group", "", "group name")
	f.Uint64Var(&revision, "revision", 0, "revision of the configuration")
	f.StringVar(&fragment, "fragment", "", "JSON file with the whole configuration")
	f.StringSliceVar(&added, "add", nil, "JSON files with entries to add")
	f.StringSliceVar(&change.ZonesOutOfService, "out-zone", nil, "zones out of service")
	f.StringSliceVar(&change.Leaving, "leaving", nil, "VMs that drain")
	f.StringSliceVar(&change.Removed, "removed", nil, "VMs to remove")
	requireFlags(c, "directory", "group", "revision", "fragment")
	return c
}

func readFragment(path string) (bvstandpublish.Fragment, error) {
	var f bvstandpublish.Fragment
	b, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(b, &f)
	}
	return f, eris.Wrapf(err, "bvstandin: read fragment %s", path)
}

func await() *cobra.Command {
	var match string
	var timeout time.Duration
	c := &cobra.Command{
		Use: "await URL", Short: "Wait until a URL answers 200 with a given text", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			clock := clockwork.NewRealClock()
			client := http.Client{Timeout: time.Second}
			for start := clock.Now(); clock.Since(start) < timeout && c.Context().Err() == nil; clock.Sleep(pollInterval) {
				if answersOK(&client, args[0], match) {
					return nil
				}
			}
			return eris.Errorf("bvstandin: %s does not answer 200 with %q in %v", args[0], match, timeout)
		},
	}
	c.Flags().StringVar(&match, "match", "", "text that the answer contains")
	c.Flags().DurationVar(&timeout, "timeout", 15*time.Second, "longest wait")
	return c
}

func post() *cobra.Command {
	return &cobra.Command{
		Use: "post URL", Short: "Send a POST without a body; fail unless the answer is 200", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			client := http.Client{Timeout: 5 * time.Second}
			resp, err := client.Post(args[0], "", nil)
			if err != nil {
				return eris.Wrap(err, "bvstandin: send the request")
			}
			defer func() { _ = resp.Body.Close() }()
			if resp.StatusCode != http.StatusOK {
				return eris.Errorf("bvstandin: %s answers %s", args[0], resp.Status)
			}
			return nil
		},
	}
}

func quiet() *cobra.Command {
	var since int64
	var silence, timeout time.Duration
	c := &cobra.Command{
		Use: "quiet HEALTH,HEALTH…", Short: "Wait until upstreams receive no packets; print the ms from --since to the last one",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			l, err := addressList(args[0])
			if err != nil {
				return err
			}
			clock := clockwork.NewRealClock()
			for start := clock.Now(); c.Context().Err() == nil; clock.Sleep(pollInterval) {
				last, err := lastPacket(l)
				if err != nil {
					return err
				}
				if clock.Since(time.UnixMilli(max(last, since))) >= silence {
					fmt.Println(max(0, last-since))
					return nil
				}
				if clock.Since(start) > timeout {
					return eris.Errorf("bvstandin: upstreams still receive packets after %v", timeout)
				}
			}
			return c.Context().Err()
		},
	}
	c.Flags().Int64Var(&since, "since", 0, "Unix time in ms")
	c.Flags().DurationVar(&silence, "silence", 3*time.Second, "time without packets")
	c.Flags().DurationVar(&timeout, "timeout", 20*time.Second, "longest wait")
	return c
}

// lastPacket returns the Unix time in ms of the last packet that any of the
// upstreams received. health holds their health addresses.
func lastPacket(health []netip.AddrPort) (int64, error) {
	var last int64
	for _, a := range health {
		n, err := bvstandcaller.ReadCounts(a)
		if err != nil {
			return 0, err
		}
		last = max(last, n.LastPacketMillis)
	}
	return last, nil
}

func answersOK(client *http.Client, url, match string) bool {
	resp, err := client.Get(url)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	b := make([]byte, 1<<16)
	n := 0
	for n < len(b) {
		m, err := resp.Body.Read(b[n:])
		n += m
		if err != nil {
			break
		}
	}
	return resp.StatusCode == http.StatusOK && strings.Contains(string(b[:n]), match)
}

func verdict() *cobra.Command {
	var report, fault string
	var quietMillis int64
	c := &cobra.Command{
		Use: "verdict", Short: "Check a caller's report; print its summary as the last line",
		RunE: func(*cobra.Command, []string) error {
			var r bvstandcaller.Report
			b, err := os.ReadFile(report)
			if err == nil {
				err = json.Unmarshal(b, &r)
			}
			if err != nil {
				return eris.Wrap(err, "bvstandin: read the report")
			}
			if quietMillis >= 0 {
				r.ZoneQuietMillis = &quietMillis
			}
			failures := r.Violations(fault)
			for _, f := range failures {
				fmt.Println("failed:", f)
			}
			fmt.Print("report: ")
			if err := printJSON(r); err != nil {
				return err
			}
			if err := printJSON(r.Summary); err != nil {
				return err
			}
			if len(failures) > 0 {
				os.Exit(1) // A returned error would print a line after the JSON line.
			}
			return nil
		},
	}
	c.Flags().StringVar(&report, "report", "", "report file of the caller")
	c.Flags().StringVar(&fault, "fault", "", "fault of the run")
	c.Flags().Int64Var(&quietMillis, "zone-quiet-ms", -1, "time to the last packet of a zone taken out of service")
	requireFlags(c, "report")
	return c
}
