package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// newVersion returns the version command.
func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of this build",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(c.OutOrStdout(), version())
			return err
		},
	}
}

// version returns the module version, the Go version and the source revision.
// The revision is missing if the build did not record it.
func version() string {
	b, ok := debug.ReadBuildInfo()
	if !ok {
		return "balsamvane (unknown version)"
	}
	out := "balsamvane " + b.Main.Version + " " + b.GoVersion
	for _, s := range b.Settings {
		if s.Key == "vcs.revision" {
			out += " " + s.Value
		}
	}
	return out
}
