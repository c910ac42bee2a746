package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"balsamvane/bench/bvcost"
	"balsamvane/bench/bvgroup"
	"balsamvane/bench/bvscenario"

	"github.com/sourcegraph/conc/pool"
	"github.com/spf13/cobra"
)

// maxParallel is the maximum number of scenarios that run at once. It is low
// because the machine may be shared.
const maxParallel = 2

// printer prints the lines of one table.
type printer struct{ w *tabwriter.Writer }

func newPrinter(w io.Writer) printer {
	return printer{tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
}

func (p printer) line(columns ...any) {
	for i, c := range columns {
		if i > 0 {
			_, _ = fmt.Fprint(p.w, "\t")
		}
		_, _ = fmt.Fprint(p.w, c)
	}
	_, _ = fmt.Fprintln(p.w)
}

// lineWithTarget prints a value, the target that it should not exceed, and
// whether the target is met.
func (p printer) lineWithTarget(name string, value, target float64, unit string, notes ...any) {
	verdict := "met"
	if value > target {
		verdict = "MISSED"
	}
	p.line(append([]any{name, fmt.Sprintf("%.5g %s", value, unit), fmt.Sprintf("<= %g", target), verdict}, notes...)...)
}

func newTableCommand() *cobra.Command {
	var o bvscenario.Options
	var only string
	c := &cobra.Command{
		Use: "table", Short: "Print the table of the measurements in one process", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			p := newPrinter(c.OutOrStdout())
			p.line("case", "value", "target", "verdict", "note")
			if only == "" {
				for _, n := range []int{2_000, 35_000} {
					if err := printDecisions(p, n); err != nil {
						return err
					}
				}
				if err := printSizes(p); err != nil {
					return err
				}
			}
			if err := printScenarios(p, o, only); err != nil {
				return err
			}
			return p.w.Flush()
		},
	}
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the workload")
	c.Flags().Float64Var(&o.FlowsPerSecond, "flows-per-second", 3000, "new flows for each balancer")
	c.Flags().DurationVar(&o.WarmUp, "warm-up", 30*time.Second, "virtual time of load before a change")
	c.Flags().StringVar(&only, "only", "", "run one scenario only")
	return c
}

func printDecisions(p printer, perRound int) error {
	c, err := bvcost.Decisions(perRound)
	if err != nil {
		return err
	}
	for _, x := range []struct {
		name   string
		cost   bvcost.Cost
		target float64
	}{
		{"decision, known flow", c.Known, 200},
		{"decision, new flow", c.New, 500},
		{"decision, unknown mid-flow, 14 upstreams", c.Unknown, 1000},
		{"decision, forward to the owner", c.Forward, 1000},
	} {
		x.name = fmt.Sprintf("%s, table of %d", x.name, 2*5*perRound)
		p.lineWithTarget(x.name, x.cost.Nanoseconds, x.target, "ns", fmt.Sprintf("median of 5 rounds, slowest %.0f", x.cost.Slowest))
		allocations := float64(int(x.cost.Allocations*100)) / 100
		p.lineWithTarget(x.name+", allocations", allocations, 0, "", fmt.Sprintf("%.5f with the growth of the table", x.cost.Allocations))
	}
	return nil
}

func printSizes(p printer) error {
	for _, n := range []int{100_000, 300_000} {
		b, err := bvcost.BytesPerFlow(n)
		if err != nil {
			return err
		}
		p.lineWithTarget(fmt.Sprintf("heap per open flow, %d flows", n), b, 64, "B")
	}
	return printMessageCosts(p)
}

func printMessageCosts(p printer) error {
	for _, m := range []struct {
		name, note string
		cost       func() (bvgroup.MessageCost, error)
	}{
		{"heartbeat", "encoding and decoding, without system calls", bvgroup.HeartbeatCost},
		{"push of 1 record", "both sides", func() (bvgroup.MessageCost, error) { return bvgroup.PushCost(1) }},
		{"push of 50 records", "both sides", func() (bvgroup.MessageCost, error) { return bvgroup.PushCost(50) }},
		{"probe of an upstream", "both sides; every 2 s for each upstream of the zone; not in the control rows", bvgroup.ProbeCost},
	} {
		c, err := m.cost()
		if err != nil {
			return err
		}
		p.line(m.name, fmt.Sprintf("%d B, %.1f us", c.Bytes, float64(c.CPU.Nanoseconds())/1000), "-", "-", "processor time; "+m.note)
	}
	return nil
}

func printScenarios(p printer, o bvscenario.Options, only string) error {
	all := bvscenario.All(o)
	results := make([][]bvscenario.Outcome, len(all))
	run := pool.New().WithErrors().WithMaxGoroutines(maxParallel)
	for i, s := range all {
		if only == "" || only == s.Name {
			run.Go(func() (err error) {
				results[i], err = s.Run()
				return err
			})
		}
	}
	if err := run.Wait(); err != nil {
		return err
	}
	for _, r := range results {
		for _, x := range r {
			printOutcome(p, x)
		}
	}
	return nil
}

func printOutcome(p printer, o bvscenario.Outcome) {
	c := o.Counts
	p.lineWithTarget(o.Name+": control, mean of the balancers", o.Rates.Mean, 3000, "B/s", "sent, worst 10 s")
	p.lineWithTarget(o.Name+": control, balancer that sends most", o.Rates.Sent, 3000, "B/s",
		fmt.Sprintf("received at most %.0f B/s", o.Rates.Received))
	p.line(o.Name+": in-band record options", fmt.Sprintf("%.0f B/s", o.Rates.InBand), "-", "-",
		fmt.Sprintf("mean of the balancers, worst 10 s; %.1f%% of new flows are exceptions", 100*float64(c.Exceptions)/float64(max(c.Placed, 1))))
	p.lineWithTarget(o.Name+": broken flows", float64(c.Broken), 0, "", fmt.Sprintf(
		"of %d open; hashing alone %d; every flow replicated under 3 KB/s %d (%.0f%% replicated, lost tables replicated again after %.0f s)",
		o.OpenFlows, o.Hashing.Broken, o.Replicated.Broken, 100*o.Replicated.Share, o.Replicated.RecoveryTime.Seconds()))
	p.line(o.Name+": packets lost", c.Dropped, "-", "-", fmt.Sprintf(
		"of %d data and closing packets; %d open flows unreachable at the end; %d flows abandoned with their zone", c.Packets, o.Unreachable, c.Abandoned))
	p.lineWithTarget(o.Name+": imbalance at the end", o.Imbalance, 1.1, "", fmt.Sprintf("worst of the first 10 s %.3f; hashing alone %.3f", o.WorstImbalance, o.Hashing.Imbalance))
	p.lineWithTarget(o.Name+": refused share", 100*float64(c.Refused)/float64(c.Opened), 0, "%", fmt.Sprintf(
		"of %d openings; %.3f%% retransmitted, %.3f%% failed after four tries; %v", c.Opened,
		100*float64(c.Delayed)/float64(c.Opened), 100*float64(c.Failed)/float64(c.Opened), c.Reasons))
	p.line(o.Name+": back to normal after", formatSeconds(o.NormalAfter), "-", "-", "imbalance < 1.1 and nothing refused or dropped for 2 s; all balancers active after "+formatSeconds(o.AllActiveAfter))
	for _, b := range o.Bloom {
		p.line(fmt.Sprintf("Bloom filters, %d bits an exception", b.BitsPerEntry), fmt.Sprint(b.FilterBytes, " B"), "-", "-", fmt.Sprintf(
			"list %d B for %d open exceptions; %d of %d other open flows sent to a wrong upstream (broken)", b.ListBytes, b.Exceptions, b.FalsePositive, b.Queried))
	}
}

func formatSeconds(d time.Duration) string {
	if d < 0 {
		return "not in the run"
	}
	return fmt.Sprintf("%.1f s", d.Seconds())
}
