// Command balsamvane is a layer-4 load balancer and its operators' tools.
//
// # Usage
//
//	balsamvane run --settings settings.yaml
//	balsamvane run --print-settings
//	balsamvane import --register register.csv --rules rules.yaml -o published
//	balsamvane check --settings settings.yaml --published published
//	balsamvane status --addr 10.20.0.1:7074,10.20.0.2:7074
//	balsamvane explain --addr 10.20.0.1:7074 --destination 198.51.100.1:8443 --caller 203.0.113.7:51234
//	balsamvane version
package main

import (
	"fmt"
	"os"

	"balsamvane/core/bvfinding"
	"balsamvane/io/bvsettings"

	"github.com/spf13/cobra"
)

func main() {
	err := newRoot().Execute()
	if exitStatus(err) == exitFailed {
		fmt.Fprintln(os.Stderr, "balsamvane: "+err.Error())
	}
	os.Exit(exitStatus(err))
}

// newRoot returns the root command with all subcommands.
func newRoot() *cobra.Command {
	c := &cobra.Command{
		Use:           "balsamvane",
		Short:         "Layer-4 load balancer that keeps established flows in place",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	c.AddCommand(newRun(), newVersion(), newImportCommand(), newDiffCommand(), newDumpCommand(), newStatusCommand(), newExplainCommand(),
		newCheckCommand(func(path string) bvfinding.List {
			_, findings := bvsettings.Load(path)
			return findings
		}))
	return c
}
