package main

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"net"
	"reflect"
	"strconv"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaclock"
	"cassiasaddle/core/cassiafreshness"
	"cassiasaddle/core/cassiagateway"
	"cassiasaddle/core/cassiaquota"
	"cassiasaddle/io/cassiaaggregate"
	"cassiasaddle/io/cassiabody"
	"cassiasaddle/io/cassiaboottime"
	"cassiasaddle/io/cassiacaller"
	"cassiasaddle/io/cassiafollow"
	"cassiasaddle/io/cassiaforward"
	"cassiasaddle/io/cassiagate"
	"cassiasaddle/io/cassiagrant"
	"cassiasaddle/io/cassiaguard"
	"cassiasaddle/io/cassiahangup"
	"cassiasaddle/io/cassialog"
	"cassiasaddle/io/cassiapeer"
	"cassiasaddle/io/cassiapool"
	"cassiasaddle/io/cassiastore"
	"cassiasaddle/io/cassiatls"
	cassiaplatform "cassiasaddle/platform"
)

const (
	// drainDelay is how long after SIGTERM requests are still accepted. The platform probes readiness once a second and
	// stops sending requests after two failed probes.
	drainDelay = 3 * time.Second
	// stopMargin is the time between the end of the process and SIGKILL.
	stopMargin = 300 * time.Millisecond
	// announceDelay is how long a VM waits at most for its first list before it puts itself on the list of VMs. The first list shows
	// whether an earlier process of the VM is still on it, which then goes on coordinating quotas at once.
	announceDelay = time.Second
	// storeTimeout bounds a call to the store. A call that waits for a change may take this longer than its wait.
	storeTimeout = 900 * time.Millisecond
	// crashNoticeTimeout bounds how long the result of an attempt that lost its target waits for the other VMs to know of
	// it. It allows for the dial of a connection between availability zones.
	crashNoticeTimeout = 40 * time.Millisecond
)

// options are the command-line flags of a VM.
type options struct {
	settingsFile string
	// metricsPort is the port of the metrics page; no metrics are served when it is empty.
	metricsPort string
	// advertisedAddress is the address at which other VMs reach this one. It defaults to the peer address that it listens at.
	advertisedAddress string
}

// program holds the components of one VM process.
type program struct {
	settings cassiaplatform.Settings
	options  options
	// self is the entry of this VM in the list of VMs.
	self   cassiafollow.VM
	config cassiagate.ServerConfig
	gate   *cassiagate.Gate
	guard  *cassiaguard.Guard
	// notifier gets its Node when the VMs can reach each other.
	notifier  *cassiaguard.Notifier
	announcer *cassiaguard.Announcer
	// forwards serves the requests that other VMs pass to this one.
	forwards *cassiaforward.Server
	pool     *cassiapool.Pool
	store    *cassiaplatform.Store
	// knowledge tells how old what this VM knows of the store may be.
	knowledge *cassiafreshness.Guard
	logger    log.Logger
	metrics   *cassialog.Metrics
}

// newProgram creates the components of a VM; run starts them.
func newProgram(settings cassiaplatform.Settings, o options, logger log.Logger) *program {
	metrics := cassialog.NewMetrics()
	level.Info(logger).Log("event", "starting", "store", settings.StoreAddress, "callers", settings.CallerAddress)
	headers := cassiaplatform.Headers()
	opened := metrics.Scope.Counter("connections_opened")
	statuses := statusReport{logger: logger, metrics: metrics}
	pool := &cassiapool.Pool{Headers: headers.Headers, OnConnectionOpened: func() { opened.Inc(1) }, OnMalformedStatus: statuses.fromTarget}
	guard := cassiaguard.NewGuard(cassiaclock.System{})
	knowledge := cassiafreshness.NewGuard(cassiaboottime.Clock{}, settings.RevocationDelay)
	gate := cassiagate.NewGate(pool, guard, cassiagateway.Settings{ExtraRequests: settings.ExtraRequests,
		Name: settings.VM, Zone: settings.Zone, Knowledge: knowledge, ZoneRegions: settings.ZoneRegions, ColdExcess: settings.ColdExcess,
		ColdSlack: settings.ColdSlack}, cassiagate.NewReport(logger, metrics.Scope))
	client := cassiastore.NewClient(settings.StoreAddress, "", metrics.Scope)
	client.CallTimeout, client.OnMalformedStatus = storeTimeout, statuses.fromStore
	store := &cassiaplatform.Store{Client: client, MinLease: settings.MinLease, OnInvalidConfig: func(key string, err error) {
		level.Warn(logger).Log("event", "entryIgnored", "key", key, "error", err)
	}}
	limits := cassiacaller.LimitsFor(settings.MemoryBytes, settings.MaxDescriptors)
	gate.PeerBodies = cassiabody.NewShare(limits.PeerBytes)
	forwards := cassiaforward.NewServer(gate.ForwardServer(headers))
	config := cassiagate.ServerConfig{Intake: cassiacaller.NewIntake(limits, logger, metrics.Scope), Forwards: forwards, Address: settings.CallerAddress, ReadyAddress: settings.ReadyAddress,
		ReadyPath: cassiaplatform.ReadyPath, Headers: headers, ServeAfterStop: drainDelay, Grace: settings.StopGrace - stopMargin}
	if o.metricsPort != "" {
		config.MetricsAddress, config.MetricsPath = net.JoinHostPort(settings.IP, o.metricsPort), "/metrics"
		config.Metrics = metrics.Handler
	}
	self := cassiafollow.VM{Name: settings.VM, Zone: settings.Zone, PeerAddress: cmp.Or(o.advertisedAddress, settings.PeerAddress),
		Cores: settings.Cores, Quotas: true}
	p := &program{settings: settings, options: o, self: self, config: config, gate: gate, guard: guard, pool: pool, store: store, forwards: forwards,
		knowledge: knowledge, logger: logger, metrics: metrics}
	p.guardTargets()
	gate.Quota = cassiagrant.NewKeeper(cassiagrant.Config{Self: settings.VM, Clock: cassiaboottime.Clock{}, Log: p.logEvent, Scope: metrics.Scope,
		Settings: cassiaquota.Settings{Window: settings.QuotaWindow, Excess: settings.QuotaExcess, Slack: settings.QuotaSlack}})
	return p
}

// guardTargets connects the guard with the other VMs and the store.
func (p *program) guardTargets() {
	p.notifier = &cassiaguard.Notifier{Guard: p.guard, Others: p.gate.InformedVMs, Timeout: crashNoticeTimeout, Log: p.logEvent,
		Scope: p.metrics.Scope}
	p.announcer = cassiaguard.NewAnnouncer(cassiaguard.AnnouncerConfig{Guard: p.guard, Store: p.store, VMs: p.gate.OtherVMs, Log: p.logEvent,
		Send: p.notifier.Deliver})
	p.notifier.Quarantined = p.announcer.Announce
	p.gate.Announcer = p.announcer
	p.guard.SetPeers(p.notifier)
}

// run serves callers until ctx is done. Everything else that the server needs runs until the server has stopped.
func (p *program) run(ctx context.Context) error {
	servicesCtx, stopServices := context.WithCancel(context.WithoutCancel(ctx))
	// The VM is taken off the list of VMs as soon as it is asked to stop, and also when its server fails.
	presenceCtx, withdraw := context.WithCancel(ctx)
	watchers, journal := cassiafollow.NewWatchers(p.self, p.logEvent), &cassiafollow.Journal{}
	follower := cassiafollow.NewFollower(p.store, p.gate, watchers, journal, p.logEvent)
	follower.Scope, follower.Knowledge = p.metrics.Scope, p.knowledge
	p.gate.Refresh, p.gate.Ask = follower.Refresh, follower.Ask
	var group errgroup.Group
	group.Go(func() error { return follower.Run(servicesCtx) })
	group.Go(func() error {
		if p.settings.QuotaWindow > 0 {
			follower.AwaitList(presenceCtx, announceDelay)
		}
		p.gate.Quota.Announced()
		return cassiafollow.MaintainPresence(presenceCtx, p.store, p.self, max(p.presenceLifetime(), p.settings.MinLease),
			p.settings.QuotaWindow > 0, follower.Unlisted, p.logEvent)
	})
	group.Go(func() error { return p.checkSettingsOnHangup(servicesCtx) })
	group.Go(func() error { return p.announcer.Run(servicesCtx) })
	group.Go(func() error { return p.servePeers(servicesCtx, watchers, journal, follower.Restored()) })
	group.Go(func() error {
		defer stopServices()
		defer withdraw()
		return cassiagate.NewServer(p.config, p.gate).Run(ctx)
	})
	return group.Wait()
}

// quotaPresenceLifetime replaces cassiafollow.PresenceLifetime where teams may have quotas. VMs that the store turns away for some seconds stay
// on the list, since each VM that leaves or joins it may move a part of the quotas to another VM, which grants nothing for seconds.
const quotaPresenceLifetime = 2 * cassiafollow.PresenceLifetime

// presenceLifetime returns the lifetime of this VM's entry in the list of VMs.
func (p *program) presenceLifetime() time.Duration {
	if p.settings.QuotaWindow > 0 {
		return quotaPresenceLifetime
	}
	return cassiafollow.PresenceLifetime
}

// logEvent logs an event with its fields, as key and value in turn.
func (p *program) logEvent(name string, fields ...any) {
	level.Info(p.logger).Log(append([]any{"event", name}, fields...)...)
}

// checkSettingsOnHangup reads the settings file again on each SIGHUP and logs whether the settings differ from those in
// use. Changes take effect only after a restart.
func (p *program) checkSettingsOnHangup(ctx context.Context) error {
	for {
		select {
		case <-cassiahangup.Hangups():
			settings, err := cassiaplatform.ReadSettings(p.options.settingsFile)
			if err != nil {
				p.logEvent("reloadRefused", "error", err)
				continue
			}
			p.logEvent("reload", "restartNeeded", !reflect.DeepEqual(settings, p.settings))
		case <-ctx.Done():
			return nil
		}
	}
}

// servePeers sends batches of attempts to other VMs and serves theirs, and likewise asks watchers for changes of the
// store and answers such calls, until ctx is done. It first waits for the certificate authority that all VMs share,
// since the connections between VMs need certificates.
func (p *program) servePeers(ctx context.Context, watchers *cassiafollow.Watchers, journal *cassiafollow.Journal, restored <-chan struct{}) error {
	value, err := cassiafollow.EnsureShared(ctx, p.store, authorityStoreKey, newEncodedAuthority, p.logEvent)
	if err != nil {
		return nil //nolint:nilerr // ctx is done, or the authority could not be created
	}
	authority, err := decodeAuthority(value)
	if err != nil {
		p.logEvent("peersRefused", "error", err)
		return nil
	}
	credentials, err := cassiatls.NewIssued(authority, p.settings.VM, cassiatls.WithLogger(p.logger), cassiatls.WithMetrics(p.metrics.Scope))
	if err != nil {
		return err
	}
	aggregator := cassiaaggregate.NewAggregator(p.pool, p.gate, p.settings.ExtraRequests)
	aggregator.Bodies = p.gate.PeerBodies
	aggregator.OnExtraRequest = func(allowed bool) {
		p.metrics.Scope.Tagged(map[string]string{"allowed": strconv.FormatBool(allowed)}).Counter("repeats_for_others").Inc(1)
	}
	handler := &cassiaaggregate.Handler{Aggregator: aggregator, ForwardServer: p.forwards, Watches: &cassiafollow.WatchServer{Journal: journal, Log: p.logEvent},
		Notifier: p.notifier, Quotas: p.gate.Quota}
	node, err := cassiapeer.Listen(cassiapeer.Config{Self: p.settings.VM, Address: p.settings.PeerAddress, Identity: credentials,
		Resolver: p.gate, Handler: handler, Logger: p.logger, Scope: p.metrics.Scope})
	if err != nil {
		return err
	}
	handler.Client = cassiaaggregate.NewClient(node, p.gate.AttemptsEnded)
	handler.ForwardClient = cassiaforward.NewClient(node, p.gate.UpdateForward)
	handler.ForwardClient.OnMalformedStatus = statusReport{logger: p.logger, metrics: p.metrics}.fromVM
	p.notifier.Node = node
	node.Serve()
	p.gate.SetPeerClients(handler.Client, handler.ForwardClient)
	watchers.SetExchanger(node)
	p.gate.Quota.SetExchanger(node)
	p.logEvent("peersServed", "address", p.settings.PeerAddress)
	var group errgroup.Group
	group.Go(func() error { handler.Client.KeepConnected(ctx, p.gate.ConnectedVMs); return nil })
	checker := &cassiaaggregate.ZoneChecker{Exchanger: node, Checks: p.gate.ZoneChecks,
		Unreached: func(m cassiagateway.ZoneUnreached) { p.gate.Update(m) }}
	group.Go(func() error { checker.Run(ctx); return nil })
	group.Go(func() error { p.gate.Quota.KeepConnected(ctx); return nil })
	p.keepAuthority(ctx, value, restored)
	return errors.Join(group.Wait(), node.Close())
}

// keepAuthority writes the encoded certificate authority again each time the store has come back from an older copy that may
// lack it, until ctx is done. Otherwise VMs that start later would create one that the others do not accept.
func (p *program) keepAuthority(ctx context.Context, value []byte, restored <-chan struct{}) {
	for {
		select {
		case <-restored:
		case <-ctx.Done():
			return
		}
		stored, err := cassiafollow.EnsureShared(ctx, p.store, authorityStoreKey, func() ([]byte, error) { return value, nil }, p.logEvent)
		if err == nil && !bytes.Equal(stored, value) {
			p.logEvent("authorityReplaced", "action", "restart this VM to reach those that use the new one")
		}
	}
}
