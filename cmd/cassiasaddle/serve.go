package main

import (
	"context"
	stdlog "log"
	"os"
	"runtime/debug"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"cassiasaddle/io/cassialog"
	"cassiasaddle/io/cassiaserver"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one VM until SIGTERM, then finish what runs and exit",
		Description: "Reads addresses, availability zone, platform address and key files from the configuration;\n" +
			"all other settings come from the shared tree.\n" +
			"Exit status: 0 after a planned stop, 1 when the VM could not start or failed.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "the VM's configuration `FILE`", Required: true},
			&cli.Int64Flag{Name: "memory-mb", Usage: "the memory in `MB` that the process may use", Value: cassiaserver.DefaultMemoryBytes >> 20},
			&cli.IntFlag{Name: "max-fds", Usage: "the `NUMBER` of file descriptors that the process may hold", Value: cassiaserver.DefaultMaxDescriptors},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c.String("config"), c.Int64("memory-mb")<<20, c.Int("max-fds"))
		},
	}
}

// memoryLimitShare is the share of the memory that is the soft memory limit of the Go runtime. Near it, garbage is collected more often.
const memoryLimitShare = 0.5

func serve(ctx context.Context, path string, memory int64, maxDescriptors int) error {
	config, err := cassiaserver.ReadConfig(path)
	if err != nil {
		return err
	}
	cassialog.IgnoreLostReader()
	output := cassialog.NewBounded(os.Stdout)
	defer output.Close() //nolint:errcheck // there is nowhere left to log the error
	logger, err := cassialog.New(output, config.LogLevel)
	if err != nil {
		return eris.Wrapf(err, "%s: logLevel", path)
	}
	logger = log.With(logger, "vm", config.Name, "availabilityZone", config.AvailabilityZone)
	stdlog.SetFlags(0)
	stdlog.SetOutput(log.NewStdlibAdapter(level.Debug(logger)))
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(memory)))
	level.Info(logger).Log("msg", "starting", "version", version)
	if err := cassiaserver.Run(ctx, config, cassiaserver.WithLogger(logger), cassiaserver.WithMemory(memory), cassiaserver.WithMaxDescriptors(maxDescriptors)); err != nil {
		return err
	}
	level.Info(logger).Log("msg", "stopped")
	return nil
}
