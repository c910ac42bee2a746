package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"balsamvane/core/bvconfig"
	"balsamvane/core/bvregister"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

func newDiffCommand() *cobra.Command {
	var format outputFormat
	var samples int
	c := &cobra.Command{
		Use:   "diff OLD NEW",
		Short: "Show what a change does to flows and VMs",
		Long: `Diff compares two directories that import wrote and shows, for each group: VMs
that get no new flows, established flows that are abandoned, the share of flows
whose default upstream moves, upstreams that start cold, and services that
lose zones. Established flows stay where they are when only their default
moves.

The shares are estimated on made-up flows and are the same in every run.`,
		Example: `  cp -r published before
  balsamvane import --register register.csv --rules rules.yaml -o published
  balsamvane diff before published`,
		Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			return runDiff(c.OutOrStdout(), format, args[0], args[1], samples)
		},
	}
	c.Flags().IntVar(&samples, "samples", 2000, "made-up flows of each service")
	format.addTo(c)
	return c
}

func runDiff(w io.Writer, format outputFormat, oldDirectory, newDirectory string, samples int) error {
	old, l, err := readPublished(oldDirectory)
	if err != nil {
		return err
	}
	updated, m, err := readPublished(newDirectory)
	if err != nil {
		return err
	}
	l.Join(m)
	if !l.Empty() {
		return printFindings(w, format, l)
	}
	reports := []bvregister.Report{}
	for _, g := range groupsOf(old, updated) {
		r := bvregister.Diff(old[g], updated[g], bvregister.DiffOptions{Samples: samples})
		if !r.Empty() || r.OldRevision != r.NewRevision {
			reports = append(reports, r)
		}
	}
	if format == outputJSON {
		return printJSON(w, reports)
	}
	var b strings.Builder
	if len(reports) == 0 {
		b.WriteString("no difference\n")
	}
	for _, r := range reports {
		writeReport(&b, r)
	}
	_, err = io.WriteString(w, b.String())
	return eris.Wrap(err, "write output")
}

// groupsOf returns the sorted names of the groups of a and b. A group that only
// one of them has is compared with the zero configuration.
func groupsOf(a, b map[string]bvconfig.Config) []string {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return slices.Sorted(maps.Keys(all))
}

func writeReport(b *strings.Builder, r bvregister.Report) {
	fmt.Fprintf(b, "group %s: revision %d -> %d\n", r.Group, r.OldRevision, r.NewRevision)
	if r.Empty() {
		b.WriteString("  no flow and no VM is affected\n")
		return
	}
	if r.HashSeedChanged {
		b.WriteString("  the hash seed differs: balancers find no established flow any more\n")
	}
	writeSection(b, "flows that are abandoned", r.Abandoned, func(l bvregister.Loss) string {
		if l.Zone == "" {
			return fmt.Sprintf("%s: %s of its flows (%s)", l.Service, formatShare(l.Share), l.Reason)
		}
		return fmt.Sprintf("%s in %s: %s of its flows (VMs: %d, %s)", l.Service, l.Zone, formatShare(l.Share), l.VMs, l.Reason)
	})
	writeSection(b, "VMs that get no new flows", r.NoNewFlows, describeVM)
	writeSection(b, "upstreams that start cold", r.Cold, describeVM)
	writeSection(b, "services with fewer zones", r.FewerZones, func(z bvregister.ZoneCount) string {
		return fmt.Sprintf("%s: %d instead of %d", z.Service, z.After, z.Before)
	})
	writeSection(b, "defaults that move ("+formatShare(r.MovedShare)+" over all services)", r.Moved, func(s bvregister.Share) string {
		return fmt.Sprintf("%s: %s of flows", s.Service, formatShare(s.Share))
	})
	writeSection(b, "services added", r.Added, func(s string) string { return s })
	writeSection(b, "services removed", r.Removed, func(s string) string { return s })
	writeSection(b, "balancers", r.Balancers, describeVM)
}

func describeVM(v bvregister.VM) string {
	if v.Service == "" {
		return fmt.Sprintf("%s in %s: %s", v.Name, v.Zone, v.Reason)
	}
	return fmt.Sprintf("%s (%s) in %s: %s", v.Name, v.Service, v.Zone, v.Reason)
}

func writeSection[T any](b *strings.Builder, title string, items []T, describe func(T) string) {
	if len(items) == 0 {
		return
	}
	fmt.Fprintf(b, "  %s:\n", title)
	for _, i := range items {
		fmt.Fprintf(b, "    %s\n", describe(i))
	}
}
