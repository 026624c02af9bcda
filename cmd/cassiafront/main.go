// Command cassiafront runs one VM of the query tier on the users' platform.
package main

import (
	"cmp"
	"context"
	"fmt"
	stdlog "log"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiagateway"
	"cassiasaddle/io/cassiaaggregate"
	"cassiasaddle/io/cassiafollow"
	"cassiasaddle/io/cassiagate"
	"cassiasaddle/io/cassialog"
	"cassiasaddle/io/cassiapeer"
	"cassiasaddle/io/cassiapool"
	"cassiasaddle/io/cassiastore"
	"cassiasaddle/io/cassiatls"
	cassiaplatform "cassiasaddle/platform"
)

const (
	// stopNotice is how long after SIGTERM callers are still taken: the platform asks for readiness once a second and needs
	// two misses.
	stopNotice = 3 * time.Second
	// stopMargin is how long before SIGKILL the process is gone.
	stopMargin = 300 * time.Millisecond
	// storeTimeout bounds a call to the store beyond the time that it may wait.
	storeTimeout = 900 * time.Millisecond
	// memoryShare is the part of the VM's memory that the heap may grow to before it is collected more often.
	memoryShare = 0.5
)

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
	output := cassialog.NewBounded(os.Stdout)
	defer output.Close() //nolint:errcheck // nothing is left to tell it to
	logger, err := cassialog.New(output, c.String("log-level"))
	if err != nil {
		return eris.Wrap(err, "log-level")
	}
	logger = log.With(logger, "vm", settings.VM, "availabilityZone", settings.Zone)
	stdlog.SetFlags(0)
	stdlog.SetOutput(log.NewStdlibAdapter(level.Debug(logger)))
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	return serve(ctx, settings, logger, c.String("metrics-port"), c.String("announce"))
}

// serve runs the VM until ctx is done; other VMs reach it by an announced address, or where it listens if that is empty.
func serve(ctx context.Context, settings cassiaplatform.Settings, logger log.Logger, metricsPort, announced string) error {
	metrics := cassialog.NewMetrics()
	defer metrics.Close() //nolint:errcheck // nothing reads them any more
	level.Info(logger).Log("event", "starting", "store", settings.StoreAddress, "callers", settings.CallerAddress)
	headers := cassiaplatform.Headers()
	opened := metrics.Scope.Counter("connections_opened")
	pool := &cassiapool.Pool{Headers: headers.Headers, Opened: func() { opened.Inc(1) }}
	gate := cassiagate.NewGate(pool, cassiagateway.Settings{Retries: settings.Retries,
		Name: settings.VM, Zone: settings.Zone}, cassiagate.NewReport(logger, metrics.Scope))
	client := cassiastore.NewClient(settings.StoreAddress, "", metrics.Scope)
	client.CallTimeout = storeTimeout
	store := &cassiaplatform.Store{Client: client, Ignored: func(key string, err error) {
		level.Warn(logger).Log("event", "entryIgnored", "key", key, "error", err)
	}}
	config := cassiagate.ServerConfig{Address: settings.CallerAddress, ReadyAddress: settings.ReadyAddress,
		ReadyPath: cassiaplatform.ReadyPath, Headers: headers, StopAfter: stopNotice, Grace: settings.StopGrace - stopMargin}
	if metricsPort != "" {
		config.MetricsAddress, config.MetricsPath = net.JoinHostPort(settings.IP, metricsPort), "/metrics"
		config.Metrics = metrics.Handler
	}
	self := cassiafollow.VM{Name: settings.VM, Zone: settings.Zone, PeerAddress: cmp.Or(announced, settings.PeerAddress),
		Cores: settings.Cores}
	p := program{settings: settings, self: self, config: config, gate: gate, pool: pool, store: store, logger: logger, scope: metrics.Scope}
	return p.run(ctx)
}

// program is what one process runs.
type program struct {
	settings cassiaplatform.Settings
	// self is this VM as others see it.
	self   cassiafollow.VM
	config cassiagate.ServerConfig
	gate   *cassiagate.Gate
	pool   *cassiapool.Pool
	store  *cassiaplatform.Store
	logger log.Logger
	scope  tally.Scope
}

// run runs the server, and what it needs until the server has stopped.
func (p *program) run(ctx context.Context) error {
	until, stop := context.WithCancel(context.WithoutCancel(ctx))
	watchers, journal := cassiafollow.NewWatchers(p.self, p.event), &cassiafollow.Journal{}
	follower := cassiafollow.NewFollower(p.store, p.gate, watchers, journal, p.event)
	p.gate.Refresh = follower.Refresh
	var group errgroup.Group
	group.Go(func() error { return follower.Run(until) })
	group.Go(func() error {
		return cassiafollow.Attend(ctx, p.store, p.self, max(cassiafollow.PresenceLifetime, p.settings.MinLease), p.event)
	})
	group.Go(func() error { return p.serveReloads(until) })
	group.Go(func() error { return p.servePeers(until, watchers, journal) })
	group.Go(func() error {
		defer stop()
		return cassiagate.NewServer(p.config, p.gate).Run(ctx)
	})
	return group.Wait()
}

func (p *program) event(name string, fields ...any) {
	level.Info(p.logger).Log(append([]any{"event", name}, fields...)...)
}

// serveReloads notes SIGHUP; what can change in the settings file takes a restart.
func (p *program) serveReloads(ctx context.Context) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	for {
		select {
		case <-hangups:
			p.event("reload")
		case <-ctx.Done():
			return nil
		}
	}
}

// servePeers takes batches of other VMs, and has them send those of this VM, once the key that all share is known.
func (p *program) servePeers(ctx context.Context, watchers *cassiafollow.Watchers, journal *cassiafollow.Journal) error {
	value, err := cassiafollow.EnsureShared(ctx, p.store, authorityKey, newAuthority, p.event)
	if err != nil {
		return nil //nolint:nilerr // the process stops
	}
	authority, err := decodeAuthority(value)
	if err != nil {
		p.event("peersRefused", "error", err)
		return nil
	}
	credentials, err := cassiatls.Issued(authority, p.settings.VM, cassiatls.WithLogger(p.logger), cassiatls.WithMetrics(p.scope))
	if err != nil {
		return err
	}
	handler := &cassiaaggregate.Handler{Aggregator: cassiaaggregate.NewAggregator(p.pool, p.gate, p.settings.Retries),
		Watches: &cassiafollow.WatchServer{Journal: journal}}
	node, err := cassiapeer.Listen(cassiapeer.Config{Self: p.settings.VM, Address: p.settings.PeerAddress, Identity: credentials,
		Resolver: p.gate, Handler: handler, Logger: p.logger, Scope: p.scope})
	if err != nil {
		return err
	}
	handler.Paths = cassiaaggregate.NewPaths(node, p.gate.AttemptsEnded)
	node.Serve()
	p.gate.UsePaths(handler.Paths)
	watchers.Use(node)
	p.event("peersServed", "address", p.settings.PeerAddress)
	<-ctx.Done()
	return node.Close()
}
