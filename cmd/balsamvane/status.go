package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/iter"
	"github.com/spf13/cobra"
)

// statusReply is a balancer's answer to GET /status. Unknown fields are ignored
// and absent ones are shown as "-", so that status works with balancers of
// other releases.
type statusReply struct {
	Node         string `json:"node"`
	Zone         string `json:"zone,omitempty"`
	Group        string `json:"group,omitempty"`
	State        string `json:"state"`
	Revision     uint64 `json:"revision"`
	Hash         string `json:"hash,omitempty"`
	BaseRevision uint64 `json:"baseRevision"`
	// ConfigAge is the time since the configuration came into force,
	// PlatformAge the time since the last contact with the platform.
	ConfigAge   *age     `json:"pictureAge,omitempty"`
	PlatformAge *age     `json:"platformAge,omitempty"`
	Flows       *int     `json:"flows,omitempty"`
	Dead        []string `json:"dead,omitempty"`
	// ShortOfCapacity holds the services whose openings the balancer refuses now.
	ShortOfCapacity []shortService `json:"shortOfCapacity,omitempty"`
}

// shortService is a service that is short of capacity, as a balancer measures it.
type shortService struct {
	Service  string  `json:"service"`
	Limit    float64 `json:"limit"`
	InFlight int     `json:"inFlight"`
	Latency  string  `json:"latency"`
}

// processStatus is the status of one balancer process, or the error of the
// request. It is one line of the table.
type processStatus struct {
	Address string       `json:"address"`
	Error   string       `json:"error,omitempty"`
	Status  *statusReply `json:"status,omitempty"`
}

// statusReport is the output with --output json.
type statusReport struct {
	Processes     []processStatus `json:"processes"`
	Disagreements []string        `json:"disagreements"`
}

func newStatusCommand() *cobra.Command {
	var addresses []string
	var timeout time.Duration
	var format outputFormat
	c := &cobra.Command{
		Use:   "status --addr IP:PORT,IP:PORT",
		Short: "Compare what several balancers have in force",
		Long: `Status asks balancers for their revision, the age of their configuration and
the peers that they consider dead, and prints one table with all disagreements
below it.

Exit status: 0 all agree, 1 they disagree or one does not answer, 2 status
could not run.`,
		Example: `  balsamvane status --addr 10.20.0.1:9090,10.20.1.1:9090,10.20.2.1:9090
  balsamvane status --addr 10.20.0.1:9090 --output json`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return runStatus(c.Context(), c.OutOrStdout(), format, newAdminClient(timeout), addresses)
		},
	}
	c.Flags().StringSliceVar(&addresses, "addr", nil, "admin addresses of the balancers, separated by commas")
	c.Flags().DurationVar(&timeout, "timeout", 3*time.Second, "longest wait for one balancer")
	format.addTo(c)
	requireFlags(c, "addr")
	return c
}

func runStatus(ctx context.Context, w io.Writer, format outputFormat, client *adminClient, addresses []string) error {
	mapper := iter.Mapper[string, processStatus]{MaxGoroutines: 32}
	report := statusReport{Processes: mapper.Map(addresses, func(a *string) processStatus {
		return fetchStatus(ctx, client, *a)
	})}
	report.Disagreements = disagreements(report.Processes)
	if format == outputJSON {
		if err := printJSON(w, report); err != nil {
			return err
		}
	} else if err := printStatus(w, report); err != nil {
		return err
	}
	if len(report.Disagreements) > 0 {
		return errFindings
	}
	return nil
}

func fetchStatus(ctx context.Context, client *adminClient, address string) processStatus {
	p := processStatus{Address: address}
	body, err := client.get(ctx, address, "/status", nil)
	if err != nil {
		p.Error = err.Error()
		return p
	}
	var s statusReply
	if err := json.Unmarshal(body, &s); err != nil {
		p.Error = "the status cannot be read: " + err.Error()
		return p
	}
	p.Status = &s
	return p
}

// maxPlatformAge is the age of a balancer's last platform contact above which
// status reports it. It is the time without a contact of any balancer after
// which those that do not watch the platform start to read it themselves
// (bvmember.Options.PlatformReadAfter).
const maxPlatformAge = 60 * time.Second

// disagreements compares the processes of each group and lists those that do
// not answer.
func disagreements(processes []processStatus) []string {
	out := []string{}
	groups := map[string][]*statusReply{}
	for _, p := range processes {
		if p.Status == nil {
			out = append(out, p.Address+" does not answer: "+p.Error)
			continue
		}
		groups[p.Status.Group] = append(groups[p.Status.Group], p.Status)
	}
	for _, g := range slices.Sorted(maps.Keys(groups)) {
		out = append(out, compareGroup(g, groups[g])...)
	}
	return out
}

func compareGroup(group string, all []*statusReply) []string {
	var out []string
	prefix := ""
	if group != "" {
		prefix = "group " + group + ": "
	}
	newest := slices.MaxFunc(all, func(a, b *statusReply) int { return cmp.Compare(a.Revision, b.Revision) }).Revision
	hashes := map[string][]string{}
	for _, s := range all {
		if s.Revision != newest {
			out = append(out, fmt.Sprintf("%s%s has revision %d, others have %d", prefix, s.Node, s.Revision, newest))
		} else if s.Hash != "" {
			hashes[s.Hash] = append(hashes[s.Hash], s.Node)
		}
		if s.PlatformAge == nil {
			out = append(out, fmt.Sprintf("%s%s has had no platform contact yet", prefix, s.Node))
		} else if time.Duration(*s.PlatformAge) > maxPlatformAge {
			out = append(out, fmt.Sprintf("%s%s has had no fresh platform contact for %s", prefix, s.Node, s.PlatformAge))
		}
		for _, d := range s.Dead {
			if slices.ContainsFunc(all, func(o *statusReply) bool { return o.Node == d }) {
				out = append(out, fmt.Sprintf("%s%s considers %s dead, which answers here", prefix, s.Node, d))
			}
		}
	}
	if len(hashes) > 1 {
		var nodeLists []string
		for _, h := range slices.Sorted(maps.Keys(hashes)) {
			nodeLists = append(nodeLists, strings.Join(hashes[h], " "))
		}
		out = append(out, fmt.Sprintf("%srevision %d has different content on %s", prefix, newest, strings.Join(nodeLists, " and ")))
	}
	return out
}

func printStatus(w io.Writer, r statusReport) error {
	t := newTable("ADDRESS", "NODE", "GROUP", "ZONE", "STATE", "REVISION", "BASE", "PICTURE AGE", "PLATFORM AGE", "FLOWS", "DEAD PEERS")
	for _, p := range r.Processes {
		s := p.Status
		if s == nil {
			t.row(p.Address, "-", "-", "-", "no answer", "-", "-", "-", "-", "-", "-")
			continue
		}
		t.row(p.Address, s.Node, orDash(s.Group), orDash(s.Zone), s.State, s.Revision, s.BaseRevision,
			valueOrDash(s.ConfigAge), valueOrDash(s.PlatformAge), valueOrDash(s.Flows), orDash(strings.Join(s.Dead, " ")))
	}
	if err := t.print(w); err != nil {
		return err
	}
	text := shortages(r.Processes) + "\nall agree\n"
	if len(r.Disagreements) > 0 {
		text = shortages(r.Processes) + "\ndisagreements:\n  " + strings.Join(r.Disagreements, "\n  ") + "\n"
	}
	_, err := io.WriteString(w, text)
	return eris.Wrap(err, "write output")
}

// shortages lists the services that are short of capacity, and where. They are no
// disagreement: each balancer decides from its own requests.
func shortages(processes []processStatus) string {
	var lines []string
	for _, p := range processes {
		if p.Status == nil {
			continue
		}
		for _, s := range p.Status.ShortOfCapacity {
			lines = append(lines, fmt.Sprintf("  %s on %s: %d requests wait with a limit of %.1f, answers take %s\n", s.Service, p.Status.Node, s.InFlight, s.Limit, s.Latency))
		}
	}
	if len(lines) == 0 {
		return ""
	}
	return "\nshort of capacity:\n" + strings.Join(lines, "")
}

func orDash(s string) string { return cmp.Or(s, "-") }

// valueOrDash formats a value that may be absent.
func valueOrDash[T any](v *T) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprint(*v)
}
