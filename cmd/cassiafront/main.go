// Command cassiafront runs one VM that serves routes over HTTP (package cassiagate) on the platform of package
// cassiaplatform in platform/. Command cassiasaddle runs the other kind of VM, which serves fronts (package
// cassiaserver).
package main

import (
	"context"
	"fmt"
	stdlog "log"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"cassiasaddle/io/cassialog"
	cassiaplatform "cassiasaddle/platform"
)

const (
	// memoryLimitShare is the share of the VM's memory that is the soft memory limit of the Go runtime. Near the limit, garbage
	// is collected more often.
	memoryLimitShare = 0.5
	// smallHeapShare is the share of the VM's memory that a heap with little live data may reach before garbage is collected. A
	// VM with a fraction of a core stands still for a noticeable part of a request's time during a collection.
	smallHeapShare = 1.0 / 12
	// runtimeMinHeap is the size at which the runtime first collects garbage at 100 percent; it is in proportion to the percent.
	runtimeMinHeap = 4 << 20
)

// limitMemory sets the soft memory limit and how much the heap may grow between collections, for a VM with so many bytes of memory.
func limitMemory(bytes int64) {
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(bytes)))
	if percent := int(100 * smallHeapShare * float64(bytes) / runtimeMinHeap); percent > 100 {
		debug.SetGCPercent(percent)
	}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := newApp().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "cassiafront: "+err.Error())
		os.Exit(1)
	}
}

func newApp() *cli.Command {
	return &cli.Command{
		Name:  "cassiafront",
		Usage: "serve callers on one VM of the platform until SIGTERM, then finish what runs and exit",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "the process's settings `FILE`",
				Sources: cli.EnvVars(cassiaplatform.SettingsVariable)},
			&cli.StringFlag{Name: "metrics-port", Usage: "the `PORT` of the metrics page; none when empty"},
			&cli.StringFlag{Name: "announce",
				Usage: "the `ADDRESS` by which other VMs reach this one, when it differs from the one it listens at"},
			&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error", Value: "info"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	path := c.String("settings")
	settings, err := cassiaplatform.ReadSettings(path)
	if err != nil || c.Bool("check") {
		return err
	}
	cassialog.IgnoreLostReader()
	output := cassialog.NewBounded(os.Stdout)
	defer output.Close() //nolint:errcheck // there is nowhere left to log the error
	logger, err := cassialog.New(output, c.String("log-level"))
	if err != nil {
		return eris.Wrap(err, "log-level")
	}
	logger = log.With(logger, "vm", settings.VM, "availabilityZone", settings.Zone)
	stdlog.SetFlags(0)
	stdlog.SetOutput(log.NewStdlibAdapter(level.Debug(logger)))
	limitMemory(settings.MemoryBytes)
	p := newProgram(settings, options{settingsFile: path, metricsPort: c.String("metrics-port"), advertisedAddress: c.String("announce")}, logger)
	defer p.metrics.Close() //nolint:errcheck // the process exits and nothing reads the metrics any more
	return p.run(ctx)
}
