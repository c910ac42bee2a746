// Command balsamvane is a layer-4 load balancer and its tools. This file
// stands in for main.go of part/io until the merge.
package main

import (
	"fmt"
	"os"

	"balsamvane/core/bvfinding"

	"github.com/spf13/cobra"
)

func main() {
	c := &cobra.Command{Use: "balsamvane", SilenceUsage: true, SilenceErrors: true}
	c.AddCommand(newImportCommand(), newDiffCommand(), newDumpCommand(), newStatusCommand(),
		newCheckCommand(func(string) bvfinding.List { return bvfinding.List{} }))
	err := c.Execute()
	if exitStatus(err) == exitFailed {
		fmt.Fprintln(os.Stderr, "balsamvane: "+err.Error())
	}
	os.Exit(exitStatus(err))
}
