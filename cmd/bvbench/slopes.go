package main

import (
	"fmt"

	"balsamvane/bench/bvslope"

	"github.com/spf13/cobra"
)

func newSlopesCommand() *cobra.Command {
	return &cobra.Command{
		Use: "slopes", Short: "Print how the costs of a node depend on the size of its environment", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			p := newPrinter(c.OutOrStdout())
			for _, s := range bvslope.All() {
				points, err := s.Run()
				if err != nil {
					return err
				}
				printSlope(p, s, points)
			}
			if err := printImports(p); err != nil {
				return err
			}
			return p.w.Flush()
		},
	}
}

// columns are the printed costs. A line is fitted to the values of each.
var columns = []struct {
	name  string
	value func(bvslope.Point) float64
}{
	{"sent B/s", func(p bvslope.Point) float64 { return p.Sent }},
	{"received B/s", func(p bvslope.Point) float64 { return p.Received }},
	{"probed upstreams", func(p bvslope.Point) float64 { return p.Probes }},
	{"CPU us/s", func(p bvslope.Point) float64 { return p.CPU }},
	{"heap B", func(p bvslope.Point) float64 { return p.Heap }},
	{"configuration B", func(p bvslope.Point) float64 { return p.Config }},
	{"in force after s", func(p bvslope.Point) float64 { return p.InForceAfter }},
	{"records", func(p bvslope.Point) float64 { return p.Records }},
	{"active after s", func(p bvslope.Point) float64 { return p.ActiveAfter }},
}

func printSlope(p printer, s bvslope.Series, points []bvslope.Point) {
	header := []any{s.Name}
	slope, constant := []any{"fitted slope"}, []any{"fitted constant"}
	for _, c := range columns {
		header = append(header, c.name)
		a, b := bvslope.Fit(points, c.value)
		slope, constant = append(slope, fmt.Sprintf("%.4g", a)), append(constant, fmt.Sprintf("%.4g", b))
	}
	p.line(header...)
	for _, x := range points {
		l := []any{x.Size}
		for _, c := range columns {
			l = append(l, fmt.Sprintf("%.4g", c.value(x)))
		}
		p.line(l...)
	}
	p.line(slope...)
	p.line(constant...)
	p.line()
}

func printImports(p printer) error {
	l, err := bvslope.MeasureImports()
	if err != nil {
		return err
	}
	p.line("importer: groups", "upstreams", "register B", "published B", "parts", "s", "allocated B")
	for _, i := range l {
		p.line(i.Groups, i.Upstreams, i.RegisterBytes, i.PublishedBytes, i.Parts, fmt.Sprintf("%.3g", i.Seconds), fmt.Sprintf("%.4g", i.AllocatedBytes))
	}
	return nil
}
