package cassiagateway

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"cassiasaddle/core/cassiabackoff"
	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiarendezvous"
)

const (
	// directAfterFailure is how long this VM sends the attempts to a zone itself after a path there was doubted, which tells
	// a lost VM from a zone that is cut off.
	directAfterFailure = 700 * time.Millisecond
	// A doubted path is left alone for so long, doubled with each failure after it.
	minAggregatorBackoff = time.Second
	maxAggregatorBackoff = 8 * time.Second
	// slicesPerZone is among how many VMs the targets of a zone are divided where connections are scarce. Fewer merge more,
	// more divide the work better.
	slicesPerZone = 6
	// otherZoneFactor makes targets outside of the preferred zone look slower, so that the parts of an answer come from few
	// zones.
	otherZoneFactor = 1.15
)

// aggregators are the VMs that can send attempts to the targets of their zones. Merging parts where the targets are saves most of
// the bytes between zones.
type aggregators struct {
	byZone map[cassiaid.Zone][]*aggregator
	byName map[cassiaid.VMName]*aggregator
}

// aggregator is what is known of the way by one VM.
type aggregator struct {
	vm           VM
	warmed       bool
	failures     int
	failedAt     time.Time
	backoffUntil time.Time
}

// setVMs replaces the VMs and keeps what is known of those that stay.
func (a *aggregators) setVMs(vms []VM) {
	known := a.byName
	a.byName, a.byZone = make(map[cassiaid.VMName]*aggregator), make(map[cassiaid.Zone][]*aggregator)
	for _, vm := range vms {
		agg := known[vm.Name]
		if agg == nil || agg.vm != vm {
			agg = &aggregator{vm: vm}
		}
		a.byName[vm.Name] = agg
		a.byZone[vm.Zone] = append(a.byZone[vm.Zone], agg)
	}
}

// pick returns the VM by which a zone should be reached, or an empty name for this VM itself. Who has the same key keeps pick the
// same VM of a zone while that lasts, by rendezvous hash weighted with the VMs' processors.
func (a *aggregators) pick(now time.Time, key string, self cassiaid.VMName, zone cassiaid.Zone) cassiaid.VMName {
	var first, best *aggregator
	var firstScore, bestScore float64
	for _, agg := range a.byZone[zone] {
		score := agg.score(key)
		if first == nil || score > firstScore {
			first, firstScore = agg, score
		}
		if !now.Before(agg.backoffUntil) && (best == nil || score > bestScore) {
			best, bestScore = agg, score
		}
	}
	if best == nil || best.vm.Name == self {
		return ""
	}
	if !first.failedAt.IsZero() && now.Sub(first.failedAt) < directAfterFailure {
		return ""
	}
	return best.vm.Name
}

// score is the weighted rendezvous score of a VM for a key.
func (a *aggregator) score(key string) float64 {
	return cassiarendezvous.Score(xxhash.Sum64String(key+" "+string(a.vm.Name)), a.vm.Cores)
}

// resetFailures notes an answer by way of a VM.
func (a *aggregators) resetFailures(name cassiaid.VMName) {
	if agg := a.byName[name]; agg != nil {
		agg.failures = 0
	}
}

// backOff leaves the path by a VM alone for some time; it returns false if that was so already.
func (a *aggregators) backOff(now time.Time, name cassiaid.VMName) bool {
	agg := a.byName[name]
	if agg == nil || now.Before(agg.backoffUntil) {
		return false
	}
	agg.failedAt, agg.backoffUntil = now, now.Add(cassiabackoff.Pause(minAggregatorBackoff, maxAggregatorBackoff, agg.failures))
	agg.failures++
	return true
}

// backOffAggregator leaves the path by a VM alone for some time.
func (g *Gateway) backOffAggregator(now time.Time, key linkKey, cause Outcome) {
	if g.aggregators.backOff(now, key.aggregator) {
		g.emit(Noted{Event: EventPathDoubted, VM: key.aggregator, Zone: key.zone, Cause: cause})
	}
}

// aggregatorFor returns the VM that is to send an attempt to a target, or an empty name for this VM. Where a target takes fewer
// connections than there are VMs, one VM of its zone sends to it for all; it has connections that are warm. Else only
// attempts at other zones go by another VM.
func (g *Gateway) aggregatorFor(now time.Time, r *cassiacatalog.Route, t *target) cassiaid.VMName {
	if !r.FansOut() || g.settings.Zone == "" {
		return ""
	}
	if t.service.connectionsScarce(g.vmCount(now)) {
		return g.aggregators.pick(now, sliceKey(t), g.settings.Name, t.Zone)
	}
	if t.Zone == g.settings.Zone {
		return ""
	}
	return g.aggregators.pick(now, string(g.settings.Name), g.settings.Name, t.Zone)
}

func sliceKey(t *target) string {
	return "slice " + strconv.FormatUint(xxhash.Sum64String(string(t.Name))%slicesPerZone, 10)
}

// openConnections opens the connections that the first requests will need: to the targets that this VM sends to, and to the VMs that send
// for it in its zone.
func (g *Gateway) openConnections(now time.Time) {
	for _, t := range g.orderedTargets {
		if t.Zone != g.settings.Zone || !g.fanOutServices[t.service.name] {
			continue
		}
		aggregator := cassiaid.VMName("")
		if t.service.connectionsScarce(g.vmCount(now)) {
			aggregator = g.aggregators.pick(now, sliceKey(t), g.settings.Name, t.Zone)
		}
		if agg := g.aggregators.byName[aggregator]; agg != nil && !agg.warmed {
			agg.warmed = true
			g.emit(Warm{VM: aggregator})
		}
		if aggregator == "" && !t.warmed && g.fleetKnown {
			t.warmed, t.wantsProbe = true, true
		}
	}
	g.sendProbes(now)
}

// preferredZone returns the zone whose targets a query should ask: the own one if it has any, else one that this VM keeps to.
func (g *Gateway) preferredZone(r *cassiacatalog.Route) cassiaid.Zone {
	if !r.FansOut() {
		return g.settings.Zone
	}
	var zones []cassiaid.Zone
	seen := map[cassiaid.Zone]bool{}
	for _, t := range g.service(r.Shards[0]).targets {
		if t.Zone == g.settings.Zone {
			return t.Zone
		}
		if !seen[t.Zone] {
			seen[t.Zone] = true
			zones = append(zones, t.Zone)
		}
	}
	if len(zones) == 0 {
		return ""
	}
	slices.Sort(zones)
	return zones[xxhash.Sum64String(string(g.settings.Name))%uint64(len(zones))]
}
