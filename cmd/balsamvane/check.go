package main

import (
	"io"

	"balsamvane/core/bvfinding"
	"balsamvane/core/bvregister"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

// checkInput names the files to check; an empty name is not checked.
type checkInput struct {
	settings, register, rules, published string
}

// newCheckCommand returns the check command. loadSettings reads the settings
// file of a balancer and returns its problems.
func newCheckCommand(loadSettings func(path string) bvfinding.List) *cobra.Command {
	var in checkInput
	var format outputFormat
	c := &cobra.Command{
		Use:   "check [--settings FILE] [--register FILE --rules FILE] [--published DIR]",
		Short: "List all problems of settings, register, rules and published values",
		Long: `Check lists all problems at once, each with file, line and column, what is
wrong and what to write instead. It changes nothing.

With --register, --rules and --published together it also reports whether the
next import into that directory would work.

Exit status: 0 no problems, 1 problems found, 2 the check could not run.`,
		Example: `  balsamvane check --settings balancer.yaml
  balsamvane check --register register.csv --rules rules.yaml --published published
  balsamvane check --register register.csv --output json`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return runCheck(c.OutOrStdout(), format, in, loadSettings)
		},
	}
	c.Flags().StringVar(&in.settings, "settings", "", "settings of a balancer (YAML)")
	c.Flags().StringVar(&in.register, "register", "", "asset register (CSV)")
	c.Flags().StringVar(&in.rules, "rules", "", "rules (YAML)")
	c.Flags().StringVar(&in.published, "published", "", "directory that import wrote")
	c.MarkFlagsOneRequired("settings", "register", "rules", "published")
	completeFiles(c)
	format.addTo(c)
	return c
}

func runCheck(w io.Writer, format outputFormat, in checkInput, loadSettings func(path string) bvfinding.List) error {
	var l bvfinding.List
	if in.settings != "" {
		if _, err := readSource(in.settings); err != nil {
			return err
		}
		l.Join(loadSettings(in.settings))
	}
	if in.rules != "" && in.register == "" {
		return eris.New("rules can only be checked against a register: give --register too")
	}
	if in.register != "" {
		findings, err := checkRegister(in)
		if err != nil {
			return err
		}
		l.Join(findings)
	}
	if in.published != "" {
		_, findings, err := readPublished(in.published)
		if err != nil {
			return err
		}
		l.Join(findings)
	}
	return printFindings(w, format, l)
}

// checkRegister runs the import without writing. Without rules, it checks the
// register under a placeholder group name.
func checkRegister(in checkInput) (bvfinding.List, error) {
	if in.rules != "" {
		_, l, err := importFiles(in.register, in.rules, in.published)
		return l, err
	}
	registerSource, err := readSource(in.register)
	if err != nil {
		return bvfinding.List{}, err
	}
	_, l := bvregister.Import(registerSource, bvregister.Source{Name: "rules", Content: []byte("group: check\n")}, nil)
	return l, nil
}
