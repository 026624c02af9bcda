package cassiagateway

import (
	"cmp"
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
	// directAfterFailure is how long this VM sends attempts to a zone directly after the preferred aggregator there
	// failed. If direct attempts are answered, only the aggregator is down; if they are not, the zone is unreachable.
	directAfterFailure = 700 * time.Millisecond
	// minAggregatorBackoff is the backoff after an aggregator's first failure; it doubles with each further failure up
	// to maxAggregatorBackoff.
	minAggregatorBackoff = time.Second
	maxAggregatorBackoff = 8 * time.Second
	// sliceShards is the number of shards of the largest fan-out in a slice. A zone's targets are divided into slices where connections
	// are scarce; each slice has one aggregator. Larger slices merge more results in one place, smaller ones keep the processor of an
	// aggregator for a shorter time.
	sliceShards = 45
)

// aggregators holds the VMs that can send attempts to targets in their own zone on behalf of this VM. An aggregator
// merges the results before they leave the zone, which saves most of the traffic between zones.
type aggregators struct {
	byZone map[cassiaid.Zone][]*aggregator
	byName map[cassiaid.VMName]*aggregator
	// ranked holds the VMs of a zone by falling score for each key that was picked for since the last list of VMs.
	ranked map[rankingKey][]*aggregator
}

// rankingKey identifies an order of the VMs of a zone.
type rankingKey struct {
	key  string
	zone cassiaid.Zone
}

// aggregator is one VM that can act as an aggregator, with this VM's experience of it.
type aggregator struct {
	vm           VM
	failures     int
	failedAt     time.Time
	backoffUntil time.Time
}

// setVMs replaces the list of VMs and keeps the state of VMs that did not change.
func (a *aggregators) setVMs(vms []VM) {
	known := a.byName
	a.byName, a.byZone = make(map[cassiaid.VMName]*aggregator), make(map[cassiaid.Zone][]*aggregator)
	a.ranked = make(map[rankingKey][]*aggregator)
	for _, vm := range vms {
		agg := known[vm.Name]
		if agg == nil || agg.vm != vm {
			agg = &aggregator{vm: vm}
		}
		a.byName[vm.Name] = agg
		a.byZone[vm.Zone] = append(a.byZone[vm.Zone], agg)
	}
}

// pick returns the VM that should send attempts to a zone, or an empty name if this VM should send them itself: no VM
// of the zone is available, this VM has the highest score, or the VM with the highest score of all failed less than
// directAfterFailure ago. It uses rendezvous hashing weighted by the VMs' processors, so equal keys keep the same
// aggregator while it is available.
func (a *aggregators) pick(now time.Time, key string, self cassiaid.VMName, zone cassiaid.Zone) cassiaid.VMName {
	ranked := a.rank(key, zone)
	best := slices.IndexFunc(ranked, func(agg *aggregator) bool { return !now.Before(agg.backoffUntil) })
	if best < 0 || ranked[best].vm.Name == self {
		return ""
	}
	if first := ranked[0]; !first.failedAt.IsZero() && now.Sub(first.failedAt) < directAfterFailure {
		return ""
	}
	return ranked[best].vm.Name
}

// rank returns the VMs of a zone by falling score for a key.
func (a *aggregators) rank(key string, zone cassiaid.Zone) []*aggregator {
	k := rankingKey{key: key, zone: zone}
	ranked, known := a.ranked[k]
	if known {
		return ranked
	}
	scores := make(map[*aggregator]float64, len(a.byZone[zone]))
	for _, agg := range a.byZone[zone] {
		scores[agg] = agg.score(key)
	}
	ranked = slices.Clone(a.byZone[zone])
	slices.SortStableFunc(ranked, func(x, y *aggregator) int { return cmp.Compare(scores[y], scores[x]) })
	if a.ranked != nil {
		a.ranked[k] = ranked
	}
	return ranked
}

// score returns the weighted rendezvous score of the VM for a key; the highest one wins.
func (a *aggregator) score(key string) float64 {
	return cassiarendezvous.Score(xxhash.Sum64String(key+" "+string(a.vm.Name)), a.vm.Cores)
}

// resetFailures resets the backoff of an aggregator that responded.
func (a *aggregators) resetFailures(name cassiaid.VMName) {
	if agg := a.byName[name]; agg != nil {
		agg.failures = 0
	}
}

// backOff stops the use of an aggregator for a backoff period. It returns false if the VM is unknown or already backed
// off.
func (a *aggregators) backOff(now time.Time, name cassiaid.VMName) bool {
	agg := a.byName[name]
	if agg == nil || now.Before(agg.backoffUntil) {
		return false
	}
	agg.failedAt, agg.backoffUntil = now, now.Add(cassiabackoff.Delay(minAggregatorBackoff, maxAggregatorBackoff, agg.failures))
	agg.failures++
	return true
}

// backOffAggregator stops the use of a link's aggregator for a backoff period and emits a ViewChanged for the log. The connection of one
// that replied that it does not send for this VM stays open, since queries that the VMs serve for each other run on it.
func (g *Gateway) backOffAggregator(now time.Time, key linkKey, cause Outcome) {
	if g.aggregators.backOff(now, key.aggregator) {
		g.emit(ViewChanged{Event: EventAggregatorBackedOff, VM: key.aggregator, Zone: key.zone, Cause: cause})
		if cause != OutcomeTargetUnknown {
			g.emit(DropAggregator{VM: key.aggregator})
		}
	}
}

// aggregatorFor returns the VM that should send an attempt to a target, or an empty name if this VM should send it
// itself. Where a target accepts fewer connections than there are VMs, one VM of its zone sends to it for all VMs, over
// connections that are already open. Otherwise only attempts to other zones go through an aggregator.
func (g *Gateway) aggregatorFor(now time.Time, r *cassiacatalog.Route, t *target) cassiaid.VMName {
	if !r.FansOut() {
		return ""
	}
	k, through := g.rankingKeyOf(now, t)
	if !through {
		return ""
	}
	return g.aggregators.pick(now, k.key, g.settings.Name, k.zone)
}

// rankingKeyOf returns the key by which the aggregator for a target is picked, and false if this VM sends to the target itself.
func (g *Gateway) rankingKeyOf(now time.Time, t *target) (rankingKey, bool) {
	switch {
	case g.settings.Zone == "":
		return rankingKey{}, false
	case t.service.connectionsScarce(g.vmCount(now)):
		return rankingKey{key: t.slice, zone: t.Zone}, true
	case t.Zone == g.settings.Zone:
		return rankingKey{}, false
	default:
		return rankingKey{key: string(g.settings.Name), zone: t.Zone}, true
	}
}

// Aggregators returns the VMs through which this VM sends fan-outs now, so that connections to them can be open before a caller
// waits for that.
func (g *Gateway) Aggregators() []cassiaid.VMName {
	now := g.clock.Now()
	var picked []cassiaid.VMName
	for _, k := range g.aggregatorKeys {
		if vm := g.aggregators.pick(now, k.key, g.settings.Name, k.zone); vm != "" && !slices.Contains(picked, vm) {
			picked = append(picked, vm)
		}
	}
	return picked
}

// slicesFor returns the number of slices of each zone if the largest fan-out has so many shards. VMs with the same configuration agree
// on it.
func slicesFor(shards int) int { return max(1, (shards+sliceShards-1)/sliceShards) }

// sliceKey returns the rendezvous key of the slice that a target belongs to, of a number of slices.
func sliceKey(t cassiaid.TargetName, count int) string {
	return "slice " + strconv.FormatUint(xxhash.Sum64String(string(t))%uint64(count), 10)
}

// setSlices divides the targets into the number of slices for the largest fan-out.
func (g *Gateway) setSlices(largestFanOut int) {
	count := slicesFor(largestFanOut)
	if count == g.sliceCount {
		return
	}
	g.sliceCount = count
	for _, t := range g.orderedTargets {
		t.slice = sliceKey(t.Name, count)
	}
}

// openConnections opens the connections that the first fan-outs will need to targets in this VM's zone that it sends to itself, and
// collects the keys of the aggregators of the others.
func (g *Gateway) openConnections(now time.Time) {
	g.aggregatorKeys = g.aggregatorKeys[:0]
	known := make(map[rankingKey]bool)
	for _, t := range g.orderedTargets {
		if !g.fanOutServices[t.service.name] {
			continue
		}
		k, through := g.rankingKeyOf(now, t)
		if through && !known[k] {
			known[k] = true
			g.aggregatorKeys = append(g.aggregatorKeys, k)
		}
		direct := !through || g.aggregators.pick(now, k.key, g.settings.Name, k.zone) == ""
		if direct && t.Zone == g.settings.Zone && !t.warmed && g.fleetKnown {
			t.warmed, t.wantsProbe = true, true
			g.watch(t)
		}
	}
	g.sendProbes(now)
}
