package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"balsamvane/core/bvfinding"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

// Exit statuses of the commands.
const (
	exitClean    = 0
	exitFindings = 1
	exitFailed   = 2
)

// errFindings is returned by a command that ran, found problems and has
// printed them already.
var errFindings = errors.New("problems found")

// exitStatus returns the exit status for the result of a command.
func exitStatus(err error) int {
	switch {
	case err == nil:
		return exitClean
	case errors.Is(err, errFindings):
		return exitFindings
	default:
		return exitFailed
	}
}

// outputFormat is the value of --output.
type outputFormat string

const (
	outputText outputFormat = "text"
	outputJSON outputFormat = "json"
)

// String implements pflag.Value.
func (f *outputFormat) String() string { return string(*f) }

// Set implements pflag.Value.
func (f *outputFormat) Set(s string) error {
	if s != string(outputText) && s != string(outputJSON) {
		return errors.New("write text or json")
	}
	*f = outputFormat(s)
	return nil
}

// Type implements pflag.Value.
func (f *outputFormat) Type() string { return "text|json" }

func (f *outputFormat) addTo(c *cobra.Command) {
	*f = outputText
	c.Flags().Var(f, "output", "output for people (text) or for programs (json)")
	_ = c.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"text", "json"}, cobra.ShellCompDirectiveNoFileComp))
}

// completeFiles sets the shell completion of the file and directory flags.
func completeFiles(c *cobra.Command) {
	for n, kinds := range map[string][]string{"register": {"csv"}, "rules": {"yaml", "yml"}, "settings": {"yaml", "yml"}} {
		if c.Flags().Lookup(n) != nil {
			_ = c.MarkFlagFilename(n, kinds...)
		}
	}
	for _, n := range []string{"out", "published"} {
		if c.Flags().Lookup(n) != nil {
			_ = c.MarkFlagDirname(n)
		}
	}
}

// requireFlags marks flags as required.
func requireFlags(c *cobra.Command, names ...string) {
	for _, n := range names {
		if err := c.MarkFlagRequired(n); err != nil {
			panic(err) // The flag does not exist, which is a bug in the command.
		}
	}
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return eris.Wrap(e.Encode(v), "write output")
}

// printFindings prints all findings and returns errFindings, or nil if there
// are none.
func printFindings(w io.Writer, format outputFormat, l bvfinding.List) error {
	findings := l.Sorted()
	if format == outputJSON {
		if findings == nil {
			findings = []bvfinding.Finding{}
		}
		if err := printJSON(w, map[string]any{"findings": findings}); err != nil {
			return err
		}
	} else if err := printFindingLines(w, findings); err != nil {
		return err
	}
	if len(findings) > 0 {
		return errFindings
	}
	return nil
}

func printFindingLines(w io.Writer, findings []bvfinding.Finding) error {
	var b strings.Builder
	for _, f := range findings {
		fmt.Fprintf(&b, "%s: %s\n", f.Place, f.Problem)
		if f.Remedy != "" {
			fmt.Fprintf(&b, "    %s\n", f.Remedy)
		}
	}
	switch len(findings) {
	case 0:
		b.WriteString("no problems found\n")
	case 1:
		b.WriteString("1 problem found\n")
	default:
		fmt.Fprintf(&b, "%d problems found\n", len(findings))
	}
	_, err := io.WriteString(w, b.String())
	return eris.Wrap(err, "write output")
}

// table prints aligned columns.
type table struct {
	lines []string
}

func newTable(titles ...string) *table {
	return &table{lines: []string{strings.Join(titles, "\t")}}
}

func (t *table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	t.lines = append(t.lines, strings.Join(texts, "\t"))
}

func (t *table) print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for _, l := range t.lines {
		if _, err := fmt.Fprintln(tw, l); err != nil {
			return eris.Wrap(err, "write output")
		}
	}
	return eris.Wrap(tw.Flush(), "write output")
}
