package cassiagate

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiaclock"
	"cassiasaddle/core/cassiadirectory"
	"cassiasaddle/core/cassiafreshness"
	"cassiasaddle/core/cassiagateway"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/io/cassiaaggregate"
	"cassiasaddle/io/cassiabody"
	"cassiasaddle/io/cassiafollow"
	"cassiasaddle/io/cassiaforward"
	"cassiasaddle/io/cassiagrant"
	"cassiasaddle/io/cassiaguard"
	"cassiasaddle/io/cassiapool"
	"cassiasaddle/io/cassiaresume"
	"cassiasaddle/io/cassiaworker"
)

// routedRequest is a caller's request with the route by which it is served.
type routedRequest struct {
	call         cassiapool.Call
	fingerprints fingerprints
	route        *cassiacatalog.Route
	// configuration is the version that the route is taken from.
	configuration cassiacatalog.Version
	// from is the VM that passed the request to this one; empty if the caller did.
	from cassiaid.VMName
	// credential identifies the team that the caller acts for.
	credential credential
}

// pendingQuery is a request that has no answer yet.
type pendingQuery struct {
	routedRequest
	answer chan cassiagateway.Answer
}

// Gate connects a cassiagateway.Gateway to the network: it passes requests and events to the gateway and performs the
// effects that the gateway returns. It is safe for concurrent use.
type Gate struct {
	// Refresh, if set, requests that the list of targets is read again; it must not block.
	Refresh func()
	// Ask, if set, requests that the store is asked for changes at once, since this VM was paused; it must not block.
	Ask func()
	// PeerBodies bounds the bodies of requests that other VMs pass to this one.
	PeerBodies *cassiabody.Share
	// Announcer, if set, receives the quarantines that are in the store.
	Announcer *cassiaguard.Announcer
	// Quota, if set, decides on the requests of teams with a quota.
	Quota *cassiagrant.Keeper

	pool    *cassiapool.Pool
	guard   *cassiaguard.Guard
	report  *Report
	self    cassiaid.VMName
	catalog atomic.Pointer[cassiacatalog.Catalog]
	group   errgroup.Group
	// workers run the exchanges with targets.
	workers cassiaworker.Workers

	mutex            sync.Mutex
	gateway          *cassiagateway.Gateway
	directory        *cassiadirectory.Directory
	pending          map[cassiagateway.QueryID]*pendingQuery
	cancels          map[cassiaid.AttemptID]context.CancelFunc
	nextQuery        cassiagateway.QueryID
	gatewayTimer     *time.Timer
	directoryTimer   *time.Timer
	targets          map[cassiaid.TargetName]cassiadirectory.Target
	zones            []cassiaid.Zone
	targetsListed    bool
	vms              []cassiafollow.VM
	aggregatorClient *cassiaaggregate.Client
	forwardClient    *cassiaforward.Client

	pauses *cassiaresume.Waiter
	// knowledge tells how old what this VM knows of the store may be; nil if any age will do.
	knowledge *cassiafreshness.Guard

	// ending is closed when a planned stop is about to end, so that queries have to end with what there is.
	ending    chan struct{}
	endingSet sync.Once

	// heardAt is when a target last answered what this VM sent for another one, in nanoseconds since the Unix epoch.
	heardAt atomic.Int64
}

// NewGate returns a gate that has no routes and no targets yet. Its attempts start as guard allows.
func NewGate(pool *cassiapool.Pool, guard *cassiaguard.Guard, settings cassiagateway.Settings, report *Report) *Gate {
	clock := cassiaclock.System{}
	// The seed differs between VMs, so that their weighted round-robin over services does not run in step.
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	g := &Gate{pool: pool, guard: guard, report: report, self: settings.Name, knowledge: settings.Knowledge,
		gateway: cassiagateway.NewGateway(clock, random, settings), directory: cassiadirectory.NewDirectory(clock),
		// Ids start at a random number, since other VMs may still hold ids of this VM's previous process.
		nextQuery: cassiagateway.QueryID(rand.Uint32()),
		ending:    make(chan struct{}),
		pending:   make(map[cassiagateway.QueryID]*pendingQuery), cancels: make(map[cassiaid.AttemptID]context.CancelFunc)}
	g.pauses = cassiaresume.NewWaiter(g.resumed)
	g.gatewayTimer = time.AfterFunc(time.Hour, func() { g.Update(cassiagateway.Tick{}) })
	g.gatewayTimer.Stop()
	g.directoryTimer = time.AfterFunc(time.Hour, func() { g.UpdateDirectory(cassiadirectory.Tick{}) })
	g.directoryTimer.Stop()
	return g
}

// UpdateCatalog puts a version of the configuration in force unless the same or a newer one is in force.
func (g *Gate) UpdateCatalog(c *cassiacatalog.Catalog) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	current := g.catalog.Load()
	if current != nil && current.Version >= c.Version {
		return
	}
	g.catalog.Store(c)
	g.Quota.UpdateTeams(c.Teams)
	g.report.catalogInForce(c)
	g.perform(g.gateway.Update(cassiagateway.ServicesChanged{Services: c.Services, FanOut: c.FanOutServices(), LargestFanOut: c.LargestFanOut(), Teams: c.Teams}))
}

// UpdateDirectory applies changes of the registered targets, of the evacuated zones and of the connection to the store.
func (g *Gate) UpdateDirectory(messages ...cassiadirectory.Message) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	changed := false
	evacuated := g.directory.EvacuatedZones()
	for _, m := range messages {
		if _, ok := m.(cassiadirectory.Listed); ok {
			g.targetsListed = true
		}
		changed = g.directory.Update(m) || changed
	}
	g.report.evacuationsChanged(evacuated, g.directory.EvacuatedZones())
	if at := g.directory.WakeAt(); !at.IsZero() {
		g.directoryTimer.Reset(time.Until(at) + time.Millisecond)
	}
	if !changed {
		return
	}
	targets := g.directory.Targets()
	g.targets = make(map[cassiaid.TargetName]cassiadirectory.Target, len(targets))
	zones := make(map[cassiaid.Zone]bool)
	for _, t := range targets {
		g.targets[t.Name] = t
		zones[t.Zone] = true
	}
	g.zones = slices.Sorted(maps.Keys(zones))
	g.report.targetsChanged(targets)
	g.perform(g.gateway.Update(cassiagateway.TargetsChanged{Targets: targets}))
}

// UpdateQuarantines applies a change of the quarantines in the store.
func (g *Gate) UpdateQuarantines(m cassiafollow.QuarantinesChanged) {
	if g.Announcer != nil {
		g.Announcer.Stored(m.All, m.Quarantines)
	}
}

// UpdateFleet replaces the list of VMs that share the targets.
func (g *Gate) UpdateFleet(vms []cassiafollow.VM) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.vms = slices.DeleteFunc(slices.Clone(vms), func(vm cassiafollow.VM) bool { return vm.Stopping })
	g.publishFleet()
	g.Quota.UpdateFleet(quotaVMs(vms))
}

// Confirm reports that all changes are known that were made before a time, so that the list last passed to UpdateFleet is still current.
func (g *Gate) Confirm(askedAt time.Time) {
	g.Update(cassiagateway.FleetConfirmed{})
	g.pauses.Learned(askedAt)
}

// ConfirmKnowledge reports that everything that was in the store at a time has taken effect.
func (g *Gate) ConfirmKnowledge(asOf cassiaclock.BootTime) {
	g.knowledge.Confirm(asOf)
	g.Quota.Confirm(asOf)
}

// resumed has the store asked for what changed while this VM was paused.
func (g *Gate) resumed(paused time.Duration) {
	g.report.event("resumed", "paused", paused)
	if g.Ask != nil {
		g.Ask()
	}
}

// AwaitNews returns at once unless this VM was paused; then it waits a short time for what changed meanwhile, or until ctx is done.
func (g *Gate) AwaitNews(ctx context.Context) { g.pauses.Wait(ctx) }

// SetPeerClients sets the clients through which VMs of other zones send this VM's attempts to the targets there, and through which other
// VMs serve requests of this one.
func (g *Gate) SetPeerClients(aggregator *cassiaaggregate.Client, forward *cassiaforward.Client) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.aggregatorClient, g.forwardClient = aggregator, forward
	g.publishFleet()
}

// publishFleet passes the list of VMs to the gateway. Without an aggregator client the VMs are listed without a zone,
// so that the gateway sends no attempts through them.
func (g *Gate) publishFleet() {
	var vms []cassiagateway.VM
	for _, vm := range g.vms {
		zone := vm.Zone
		if g.aggregatorClient == nil {
			zone = ""
		}
		vms = append(vms, cassiagateway.VM{Name: vm.Name, Zone: zone, Cores: vm.Cores})
	}
	g.perform(g.gateway.Update(cassiagateway.FleetChanged{VMs: vms}))
}

// PeerAddress returns the address at which other VMs reach a VM, and false for a VM that is not listed.
func (g *Gate) PeerAddress(vm cassiaid.VMName) (string, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, other := range g.vms {
		if other.Name == vm {
			return other.PeerAddress, true
		}
	}
	return "", false
}

// maxInformedVMs is the number of other VMs that are informed of a crash, chosen at random, so that a crash in a large
// fleet causes few messages. All VMs learn of a quarantine.
const maxInformedVMs = 16

// InformedVMs returns the other VMs that are informed of a crash; there are none until VMs can be reached.
func (g *Gate) InformedVMs(cassiaid.FrontKey) []cassiaid.VMName {
	others := g.OtherVMs()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(len(others), maxInformedVMs)]
}

// ConnectedVMs returns the other VMs to which connections are kept open: those that are informed of a crash, unless they are chosen
// anew each time, and those through which fan-outs are sent.
func (g *Gate) ConnectedVMs() []cassiaid.VMName {
	others := g.OtherVMs()
	if len(others) <= maxInformedVMs {
		return others
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.gateway.Aggregators()
}

// OtherVMs returns the other VMs on the list; there are none until VMs can be reached.
func (g *Gate) OtherVMs() []cassiaid.VMName {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var others []cassiaid.VMName
	for _, vm := range g.vms {
		if vm.Name != g.self && g.aggregatorClient != nil {
			others = append(others, vm.Name)
		}
	}
	return others
}

// Target returns a target that may be used, and false if there is none of that name or this VM reaches no target.
func (g *Gate) Target(name cassiaid.TargetName) (cassiadirectory.Target, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	target, ok := g.targets[name]
	return target, ok && !g.gateway.Isolated()
}

// ObserveReach records whether a target answered what this VM sent to it at a time for another VM.
func (g *Gate) ObserveReach(reached bool, sentAt time.Time) {
	switch {
	case reached:
		g.heardAt.Store(time.Now().UnixNano())
	case g.heardAt.Load() <= sentAt.UnixNano():
		g.Update(cassiagateway.TargetUnreached{SentAt: sentAt})
	}
}

// ZoneChecks returns the zones whose reachability is to be checked; there are none until VMs can be reached.
func (g *Gate) ZoneChecks() []cassiagateway.ZoneCheck {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.aggregatorClient == nil {
		return nil
	}
	return g.gateway.ZoneChecks()
}

// Zones returns the availability zones that have targets, sorted by name; callers must not change the slice.
func (g *Gate) Zones() []cassiaid.Zone {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.zones
}

// AttemptsEnded passes the outcomes of attempts that another VM sent on behalf of this VM to the gateway. It does not block.
func (g *Gate) AttemptsEnded(m cassiagateway.AttemptsEnded) {
	var ended cassiagateway.AttemptsEnded
	for _, e := range m.Ended {
		g.report.attemptEnded(e.Outcome)
		share := g.guard.Record(cassiaid.FrontKey{}, e.Attempt, endingOf(e.Outcome))
		switch {
		case share == nil:
			ended.Ended = append(ended.Ended, e)
		case e.Outcome == cassiagateway.OutcomeLost:
			g.group.Go(func() error {
				share()
				g.Update(e)
				return nil
			})
		default:
			ended.Ended = append(ended.Ended, e)
			g.group.Go(func() error { share(); return nil })
		}
	}
	if len(ended.Ended) > 0 {
		g.Update(ended)
	}
}

// Ready reports whether this VM has a configuration and a list of targets, knows recently enough which keys are valid if requests need
// keys, and reaches enough targets for most of its recent traffic.
func (g *Gate) Ready() bool {
	catalog := g.catalog.Load()
	if catalog == nil || catalog.Teams != nil && !g.knowledge.Usable() {
		return false
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.targetsListed && g.gateway.CanServe()
}

// EndQueries ends all queries that have no answer yet with a refusal, and those that come later at once.
func (g *Gate) EndQueries() { g.endingSet.Do(func() { close(g.ending) }) }

// submit passes a request to the gateway and waits for its answer; it returns false if ctx ends first because the caller has
// gone.
func (g *Gate) submit(ctx context.Context, r routedRequest) (cassiagateway.Answer, bool) {
	q := &pendingQuery{routedRequest: r, answer: make(chan cassiagateway.Answer, 1)}
	g.mutex.Lock()
	g.nextQuery++
	id := g.nextQuery
	g.pending[id] = q
	g.perform(g.gateway.Update(cassiagateway.Arrived{Query: id, Route: r.route, Deadline: r.call.Deadline, ForOther: r.from != "", Team: r.credential.team,
		Key: r.credential.key}))
	g.mutex.Unlock()
	ended := false
	select {
	case answer := <-q.answer:
		return answer, true
	case <-g.ending:
		ended = true
	case <-ctx.Done():
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.pending, id)
	g.perform(g.gateway.Update(cassiagateway.CallerGone{Query: id}))
	return cassiagateway.Answer{Refusal: &cassiagateway.Refusal{Reason: cassiagateway.RefusalStopping}}, ended
}

// quarantineRemaining returns how long a request is still refused because it crashes targets, or 0 if it is not.
func (g *Gate) quarantineRemaining(request fingerprints) time.Duration {
	return max(g.guard.Remaining(request.caller), g.guard.Remaining(request.content))
}

// Update passes a message to the gateway and performs the effects.
func (g *Gate) Update(m cassiagateway.Message) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.perform(g.gateway.Update(m))
}

// perform carries out the effects of the gateway; the caller holds the mutex.
func (g *Gate) perform(effects []cassiagateway.Effect) {
	var batches map[batchKey]*cassiaaggregate.Batch
	for _, e := range effects {
		switch e := e.(type) {
		case cassiagateway.Send:
			if batches == nil {
				batches = make(map[batchKey]*cassiaaggregate.Batch)
			}
			g.send(batches, e)
		case cassiagateway.Cancel:
			g.cancel(e.Attempt)
		case cassiagateway.Forward:
			g.forward(e)
		case cassiagateway.CancelForward:
			g.forwardClient.Cancel(e.Query)
		case cassiagateway.Refresh:
			g.report.event("refresh")
			if g.Refresh != nil {
				g.Refresh()
			}
		case cassiagateway.ViewChanged:
			g.report.viewChanged(e)
		case cassiagateway.DropAggregator:
			if g.aggregatorClient != nil {
				g.aggregatorClient.Drop(e.VM)
			}
		case cassiagateway.ExtraRequest:
			g.report.extraRequest(e.Kind)
		case cassiagateway.RetryShareChanged:
			g.report.retryShareChanged(e)
		case cassiagateway.Probe:
			g.probe(e)
		case cassiagateway.Finish:
			if q := g.pending[e.Query]; q != nil {
				delete(g.pending, e.Query)
				q.answer <- e.Answer
			}
		case cassiagateway.WakeAt:
			g.gatewayTimer.Reset(time.Until(e.Time))
		}
	}
	g.sendBatches(batches)
}

// cancel ends an attempt, whether this VM or another one sent it.
func (g *Gate) cancel(id cassiaid.AttemptID) {
	if cancel := g.cancels[id]; cancel != nil {
		cancel()
	} else if g.aggregatorClient != nil {
		g.aggregatorClient.Cancel(id)
	}
}

// abandon reports that an attempt was not sent because its caller had left. It runs in a goroutine because the caller
// holds the mutex.
func (g *Gate) abandon(id cassiaid.AttemptID) {
	g.group.Go(func() error {
		g.Update(cassiagateway.AttemptEnded{Attempt: id, Outcome: cassiagateway.OutcomeAbandoned})
		return nil
	})
}

// probe opens a connection to a target, checks its health if asked to, and reports whether that succeeded.
func (g *Gate) probe(e cassiagateway.Probe) {
	g.group.Go(func() error {
		result := g.pool.Probe(cassiapool.Probe{Address: e.Address, Instance: string(e.Target), HealthPath: e.HealthPath, HealthTimeout: e.HealthTimeout,
			Once: e.Once})
		g.report.probeEnded(e, result)
		g.Update(cassiagateway.ProbeEnded{Target: e.Target, Reached: result.Reached, Reset: result.Reset, Broken: result.Broken, Once: e.Once,
			ColdFor: result.Cold})
		return nil
	})
}
