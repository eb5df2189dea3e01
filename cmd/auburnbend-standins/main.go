// Command auburnbend-standins serves stand-ins of the platform on one address, for tests
// and experiments.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/auburnbend/auburnbend/standin/platform"
)

// shutdownTimeout limits how long running calls may take after a signal to stop.
const shutdownTimeout = 3 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var cfg platform.Config
	var servers backends
	listen := "127.0.0.1:7400"
	cmd := &cobra.Command{
		Use:   "auburnbend-standins",
		Short: "Serve stand-ins of the platform for tests and experiments",
		Long: `Serve stand-ins of the platform: table service, object store, origin, weight
store and instance list. Each has its fault switches at <path>/faults. With
--engine and --service the process also serves stand-ins of backend servers.`,
		Example: `  auburnbend-standins --listen 127.0.0.1:7400
  curl -X PUT -d '{"down":true}' http://127.0.0.1:7400/table/faults`,
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := servers.start(); err != nil {
				return err
			}
			defer servers.close()
			return serve(cmd, listen, cfg)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", listen, "IP address and port to listen on; port 0 chooses a free port")
	flags.Int64Var(&cfg.OriginLinkRate, "origin-link", 0, "bandwidth of the origin's link in bytes per second; 0 is unlimited")
	flags.Int64Var(&cfg.WeightStoreRate, "weight-store-rate", 0, "rate limit of the weight store in bytes per second; 0 is unlimited")
	flags.StringSliceVar(&servers.engines, "engine", nil, "IP address and port of a model engine to serve; may be repeated")
	flags.StringSliceVar(&servers.services, "service", nil, "IP address and port of a plain service to serve; may be repeated")
	flags.DurationVar(&cfg.InstanceListLag, "instance-lag", 0, "delay until the instance list shows a change")
	return cmd
}

func serve(cmd *cobra.Command, listen string, cfg platform.Config) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(cmd.OutOrStdout(), "listening on http://%s\n", listener.Addr()); err != nil {
		return err
	}
	server := &http.Server{Handler: platform.New(cfg).Handler(), ReadHeaderTimeout: shutdownTimeout}
	go func() {
		<-cmd.Context().Done()
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
	}()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}
