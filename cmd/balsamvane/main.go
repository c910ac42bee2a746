// Command balsamvane is a layer-4 load balancer and the tools of its
// operators.
//
// # Usage
//
//	balsamvane run --settings settings.yaml
//	balsamvane run --print-settings
//	balsamvane version
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	if err := newRoot().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// newRoot returns the command line with all subcommands.
func newRoot() *cobra.Command {
	c := &cobra.Command{
		Use:           "balsamvane",
		Short:         "Layer-4 load balancer that keeps established flows in place",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	c.AddCommand(newRun(), newVersion())
	return c
}
