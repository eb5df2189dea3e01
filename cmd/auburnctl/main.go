// Command auburnctl is the command-line client for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/auburnbend/auburnbend/operator/cli"
)

// version is set by the linker.
var version = "development"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.ReportError(os.Stderr, cli.New(version).ExecuteContext(ctx))
	stop()
	os.Exit(code)
}
