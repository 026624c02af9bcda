package cassiaserver

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiamember"
	"cassiasaddle/core/cassiaroute"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiabody"
	"cassiasaddle/io/cassiacaller"
	"cassiasaddle/io/cassiaclaimer"
	"cassiasaddle/io/cassiaentry"
	"cassiasaddle/io/cassiagossip"
	"cassiasaddle/io/cassiaguard"
	"cassiasaddle/io/cassiahttp"
	"cassiasaddle/io/cassialog"
	"cassiasaddle/io/cassiaowner"
	"cassiasaddle/io/cassiapeer"
	"cassiasaddle/io/cassiaresume"
	"cassiasaddle/io/cassiastore"
	"cassiasaddle/io/cassiatls"
	"cassiasaddle/io/cassiatree"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleCallerTimeout = 2 * time.Minute
	// maxHeaderBytes is far above the size of the headers that callers send.
	maxHeaderBytes = 64 << 10
	// minBatchGrace is the shortest time for which a stopping VM still accepts batches, until the other VMs know that
	// it is leaving.
	minBatchGrace = time.Second
	// callerQuietTime is the time without a request from a caller after which the load balancer is taken to have
	// removed the VM.
	callerQuietTime = 500 * time.Millisecond
	// maxCallerWait bounds the wait for callerQuietTime.
	maxCallerWait = 10 * time.Second
	// callerCheckInterval is how often a stopping VM checks whether callerQuietTime has passed.
	callerCheckInterval = 50 * time.Millisecond
	// stopTimeout bounds how long a planned stop waits for running requests and attempts.
	stopTimeout = 60 * time.Second
)

// server is one running VM.
type server struct {
	config  *cassiaschema.VmConfig
	options options
	self    cassiaid.VMName
	zone    cassiaid.Zone
	logger  log.Logger
	metrics *cassialog.Metrics

	store          *cassiastore.Client
	gossip         *cassiagossip.Gossip
	members        *members
	settings       *cassiatree.Service
	node           *cassiapeer.Node
	routes         *cassiaentry.Routes
	guard          *cassiaguard.Guard
	notifier       *cassiaguard.Notifier
	owner          *cassiaowner.Owner
	claimer        *cassiaclaimer.Claimer
	entry          *cassiaentry.Entry
	pauses         *cassiaresume.Waiter
	callerServer   *http.Server
	operatorServer *http.Server
	limits         cassiacaller.Limits
	intake         *cassiacaller.Intake

	// frameHandlers runs the handlers of frames that wait for a target or a claim.
	frameHandlers errgroup.Group
	startedAt     time.Time
	// leaving is true once a planned stop has begun or a part has failed.
	leaving atomic.Bool
}

// Run runs one VM until ctx ends. It then stops the VM after the running requests have ended or one minute has passed.
// It returns earlier if a part of the VM fails.
func Run(ctx context.Context, config *cassiaschema.VmConfig, opts ...Option) error {
	s := &server{
		config: config, options: newOptions(opts),
		self: cassiaid.VMName(config.Name), zone: cassiaid.Zone(config.AvailabilityZone),
		metrics: cassialog.NewMetrics(), startedAt: time.Now(),
	}
	s.logger = s.options.logger
	s.limits = cassiacaller.LimitsFor(s.options.memoryBytes, s.options.maxDescriptors)
	s.intake = cassiacaller.NewIntake(s.limits, s.logger, s.metrics.Scope)
	defer s.metrics.Close() //nolint:errcheck // no reader remains for the last report
	if err := s.build(); err != nil {
		return err
	}
	return s.serve(ctx)
}

// build creates the parts of the VM. The gossip and peer sockets are open when it returns.
func (s *server) build() error {
	clock := clockwork.NewRealClock()
	scope := s.metrics.Scope
	s.store = cassiastore.NewClient(s.config.PlatformAddress, s.config.PlatformToken, scope)
	s.store.OnMalformedStatus = s.malformedStoreStatus
	identity, err := cassiatls.New(s.config.GetTls(), cassiatls.WithLogger(s.logger), cassiatls.WithMetrics(scope))
	if err != nil {
		return err
	}
	s.gossip, err = cassiagossip.New(s.gossipConfig(),
		cassiagossip.WithLogger(s.logger), cassiagossip.WithMetrics(scope), cassiagossip.WithSeeds(seedsFromPlatform(s.store)),
		cassiagossip.WithPacketConn(s.options.wrapPacketConn))
	if err != nil {
		return err
	}
	s.members = newMembers(s.gossip)
	s.routes = cassiaentry.NewRoutes(cassiaroute.NewTable(s.self, s.zone, clock), s, s.logger, scope)
	s.guard = cassiaguard.NewGuard(clock)
	s.pauses = cassiaresume.NewWaiter(s.resumed)
	s.owner = cassiaowner.New(cassiaowner.Config{
		Self: s.self, Ownership: ownership{s.routes}, Observer: observer{s.routes, s.gossip}, Guard: s.guard,
		Pauses: s.pauses, Clock: clock, PeerBodies: cassiabody.NewShare(s.limits.PeerBytes), Dial: s.options.dialTarget, Logger: s.logger, Scope: scope,
	})
	s.claimer = cassiaclaimer.NewClaimer(cassiaclaimer.Options{
		Store: cassiaclaimer.PlatformStore{Client: s.store}, Peers: claimPeers{s},
		Clock: clock, Metrics: scope, Logger: s.logger,
	})
	s.node, err = cassiapeer.Listen(cassiapeer.Config{
		Self: s.self, Address: s.config.PeerAddress, Identity: identity, Resolver: s.members, Handler: s,
		Wrap: s.options.wrapPacketConn, Logger: s.logger, Scope: scope,
	})
	if err != nil {
		return err
	}
	s.notifier = &cassiaguard.Notifier{Guard: s.guard, Node: s.node, Others: s.frontOwners, Quarantined: s.shareQuarantine, Scope: scope}
	s.guard.SetPeers(s.notifier)
	s.settings = cassiatree.New(cassiatree.Config{
		Self: s.self, Zone: s.zone, AdminTokenSHA256: s.config.AdminTokenSha256,
		Store: s.store, Peers: settingsPeers{s.node}, Members: s.members, Clock: clock, Seed: rand.Uint64(),
		Logger: s.logger, Scope: scope,
	})
	s.entry = cassiaentry.New(cassiaentry.Config{
		Self: s.self, Routes: s.routes, Peers: s.node, Owner: s.owner, Fronts: fronts{s}, Quarantine: s.guard,
		Claims: s.claimer, Inquirer: s, Clock: clock, Logger: s.logger, Scope: scope,
	})
	return s.buildHTTP()
}

func (s *server) gossipConfig() cassiagossip.Config {
	return cassiagossip.Config{
		Name: s.self, Region: cassiamember.Region(s.config.Region), Zone: s.zone,
		PeerAddress:   cmp.Or(s.config.AdvertisedPeerAddress, s.config.PeerAddress),
		GossipAddress: s.config.GossipAddress, AdvertisedAddress: s.config.AdvertisedGossipAddress,
		ClusterKeyFile: s.config.ClusterKeyFile,
	}
}

// buildHTTP creates the HTTP servers for callers and operators without opening their addresses.
func (s *server) buildHTTP() error {
	handler, err := cassiahttp.New(s.entry, s.intake, s.logger, s.metrics.Scope)
	if err != nil {
		return err
	}
	s.callerServer = &http.Server{Handler: s.awaitNews(handler), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleCallerTimeout,
		MaxHeaderBytes: maxHeaderBytes}
	s.intake.Attach(s.callerServer)
	s.operatorServer = &http.Server{Handler: s.operatorHandler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleCallerTimeout}
	return nil
}

// serve runs the parts until ctx ends or one of them fails.
func (s *server) serve(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	parts, runCtx := errgroup.WithContext(runCtx)
	s.gossip.Subscribe(s.subscriber())
	s.setMembers(s.gossip.Members())
	s.node.Serve()
	parts.Go(func() error { return s.gossip.Run(runCtx) })
	parts.Go(func() error { return s.settings.Run(runCtx) })
	parts.Go(func() error { return s.claimer.Run(runCtx) })
	parts.Go(func() error { return s.followSettings(runCtx) })
	parts.Go(func() error { return s.watchLeavingTargets(runCtx) })
	parts.Go(func() error { return s.entry.WatchSilence(runCtx) })
	parts.Go(func() error { s.pauses.Run(runCtx.Done()); return nil })
	if err := s.listen(parts); err != nil {
		cancel()
		return errors.Join(err, s.close(), parts.Wait())
	}
	select {
	case <-ctx.Done():
	case <-runCtx.Done():
	}
	stopErr := s.stop(runCtx)
	cancel()
	return errors.Join(stopErr, s.close(), parts.Wait(), s.frameHandlers.Wait())
}

// listen opens the HTTP addresses for callers and operators and starts serving on them.
func (s *server) listen(parts *errgroup.Group) error {
	callerListener, err := net.Listen("tcp", s.config.CallerAddress)
	if err != nil {
		return eris.Wrap(err, "callerAddress can't be opened; free it or configure another")
	}
	operatorListener, err := net.Listen("tcp", s.config.OperatorAddress)
	if err != nil {
		return errors.Join(eris.Wrap(err, "operatorAddress can't be opened; free it or configure another"), callerListener.Close())
	}
	parts.Go(func() error { return serveUntilClosed(s.callerServer, s.intake.Listen(callerListener)) })
	parts.Go(func() error { return serveUntilClosed(s.operatorServer, operatorListener) })
	level.Info(s.logger).Log("msg", "listening", "callers", callerListener.Addr().String(), "operators", operatorListener.Addr().String())
	return nil
}

// serveUntilClosed serves HTTP until the server is closed, which is not an error.
func serveUntilClosed(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrapf(err, "serving HTTP on %s failed", listener.Addr())
	}
	return nil
}

// subscriber returns the callbacks for changes that gossip brings.
func (s *server) subscriber() cassiagossip.Subscriber {
	return cassiagossip.Subscriber{
		Members:      s.setMembers,
		PeerSettings: func(cassiaid.VMName, cassiaid.Generation) { s.members.signal() },
		Quarantine:   s.handleQuarantineNotice,
		TargetNotice: s.handleTargetNotice,
	}
}

// setMembers replaces the live members, drops the connections to VMs that are no longer live or have another address,
// and updates the routing table.
func (s *server) setMembers(live []cassiamember.Member) {
	for _, vm := range s.members.update(live) {
		// A VM that has died doesn't close its connections; dropping them ends the calls that wait for it.
		s.node.Drop(vm)
	}
	s.routes.Update(routeMembers(live))
}

// followSettings applies each new settings tree to gossip, the routing table and the claimer until ctx ends.
func (s *server) followSettings(ctx context.Context) error {
	changes, end := s.settings.Subscribe()
	defer end()
	for {
		if tree := s.settings.Current(); tree != nil {
			s.gossip.SetSettingsGeneration(tree.Generation())
			s.routes.Update(cassiaroute.SettingsChanged{Fronts: tree.Fronts()})
			// A notice may have come before the settings that list its target.
			for _, t := range s.gossip.LeavingTargets() {
				s.handleTargetNotice(t.Target, t.Leaving, t.Remaining)
			}
			s.claimer.SetRetention(ctx, tree.Root().GetClaimRetention().AsDuration())
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
		}
	}
}

// stop announces by gossip that this VM is leaving, refuses new requests and waits until running requests and attempts
// have ended or stopTimeout has passed. If a part has failed, so that runCtx has ended, it only announces.
func (s *server) stop(runCtx context.Context) error {
	s.leaving.Store(true)
	level.Info(s.logger).Log("msg", "stopping")
	s.gossip.Leave()
	if runCtx.Err() != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	stopErr := s.entry.Drain(ctx)
	s.waitForCallers(ctx)
	stopErr = errors.Join(stopErr, s.owner.Drain(ctx))
	return errors.Join(stopErr, s.callerServer.Shutdown(ctx), s.operatorServer.Shutdown(ctx))
}

// waitForCallers waits until no request has come for callerQuietTime and at least minBatchGrace has passed, but no
// longer than maxCallerWait. By then the load balancer has removed the VM and the other VMs know that it is leaving.
// Meanwhile the VM refuses requests of callers but still accepts batches of other VMs.
func (s *server) waitForCallers(ctx context.Context) {
	started := time.Now()
	ticker := time.NewTicker(callerCheckInterval)
	defer ticker.Stop()
	for elapsed := time.Duration(0); elapsed < maxCallerWait; elapsed = time.Since(started) {
		if elapsed >= minBatchGrace && time.Since(s.entry.LastRequest()) >= callerQuietTime {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// close closes the parts that hold sockets and connections.
func (s *server) close() error {
	err := errors.Join(s.callerServer.Close(), s.operatorServer.Close(), s.entry.Close(), s.owner.Close(), s.node.Close())
	s.store.Close()
	return err
}

// joinWait is how long a VM waits for an answer of another one before it serves callers without it, since it may be the only one.
const joinWait = 2 * time.Second

// ready reports whether the VM has settings and, from the other VMs, what they know of leaving targets.
func (s *server) ready() bool {
	return s.settings.Ready() && (len(s.gossip.Members()) > 1 || time.Since(s.startedAt) >= joinWait)
}

// fronts provides the settings in force to the entry.
type fronts struct{ server *server }

// Front returns the settings of a front, or nil if there is no such front.
func (f fronts) Front(key cassiaid.FrontKey) *cassiaschema.Front {
	tree := f.server.settings.Current()
	if tree == nil {
		return nil
	}
	front, _ := tree.Front(key)
	return front
}

// Ready reports whether the VM serves callers.
func (f fronts) Ready() bool { return f.server.ready() }
