// Command cassiasaddle runs a VM of the query tier, and contains the tools of its operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// version is set at build time with -ldflags "-X main.version=...".
var version = "development"

// Exit statuses that all commands share. The help of a command lists its other ones.
const (
	exitOK     = 0
	exitFailed = 1
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	status := run(ctx, os.Args)
	stop()
	os.Exit(status)
}

func run(ctx context.Context, arguments []string) int {
	err := newApp().Run(ctx, arguments)
	if err == nil {
		return exitOK
	}
	if message := err.Error(); message != "" {
		fmt.Fprintln(os.Stderr, "cassiasaddle: "+message)
	}
	var coder cli.ExitCoder
	if errors.As(err, &coder) {
		return coder.ExitCode()
	}
	return exitFailed
}

func newApp() *cli.Command {
	return &cli.Command{
		Name:           "cassiasaddle",
		Usage:          "a query tier over many shards",
		Version:        version,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			serveCommand(), settingsCommand(), statusCommand(), queryCommand(), explainCommand(), keysCommand(), benchCommand(), demoCommand(), versionCommand(),
		},
	}
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintln(c.Root().Writer, version)
			return err
		},
	}
}
