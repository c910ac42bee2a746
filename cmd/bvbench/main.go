// Command bvbench measures the balancer's decisions and a group's control
// traffic, and prints one table with a line for each case. Times depend on the
// machine; all other values are the same in every run.
//
// # Usage
//
//	bvbench table
//	bvbench slopes
package main

import (
	"os"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
)

func main() {
	c := &cobra.Command{
		Use: "bvbench", Short: "Measure the balancer and a group",
		SilenceUsage: true, SilenceErrors: true,
	}
	c.AddCommand(newTableCommand(), newSlopesCommand())
	if err := c.Execute(); err != nil {
		zap.Must(zap.NewDevelopment()).Error("bvbench failed", zap.Error(err))
		os.Exit(1)
	}
}
