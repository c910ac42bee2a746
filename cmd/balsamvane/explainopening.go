package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"strings"
	"time"

	"balsamvane/core/bvtoken"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

// openingQuery asks a balancer where an opening would go.
type openingQuery struct {
	address, destination, caller string
	timeout                      time.Duration
	format                       outputFormat
}

// addTo adds the flags of the query to a command that has --flow too.
func (q *openingQuery) addTo(c *cobra.Command) {
	c.Flags().StringVar(&q.address, "addr", "", "admin address of the balancer")
	c.Flags().StringVar(&q.destination, "destination", "", "address and port that the opening goes to, such as 198.51.100.1:8443")
	c.Flags().StringVar(&q.caller, "caller", "", "address and port of the caller, such as 203.0.113.7:51234")
	c.Flags().DurationVar(&q.timeout, "timeout", 10*time.Second, "longest wait for the balancer")
	q.format.addTo(c)
	c.MarkFlagsRequiredTogether("addr", "destination", "caller")
	for _, n := range []string{"addr", "destination", "caller", "timeout", "output"} {
		c.MarkFlagsMutuallyExclusive("flow", n)
	}
}

// openingReply is a balancer's answer to GET /explain.
type openingReply struct {
	Node  string `json:"node"`
	Ready bool   `json:"ready"`
	bvtoken.Explanation
}

func (q *openingQuery) run(ctx context.Context, w io.Writer, files []string) error {
	if len(files) > 0 {
		return eris.Errorf("%s: files of logs are only read with --flow", files[0])
	}
	body, err := newAdminClient(q.timeout).get(ctx, q.address, "/explain", url.Values{"destination": {q.destination}, "caller": {q.caller}})
	if err != nil {
		return err
	}
	if q.format == outputJSON {
		_, err := w.Write(append(body, '\n'))
		return eris.Wrap(err, "write output")
	}
	var r openingReply
	if err := json.Unmarshal(body, &r); err != nil {
		return eris.Wrapf(err, "read the answer of %s", q.address)
	}
	return r.print(w)
}

// print prints the outcome as a sentence, then the candidates and the ages of the
// inputs as tables.
func (r *openingReply) print(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "%s\n%s\n", r.outcome(), r.conditions()); err != nil {
		return eris.Wrap(err, "write output")
	}
	if len(r.Candidates) > 0 {
		if err := r.printCandidates(w); err != nil {
			return err
		}
	}
	t := newTable("INPUT", "AGE", "STATE")
	t.row("catalog", orDash(r.Catalog.Age), r.catalogState())
	if r.Catalog.WatermarkAge != "" {
		t.row("changes of the store", r.Catalog.WatermarkAge, "all known up to this age")
	}
	for _, c := range r.Candidates {
		t.row(fmt.Sprintf("latency of %d", c.ID), orDash(c.LatencyAge), cmp.Or(c.Latency, "not measured"))
	}
	return t.print(w)
}

// outcome returns the sentence on the decision.
func (r *openingReply) outcome() string {
	s := fmt.Sprintf("An opening from %s to %s now: %s", r.Caller, r.Destination, r.Verdict)
	if r.Upstream != 0 {
		s += fmt.Sprintf(" to upstream %d (%s)", r.Upstream, r.Address)
	}
	s += fmt.Sprintf(", since %s.", r.Explanation.Explanation)
	if r.RepeatedAt != 0 {
		s += fmt.Sprintf(" The same opening already waits for an answer of upstream %d.", r.RepeatedAt)
	}
	if !r.Ready {
		s += fmt.Sprintf(" The platform should send it to another balancer, since %s is not ready.", r.Node)
	}
	return s
}

// conditions describes the balancer, the route, the service and the admission.
func (r *openingReply) conditions() string {
	lines := []string{fmt.Sprintf("Balancer %s in %s.", r.Node, r.Zone)}
	if r.Route != nil {
		lines = append(lines, r.describeRoute())
	}
	if r.Service != "" {
		lines = append(lines, fmt.Sprintf("Service %s: %s; mean latency %s.", r.Service, describeUpstreams(r.Upstreams), cmp.Or(r.MeanLatency, "not measured")))
	}
	if r.Admission.Verdict != "" {
		lines = append(lines, strings.TrimSuffix(fmt.Sprintf("Admission: %s, %s", r.Admission.Verdict, r.Admission.Status), ", ")+".")
	}
	return strings.Join(lines, "\n") + "\n"
}

func (r *openingReply) describeRoute() string {
	kind := "not idempotent"
	if r.Route.Idempotent {
		kind = "idempotent"
	}
	priority := "lowest"
	if r.Route.Priority != nil {
		priority = fmt.Sprint(*r.Route.Priority)
	}
	var services []string
	for _, b := range r.Route.Services {
		services = append(services, fmt.Sprintf("%s (weight %d)", b.Service, b.Weight))
	}
	return fmt.Sprintf("Route %s: %s, objective %s, timeout %s, priority %s; services: %s.", cmp.Or(r.Route.Name, "without a name"), kind,
		cmp.Or(r.Route.Objective, "none"), cmp.Or(r.Route.Timeout, "unknown"), priority, strings.Join(services, ", "))
}

// describeUpstreams lists the counts of upstreams that are not zero.
func describeUpstreams(n bvtoken.UpstreamCounts) string {
	s := fmt.Sprintf("%d usable", n.Usable)
	for _, x := range []struct {
		n     int
		state string
	}{
		{n.Unresponsive, "unresponsive"},
		{n.ColdLimited, "cold with their budget used up"},
		{n.Draining, "draining"},
		{n.OutOfService, "in a zone out of service"},
		{n.Unavailable, "unreadable or with a token of another one"},
	} {
		if x.n > 0 {
			s += fmt.Sprintf(", %d %s", x.n, x.state)
		}
	}
	return s
}

func (r *openingReply) printCandidates(w io.Writer) error {
	t := newTable("UPSTREAM", "ZONE", "ADDRESS", "STATE", "COST", "LOAD", "OPENING", "OPEN", "SLOTS", "LATENCY", "NOTES")
	for _, c := range r.Candidates {
		t.row(c.ID, c.Zone, c.Address, c.State, fmt.Sprintf("%.3f", c.Cost), fmt.Sprintf("%.2f", c.Load), c.Opening, c.Open, c.Slots,
			orDash(c.Latency), orDash(strings.Join(candidateNotes(c), ", ")))
	}
	if err := t.print(w); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%d of the %d upstreams that were compared, by cost.\n\n", len(r.Candidates), r.Compared)
	return eris.Wrap(err, "write output")
}

// candidateNotes returns what raises the cost of a candidate besides its load.
func candidateNotes(c bvtoken.Candidate) []string {
	var out []string
	if !c.InZone {
		out = append(out, "other zone")
	}
	if c.ZoneDown {
		out = append(out, "zone down")
	}
	if c.Cold {
		out = append(out, "cold")
	}
	if c.LatencyExcess > 0 {
		out = append(out, fmt.Sprintf("%.0f%% slower than the service", 100*c.LatencyExcess))
	}
	if c.Awaited {
		out = append(out, "has not answered this caller's last openings")
	}
	return out
}

func (r *openingReply) catalogState() string {
	s := fmt.Sprintf("version %d, revision %d of era %d", r.Catalog.Version, r.Catalog.Revision, r.Catalog.Era)
	if !r.Catalog.Complete {
		s += ", not complete"
	}
	if !r.Catalog.GracePeriodOver {
		s += ", upstreams may still have to register"
	}
	return s
}
