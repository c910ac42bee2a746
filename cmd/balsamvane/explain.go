package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"time"

	"balsamvane/core/bvtoken"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

// explainWindow is the time before the first and after the last decision on a
// flow in which lines on its upstream and the configuration are printed.
const explainWindow = 10 * time.Second

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

// newExplainCommand returns the command that finds in saved logs what happened to a
// flow, or asks a balancer where an opening would go.
func newExplainCommand() *cobra.Command {
	var flow string
	var q openingQuery
	c := &cobra.Command{
		Use:   "explain {--flow CALLER [FILE...] | --addr IP:PORT --destination IP:PORT --caller IP:PORT}",
		Short: "Find what happened to a flow, or where an opening would go, and why",
		Long: `With --flow, explain finds in saved logs of one or more balancers what happened
to the flow of a caller's address and port. Lines may have other text before
their JSON. Without a file the logs are read from standard input.

With --addr, explain asks a running balancer where an opening of a caller to a
destination would go now. That sends nothing and changes nothing.`,
		Example: `  balsamvane explain --flow 203.0.113.7:51234 balancers.log
  balsamvane explain --addr 10.20.0.1:7074 --destination 198.51.100.1:8443 --caller 203.0.113.7:51234`,
		RunE: func(c *cobra.Command, files []string) error {
			if c.Flags().Changed("addr") {
				return q.run(c.Context(), c.OutOrStdout(), files)
			}
			caller, err := netip.ParseAddrPort(flow)
			if err != nil {
				return eris.Errorf("--flow %q is not the address and port of a caller", flow)
			}
			lines, err := readLogs(c.InOrStdin(), files)
			if err != nil {
				return err
			}
			return explain(c.OutOrStdout(), caller, lines)
		},
	}
	c.Flags().StringVar(&flow, "flow", "", "the caller's address and port in the logs, such as 203.0.113.7:51234")
	q.addTo(c)
	c.MarkFlagsOneRequired("flow", "addr")
	return c
}

// logLine holds the fields of a balancer's log line that explain needs.
type logLine struct {
	Time        time.Time `json:"ts"`
	Message     string    `json:"msg"`
	Node        string    `json:"node"`
	Source      string    `json:"source"`
	Destination string    `json:"destination"`
	Opening     bool      `json:"opening"`
	Verdict     string    `json:"verdict"`
	Reason      string    `json:"reason"`
	Upstream    uint64    `json:"upstream"`
	CatalogAge  string    `json:"catalogAge"`
	Version     uint64    `json:"version"`
	raw         []byte
}

// readLogs returns the lines of all files, sorted by time. It skips lines
// without JSON.
func readLogs(in io.Reader, files []string) ([]logLine, error) {
	var out []logLine
	if len(files) == 0 {
		return sortLines(scanLog(in, out))
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, eris.Wrap(err, "read logs")
		}
		out, err = scanLog(f, out)
		_ = f.Close()
		if err != nil {
			return nil, err
		}
	}
	return sortLines(out, nil)
}

func sortLines(lines []logLine, err error) ([]logLine, error) {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return lines, err
}

func scanLog(r io.Reader, out []logLine) ([]logLine, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		i := bytes.IndexByte(s.Bytes(), '{')
		if i < 0 {
			continue
		}
		l := logLine{raw: bytes.Clone(s.Bytes())}
		if json.Unmarshal(l.raw[i:], &l) == nil && l.Message != "" {
			out = append(out, l)
		}
	}
	return out, eris.Wrap(s.Err(), "read logs")
}

// explain writes the lines that are relevant to a caller's flow, and a sentence
// on the last decision.
func explain(w io.Writer, caller netip.AddrPort, lines []logLine) error {
	var decisions []logLine
	for _, l := range lines {
		if l.Message == "decision" && l.Source == caller.String() {
			decisions = append(decisions, l)
		}
	}
	if len(decisions) == 0 {
		_, err := fmt.Fprintf(w, "No decision on a flow of %s. It reached no balancer whose log is here, or its line was suppressed: look for \"lines left out\".\n", caller)
		return err
	}
	first, last := decisions[0], decisions[len(decisions)-1]
	upstreams, nodes := map[uint64]bool{}, map[string]bool{}
	for _, d := range decisions {
		upstreams[d.Upstream] = d.Upstream != 0
		nodes[d.Node] = true
	}
	for _, l := range lines {
		if l.Time.Before(first.Time.Add(-explainWindow)) || l.Time.After(last.Time.Add(explainWindow)) {
			continue
		}
		if l.Message == "decision" && l.Source == caller.String() || nodes[l.Node] && isRelevant(l, upstreams) {
			if _, err := fmt.Fprintf(w, "%s\n", l.raw); err != nil {
				return err
			}
		}
	}
	_, err := fmt.Fprintf(w, "\nThe last decision on %s to %s: %s, since %s. It was made with version %d of the configuration and a catalog that the store had confirmed %s earlier.\n",
		caller, last.Destination, last.Verdict, explainReason(last.Reason), last.Version, last.CatalogAge)
	return err
}

// isRelevant reports whether a line records a change in a balancer's state of
// the flow's upstreams, its zones, its sources, its configuration or its own
// life cycle.
func isRelevant(l logLine, upstreams map[uint64]bool) bool {
	switch l.Message {
	case "upstream changed", "upstream gone":
		return upstreams[l.Upstream]
	case "zone taken out of service", "zone back in service", "configuration in force", "source does not answer",
		"store was restored from a copy", "following source", "balancer started", "stop requested", "balancer stopped", "catalog listed":
		return true
	}
	return false
}

// explainReason returns the explanation of a reason in the log.
func explainReason(reason string) string {
	for _, r := range bvtoken.Reasons() {
		if r.String() == reason {
			return r.Explanation()
		}
	}
	return "of an unknown reason (" + reason + ")"
}
