package cassiagateway

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cassiasaddle/core/cassiaavailability"
	"cassiasaddle/core/cassiabudget"
	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiaclock"
	"cassiasaddle/core/cassiadirectory"
	"cassiasaddle/core/cassiafair"
	"cassiasaddle/core/cassiafreshness"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassialatency"
)

// Random is a source of random numbers in [0, 1); *rand.Rand of math/rand/v2 implements it.
type Random interface{ Float64() float64 }

// Settings holds the limits that apply to all VMs together, and the identity of this VM.
type Settings struct {
	// ExtraRequests is the retry budget of each service: how many attempts beyond the first of a shard it may receive
	// from all VMs together.
	ExtraRequests cassiabudget.Allowance
	// VMs is the number of VMs to assume until FleetChanged lists them; values below 1 mean 8.
	VMs int
	// Name and Zone identify this VM.
	Name cassiaid.VMName
	Zone cassiaid.Zone
	// ZoneRegions holds the regions of availability zones, for requests that are restricted to some regions.
	ZoneRegions map[cassiaid.Zone]cassiaid.Region
	// ColdExcess and ColdSlack bound the requests that a cold target gets in any second from all VMs: the rate of its service times
	// ColdExcess, plus ColdSlack.
	ColdExcess, ColdSlack float64
	// Knowledge tells whether the API keys that this VM knows may still be accepted; nil if they always may.
	Knowledge *cassiafreshness.Guard
}

const (
	// plannedBudgetShare is the share of the retry budget's ratio that VMs plan to use. The rest covers requests whose
	// extra attempts are counted in a later window than their first attempt.
	plannedBudgetShare = 0.85
	// scarceBudgetShare is the share of the retry budget that a VM uses for a service with scarce connections, where
	// aggregators pay for most attempts.
	scarceBudgetShare = 0.1
	defaultVMs        = 8
	// effectsCapacity is the initial capacity for the effects of one message; 8 is the usual number.
	effectsCapacity = 8
)

// Gateway serves the requests of one VM. It is not safe for concurrent use.
type Gateway struct {
	clock    cassiaclock.Clock
	random   Random
	settings Settings
	// share computes this VM's share of limits that all VMs divide among them.
	share cassiabudget.Share[cassiaid.VMName]
	// slackShare is the share of the retry budget's slack that this VM has been using since the last message.
	slackShare float64
	services   map[cassiacatalog.ServiceName]*service
	targets    map[cassiaid.TargetName]*target
	// availability is what targets have stated in answers to this VM, or to VMs that send for it.
	availability cassiaavailability.Registry
	queries      map[QueryID]*query
	// active holds the unfinished queries in order of arrival.
	active   []*query
	attempts map[cassiaid.AttemptID]*attempt
	routes   map[cassiacatalog.RouteName]*routeState
	// unneeded holds running attempts whose results are no longer needed; each is cancelled at its cancelAt.
	unneeded      []*attempt
	zoneLatencies map[cassiaid.Zone]*zoneLatency
	// orderedTargets holds the targets in the order of the directory.
	orderedTargets []*target
	// sliceCount is the number of slices that the targets of a zone are divided into.
	sliceCount int
	// targetsNumber is the number of lists of targets so far.
	targetsNumber int
	// teams holds the teams whose keys are accepted; nil if requests need none.
	teams *cassiacatalog.Teams
	// turns orders the queries of teams that wait for the same targets.
	turns cassiafair.Turns[cassiaid.TeamName]
	// surges tells which teams send more than they usually do.
	surges cassiafair.Surges[cassiaid.TeamName]
	// watched holds the targets that are due for a probe or for waiting shards at some time; see watch.
	watched []*target
	// throttled holds the targets with a rate that the VMs impose on themselves; see cold.go.
	throttled []*target
	// coldChecked holds the targets whose health is checked to learn whether they are cold, and nextColdCheck when that is due.
	coldChecked       []*target
	nextColdCheck     time.Time
	runningColdChecks int

	links map[linkKey]*link
	// isolation tells whether this VM reaches any target itself; forwarder chooses the VMs that serve queries for it.
	isolation isolation
	// checks decides how long health checks may take.
	checks      checks
	forwarder   forwarder
	vms         []VM
	aggregators aggregators
	// aggregatorKeys holds the keys by which aggregators are picked for the targets of fan-outs.
	aggregatorKeys []rankingKey
	runningProbes  int
	// fanOutServices holds the services that are shards of any route.
	fanOutServices map[cassiacatalog.ServiceName]bool
	fleetKnown     bool
	// fleetNumber is the number of lists of VMs so far.
	fleetNumber int
	// lastArrival is when the last request arrived, arrivalInterval the moving average of the time between requests.
	lastArrival     time.Time
	arrivalInterval time.Duration
	nextID          cassiaid.AttemptID
	// refreshedAt is when the last Refresh was emitted.
	refreshedAt time.Time
	effects     []Effect
	wakeAt      time.Time
}

// routeState holds what this VM has measured and counted for a route.
type routeState struct {
	latency cassialatency.Latency
	// deficit holds, for each service of a split, how many requests it is behind its weighted share (deficit round
	// robin).
	deficit map[cassiacatalog.ServiceName]float64
	// route is the configuration used by the last request; recentRequests is the exponentially decayed number of
	// requests as of the last one, at lastRequestAt.
	route          *cassiacatalog.Route
	recentRequests float64
	lastRequestAt  time.Time
	// waitCorrection scales the estimated wait at admission.
	waitCorrection waitCorrection
	// zones holds, by the regions that requests are restricted to, the order of zones for a configuration of the route and the list of
	// targets with a number.
	zones        map[string]zoneOrder
	zonesRoute   *cassiacatalog.Route
	zonesTargets int
}

// countRequest adds a request to the decayed number of recent requests.
func (r *routeState) countRequest(now time.Time, route *cassiacatalog.Route) {
	r.recentRequests = r.recentRequests*math.Exp2(-now.Sub(r.lastRequestAt).Seconds()/recentHalfLife.Seconds()) + 1
	r.route, r.lastRequestAt = route, now
}

// NewGateway returns a gateway without targets; all requests are refused until TargetsChanged.
func NewGateway(clock cassiaclock.Clock, random Random, settings Settings) *Gateway {
	if settings.VMs <= 0 {
		settings.VMs = defaultVMs
	}
	return &Gateway{
		// Other VMs also key attempts by this ID and may still hold attempts of an earlier run of this process, so the
		// IDs start at a random number.
		nextID: cassiaid.AttemptID(random.Float64() * (1 << 48)),
		clock:  clock, random: random, settings: settings,
		sliceCount:    slicesFor(0),
		share:         cassiabudget.Share[cassiaid.VMName]{Self: settings.Name, Window: settings.ExtraRequests.Window},
		services:      make(map[cassiacatalog.ServiceName]*service),
		targets:       make(map[cassiaid.TargetName]*target),
		zoneLatencies: make(map[cassiaid.Zone]*zoneLatency),
		queries:       make(map[QueryID]*query),
		attempts:      make(map[cassiaid.AttemptID]*attempt),
		routes:        make(map[cassiacatalog.RouteName]*routeState),
		links:         make(map[linkKey]*link),
	}
}

// Update handles one message and returns the effects that the caller has to perform, in order.
func (g *Gateway) Update(m Message) []Effect {
	now := g.clock.Now()
	g.effects = make([]Effect, 0, effectsCapacity)
	g.updateSlackShare(now)
	g.followThrottled(now)
	switch m := m.(type) {
	case Arrived:
		g.arrive(now, m)
	case AttemptBegins:
		g.attemptBegins(m.Attempt)
	case AttemptEnded:
		g.attemptsEnded(now, []AttemptEnded{m})
	case AttemptsEnded:
		g.attemptsEnded(now, m.Ended)
	case ProbeEnded:
		g.probeEnded(now, m)
	case TargetUnreached:
		g.suspectIsolation(now, m.SentAt)
	case ZoneUnreached:
		g.zoneUnreached(now, m)
	case TargetStated:
		g.observeStated(now, m.TargetStatement)
	case ForwardAccepted:
		g.forwardAccepted(m)
	case ForwardEnded:
		g.forwardEnded(now, m)
	case CallerGone:
		g.callerGone(now, m.Query)
	case TargetsChanged:
		g.setTargets(now, m.Targets)
		g.openConnections(now)
	case ServicesChanged:
		g.setServices(now, m.Services)
		g.fanOutServices, g.teams = m.FanOut, m.Teams
		g.setSlices(m.LargestFanOut)
		g.openConnections(now)
	case FleetChanged:
		g.setFleet(now, m.VMs)
		g.openConnections(now)
	case FleetConfirmed:
		g.share.Confirm(now)
	case Tick:
		g.wakeAt = time.Time{}
		g.tick(now)
	}
	g.updateSlackShare(now)
	g.unwatch(now)
	g.scheduleWake(now)
	return g.effects
}

func (g *Gateway) setFleet(now time.Time, vms []VM) {
	names := make([]cassiaid.VMName, len(vms))
	for i, vm := range vms {
		names[i] = vm.Name
	}
	g.vms = vms
	g.forwarder.keep(vms)
	g.share.List(now, names)
	g.aggregators.setVMs(vms)
	g.fleetKnown = len(vms) > 0
	g.fleetNumber++
}

// updateSlackShare follows changes of this VM's share of the retry budget's slack. The time before the change still
// earns budget at the old share.
func (g *Gateway) updateSlackShare(now time.Time) {
	slackShare := g.share.Fraction(now)
	if slackShare == g.slackShare {
		return
	}
	for _, s := range g.services {
		s.retryBudget.Earn(now, g.allowance(now, s), 0)
	}
	g.slackShare = slackShare
	g.emit(RetryShareChanged{VMs: g.vmCount(now), Slack: slackShare * g.settings.ExtraRequests.Slack})
}

// vmCount returns the number of VMs that divide the shared limits; it includes VMs that left the list recently and may
// still be sending.
func (g *Gateway) vmCount(now time.Time) int { return cmp.Or(g.share.Members(now), g.settings.VMs) }

// cancelAfter schedules the cancellation of an attempt that is still running at cancelAt.
func (g *Gateway) cancelAfter(a *attempt, cancelAt time.Time) {
	if a.cancelAt.IsZero() {
		g.unneeded = append(g.unneeded, a)
	}
	a.cancelAt = cancelAt
}

// decayInterval returns the time in which measurements of a target lose half of their weight. It grows with the time
// between requests: with a fixed interval, a VM with little traffic would forget a slow target before the next few
// requests arrive, and would send one of them to it again.
func (g *Gateway) decayInterval() time.Duration {
	return min(maxDecayInterval, max(minDecayInterval, decayRequests*g.arrivalInterval))
}

// observeArrival updates the moving average of the time between requests.
func (g *Gateway) observeArrival(now time.Time) {
	if !g.lastArrival.IsZero() {
		between := min(now.Sub(g.lastArrival), maxDecayInterval)
		g.arrivalInterval += time.Duration(intervalWeight * float64(between-g.arrivalInterval))
	}
	g.lastArrival = now
}

func (g *Gateway) emit(e Effect) { g.effects = append(g.effects, e) }

func (g *Gateway) service(name cassiacatalog.ServiceName) *service {
	s, ok := g.services[name]
	if !ok {
		s = &service{name: name, retryBudget: cassiabudget.Metered{Split: cassiabudget.BurstySplit}}
		g.services[name] = s
	}
	return s
}

// allowance returns the part of a service's retry budget that this VM uses. It is small for a service with scarce
// connections, where aggregators pay for most attempts.
func (g *Gateway) allowance(now time.Time, s *service) cassiabudget.Allowance {
	ratio, slack := plannedBudgetShare, 1.0
	if s.connectionsScarce(g.vmCount(now)) {
		ratio, slack = scarceBudgetShare, scarceBudgetShare
	}
	return g.settings.ExtraRequests.Scale(ratio, slack*g.slackShare)
}

func (g *Gateway) routeState(name cassiacatalog.RouteName, now time.Time) *routeState {
	r, ok := g.routes[name]
	if !ok {
		r = &routeState{deficit: make(map[cassiacatalog.ServiceName]float64), lastRequestAt: now}
		g.routes[name] = r
	}
	return r
}

func (g *Gateway) setServices(now time.Time, services map[cassiacatalog.ServiceName]cassiacatalog.Service) {
	for name, configured := range services {
		s := g.service(name)
		s.maxConnections, s.healthPath, s.coldRate = configured.MaxConnections, configured.HealthPath, configured.ColdRate
		s.retryBudget.Earn(now, g.allowance(now, s), 0)
	}
	g.listCold(now)
}

// setTargets replaces the list of targets. Measurements are kept for targets that stay; a target that restarted or moved
// to another address starts without any.
func (g *Gateway) setTargets(now time.Time, list []cassiadirectory.Target) {
	current := make(map[cassiaid.TargetName]*target, len(list))
	for _, s := range g.services {
		s.targets = s.targets[:0]
	}
	g.orderedTargets = g.orderedTargets[:0]
	g.targetsNumber++
	for _, listed := range list {
		s := g.service(listed.Service)
		t, ok := g.targets[listed.Name]
		if !ok || t.StartUnixMillis != listed.StartUnixMillis || t.Address != listed.Address || t.service != s {
			t = newTarget(listed, s, sliceKey(listed.Name, g.sliceCount), g.zoneLatency(listed.Zone))
			t.decayedAt = now
			g.beginRestored(now, t)
		}
		t.Target = listed
		t.leaving, t.pausedUntil = g.availability.Leaving(t.process()), g.availability.PausedUntil(t.process())
		if t.pause(now) > 0 {
			t.onTrial = true
		}
		current[listed.Name] = t
		s.targets = append(s.targets, t)
		g.orderedTargets = append(g.orderedTargets, t)
	}
	g.targets = current
	g.watched = slices.DeleteFunc(g.watched, func(t *target) bool { return current[t.Name] != t })
	g.listCold(now)
	for _, t := range g.orderedTargets {
		if t.onTrial || t.cold.imposed.Limited(now) {
			g.watch(t)
		}
		g.serveWaiting(now, t.service)
	}
}

// zoneLatency returns the relative latency of the targets of a zone.
func (g *Gateway) zoneLatency(zone cassiaid.Zone) *zoneLatency {
	z := g.zoneLatencies[zone]
	if z == nil {
		z = &zoneLatency{}
		g.zoneLatencies[zone] = z
	}
	return z
}

// scheduleWake emits a WakeAt for the earliest pending deadline, unless that time is already scheduled.
func (g *Gateway) scheduleWake(now time.Time) {
	var at time.Time
	sooner := func(t time.Time) {
		if !t.IsZero() && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	for _, q := range g.active {
		sooner(q.wakeAt(now))
	}
	for _, a := range g.unneeded {
		sooner(a.cancelAt)
	}
	for _, l := range g.links {
		sooner(l.silentAt())
	}
	sooner(g.isolation.nextCheckAt())
	sooner(g.nextProbeAt())
	sooner(g.nextLimitedAt(now))
	sooner(g.nextWarmAt())
	if !g.isolation.isolated {
		sooner(g.nextColdCheck)
	}
	sooner(g.share.NextChange(now))
	if at.IsZero() || at.Equal(g.wakeAt) {
		return
	}
	g.wakeAt = at
	g.emit(WakeAt{Time: at})
}

func (g *Gateway) tick(now time.Time) {
	g.unneeded = slices.DeleteFunc(g.unneeded, func(a *attempt) bool {
		if now.Before(a.cancelAt) {
			return false
		}
		a.cancelled = true
		g.emit(Cancel{Attempt: a.id})
		return true
	})
	g.failSilentLinks(now)
	if at := g.isolation.nextCheckAt(); !at.IsZero() && !now.Before(at) {
		g.checkIsolation(now)
	}
	g.serveRestricted(now)
	for _, q := range slices.Clone(g.active) {
		if q.forward != nil {
			g.advanceForwarded(now, q)
			continue
		}
		g.sendHedges(now, q)
		g.dropLate(now, q)
		g.advance(now, q)
	}
	g.sendProbes(now)
	g.checkCold(now)
}
