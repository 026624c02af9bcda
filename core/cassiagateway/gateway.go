package cassiagateway

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cassiasaddle/core/cassiabudget"
	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiaclock"
	"cassiasaddle/core/cassiadirectory"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassialatency"
)

// Random gives random numbers; *rand.Rand of math/rand/v2 is one.
type Random interface{ Float64() float64 }

// Settings are the bounds that hold for all VMs together.
type Settings struct {
	// Retries is how many requests beyond the first a service may get.
	Retries cassiabudget.Allowance
	// VMs is how many VMs are assumed until a list of them is known.
	VMs int
	// Name and Zone are those of this VM.
	Name cassiaid.VMName
	Zone cassiaid.Zone
}

const (
	// plannedBudgetShare is the part of the shared retry budget that VMs plan with; the rest covers requests that are counted in
	// another window than their repeats.
	plannedBudgetShare = 0.85
	// scarceBudgetShare is the part of the allowance that VMs plan with where another VM pays for most attempts.
	scarceBudgetShare = 0.1
	defaultVMs        = 8
	// effectsCapacity is the usual number of effects of one message, the first allocation.
	effectsCapacity = 8
)

// Gateway serves the requests of one VM.
type Gateway struct {
	clock    cassiaclock.Clock
	random   Random
	settings Settings
	// share is this VM's part of what all VMs share.
	share cassiabudget.Share[cassiaid.VMName]
	// slackShare is the slackShare of the slack that this VM plans with since the last message.
	slackShare float64
	services   map[cassiacatalog.ServiceName]*service
	targets    map[cassiaid.TargetName]*target
	queries    map[QueryID]*query
	// active are the queries in the order of their arrival.
	active   []*query
	attempts map[cassiaid.AttemptID]*attempt
	routes   map[cassiacatalog.RouteName]*routeState
	// unneeded are the attempts that nobody needs any more.
	unneeded []*attempt
	// orderedTargets are the targets in the order of the directory.
	orderedTargets []*target
	links          map[linkKey]*link
	aggregators    aggregators
	probes         int
	// fanOutServices are the shards of all routes.
	fanOutServices map[cassiacatalog.ServiceName]bool
	fleetKnown     bool
	// lastArrival is when the last request came, interval the mean time between requests.
	lastArrival     time.Time
	arrivalInterval time.Duration
	nextID          cassiaid.AttemptID
	// refreshedAt is when the list of targets was last asked for.
	refreshedAt time.Time
	effects     []Effect
	wakeAt      time.Time
}

// routeState is what is learned of a route.
type routeState struct {
	latency cassialatency.Latency
	// deficit holds how much of its weight each part of a split has been served short.
	deficit map[cassiacatalog.ServiceName]float64
	// route is the one of the last request; recent counts the requests of late.
	route  *cassiacatalog.Route
	recent float64
	used   time.Time
	// waitCorrection is what late requests have taught.
	waitCorrection waitCorrection
}

// countRequest counts a request.
func (r *routeState) countRequest(now time.Time, route *cassiacatalog.Route) {
	r.recent = r.recent*math.Exp2(-now.Sub(r.used).Seconds()/recentHalfLife.Seconds()) + 1
	r.route, r.used = route, now
}

// NewGateway returns a gateway without targets.
func NewGateway(clock cassiaclock.Clock, random Random, settings Settings) *Gateway {
	if settings.VMs <= 0 {
		settings.VMs = defaultVMs
	}
	return &Gateway{
		// Attempts are told apart by other VMs, too, which may still hold those of an earlier run.
		nextID: cassiaid.AttemptID(random.Float64() * (1 << 48)),
		clock:  clock, random: random, settings: settings,
		share:    cassiabudget.Share[cassiaid.VMName]{Self: settings.Name, Window: settings.Retries.Window},
		services: make(map[cassiacatalog.ServiceName]*service),
		targets:  make(map[cassiaid.TargetName]*target),
		queries:  make(map[QueryID]*query),
		attempts: make(map[cassiaid.AttemptID]*attempt),
		routes:   make(map[cassiacatalog.RouteName]*routeState),
		links:    make(map[linkKey]*link),
	}
}

// Update takes one message and returns what the caller has to do.
func (g *Gateway) Update(m Message) []Effect {
	now := g.clock.Now()
	g.effects = make([]Effect, 0, effectsCapacity)
	g.updateSlackShare(now)
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
	case CallerGone:
		g.callerGone(now, m.Query)
	case TargetsChanged:
		g.setTargets(now, m.Targets)
		g.openConnections(now)
	case ServicesChanged:
		g.setServices(now, m.Services)
		g.fanOutServices = m.FanOut
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
	g.scheduleWake(now)
	return g.effects
}

func (g *Gateway) setFleet(now time.Time, vms []VM) {
	names := make([]cassiaid.VMName, len(vms))
	for i, vm := range vms {
		names[i] = vm.Name
	}
	g.share.List(now, names)
	g.aggregators.setVMs(vms)
	g.fleetKnown = len(vms) > 0
}

// updateSlackShare follows the part of the slack that this VM plans with. The time until now earned by the part in force before.
func (g *Gateway) updateSlackShare(now time.Time) {
	slackShare := g.share.Part(now)
	if slackShare == g.slackShare {
		return
	}
	for _, s := range g.services {
		s.retryBudget.Earn(now, g.allowance(now, s), 0)
	}
	g.slackShare = slackShare
	g.emit(RetriesPlanned{VMs: g.vmCount(now), Slack: slackShare * g.settings.Retries.Slack})
}

// vmCount returns among how many VMs what they share is divided, those included that fell off the list of late.
func (g *Gateway) vmCount(now time.Time) int { return cmp.Or(g.share.Members(now), g.settings.VMs) }

// cancelAfter has an attempt cancelled at a time unless it has ended by then.
func (g *Gateway) cancelAfter(a *attempt, cancelAt time.Time) {
	if a.cancelAt.IsZero() {
		g.unneeded = append(g.unneeded, a)
	}
	a.cancelAt = cancelAt
}

// decayInterval is how long knowledge of targets lasts: longer where requests are rare, since each slow target would else be
// found anew by every few of them.
func (g *Gateway) decayInterval() time.Duration {
	return min(maxDecayInterval, max(minDecayInterval, decayRequests*g.arrivalInterval))
}

// observeArrival follows the mean time between requests.
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
		s = &service{name: name, retryBudget: cassiabudget.Metered{Split: cassiabudget.Saving}}
		g.services[name] = s
	}
	return s
}

// allowance is the part of the retry budget of a service that this VM plans with: little where another VM pays for most
// attempts.
func (g *Gateway) allowance(now time.Time, s *service) cassiabudget.Allowance {
	ratio, slack := plannedBudgetShare, 1.0
	if s.connectionsScarce(g.vmCount(now)) {
		ratio, slack = scarceBudgetShare, scarceBudgetShare
	}
	return g.settings.Retries.Part(ratio, slack*g.slackShare)
}

func (g *Gateway) routeState(name cassiacatalog.RouteName, now time.Time) *routeState {
	r, ok := g.routes[name]
	if !ok {
		r = &routeState{deficit: make(map[cassiacatalog.ServiceName]float64), used: now}
		g.routes[name] = r
	}
	return r
}

func (g *Gateway) setServices(now time.Time, services map[cassiacatalog.ServiceName]cassiacatalog.Service) {
	for name, configured := range services {
		s := g.service(name)
		s.maxConnections = configured.MaxConnections
		s.retryBudget.Earn(now, g.allowance(now, s), 0)
	}
}

// setTargets keeps what is known of targets that stay; another process of the same target starts anew.
func (g *Gateway) setTargets(now time.Time, list []cassiadirectory.Target) {
	current := make(map[cassiaid.TargetName]*target, len(list))
	for _, s := range g.services {
		s.targets = s.targets[:0]
	}
	g.orderedTargets = g.orderedTargets[:0]
	for _, listed := range list {
		s := g.service(listed.Service)
		t, ok := g.targets[listed.Name]
		if !ok || t.Born != listed.Born || t.Address != listed.Address || t.service != s {
			t = newTarget(listed, s)
			t.decayedAt = now
		}
		t.Target = listed
		current[listed.Name] = t
		s.targets = append(s.targets, t)
		g.orderedTargets = append(g.orderedTargets, t)
	}
	g.targets = current
	for _, t := range g.orderedTargets {
		g.serveWaiting(now, t.service)
	}
}

// scheduleWake asks for a tick when the next thing is due.
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
	sooner(g.nextProbeAt())
	sooner(g.share.Due(now))
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
	for _, q := range slices.Clone(g.active) {
		g.sendHedges(now, q)
		g.dropLate(now, q)
		g.advance(now, q)
	}
	g.sendProbes(now)
}
