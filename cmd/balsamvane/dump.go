package main

import (
	"io"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"go.yaml.in/yaml/v3"
)

func newDumpCommand() *cobra.Command {
	var address, service, flow, vm string
	var timeout time.Duration
	var format outputFormat
	c := &cobra.Command{
		Use:   "dump --addr IP:PORT [--service NAME | --flow FLOW | --vm NAME]",
		Short: "Print the state of one balancer",
		Long: `Dump prints the state of one running balancer: its configuration, peers, limits
and flows, or the part of it that concerns one service, one flow or one VM.

A flow is written as protocol,source,destination.`,
		Example: `  balsamvane dump --addr 10.20.0.1:9090
  balsamvane dump --addr 10.20.0.1:9090 --service bench
  balsamvane dump --addr 10.20.0.1:9090 --flow tcp,203.0.113.7:51234,192.0.2.10:7000
  balsamvane dump --addr 10.20.0.1:9090 --vm bench-3 --output json`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			q := url.Values{}
			for k, v := range map[string]string{"service": service, "flow": flow, "vm": vm} {
				if v != "" {
					q.Set(k, v)
				}
			}
			body, err := newAdminClient(timeout).get(c.Context(), address, "/dump", q)
			if err != nil {
				return err
			}
			return printDump(c.OutOrStdout(), format, body)
		},
	}
	c.Flags().StringVar(&address, "addr", "", "admin address of the balancer")
	c.Flags().StringVar(&service, "service", "", "only what concerns this service")
	c.Flags().StringVar(&flow, "flow", "", "only this flow")
	c.Flags().StringVar(&vm, "vm", "", "only what concerns this VM")
	c.Flags().DurationVar(&timeout, "timeout", 10*time.Second, "longest wait for the balancer")
	c.MarkFlagsMutuallyExclusive("service", "flow", "vm")
	format.addTo(c)
	requireFlags(c, "addr")
	return c
}

// printDump prints the JSON unchanged, or as YAML for people. It parses the
// JSON as YAML, which keeps the order of the balancer's fields.
func printDump(w io.Writer, format outputFormat, body []byte) error {
	if format == outputJSON {
		_, err := w.Write(append(body, '\n'))
		return eris.Wrap(err, "write output")
	}
	var n yaml.Node
	if err := yaml.Unmarshal(body, &n); err != nil {
		return eris.Wrap(err, "read the dump")
	}
	blockStyle(&n)
	e := yaml.NewEncoder(w)
	e.SetIndent(2)
	if err := e.Encode(&n); err != nil {
		return eris.Wrap(err, "write output")
	}
	return eris.Wrap(e.Close(), "write output")
}

// blockStyle changes all nodes from the flow style of JSON, with its brackets
// and quotes, to the block style.
func blockStyle(n *yaml.Node) {
	n.Style &^= yaml.FlowStyle | yaml.DoubleQuotedStyle
	for _, c := range n.Content {
		blockStyle(c)
	}
}
