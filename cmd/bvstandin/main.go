// Command bvstandin runs the stand-ins for the systems around a balancer in
// tests, each as a process of its own, and helpers of the demo script.
//
// # Usage
//
//	bvstandin platform --directory DIR --listen IP:PORT --control IP:PORT
//	bvstandin upstream --name up-1 --service bench --vni 101 …
//	bvstandin --help
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := root().ExecuteContext(ctx); err != nil {
		zap.Must(zap.NewDevelopment()).Error("bvstandin failed", zap.String("error", err.Error()))
		os.Exit(1)
	}
}

func root() *cobra.Command {
	c := &cobra.Command{
		Use: "bvstandin", Short: "Stand-ins for the systems around a balancer",
		SilenceUsage: true, SilenceErrors: true,
	}
	c.AddCommand(platform(), fabric(), upstream(), caller(), relay(), blast(), register(), publish(), await(), post(), quiet(), verdict())
	return c
}
