package cassiagateway

import (
	"time"

	"cassiasaddle/core/cassiaid"
)

// idleLinkTime is how long no target of a zone has to have answered before the zone is worth a check. Where answers come more often, they
// show that the zone can be reached, and their absence is noticed by the requests that wait for them.
const idleLinkTime = time.Second

// checkedVMs is the number of VMs of a zone that are checked before the zone counts as out of reach, since a single one may have ended or be
// slow.
const checkedVMs = 2

// ZoneCheck is a zone whose reachability is not known from answers, and the VMs there to ask.
type ZoneCheck struct {
	Zone cassiaid.Zone
	VMs  []cassiaid.VMName
}

// ZoneChecks returns the other zones that fan-outs use and from which no target has answered for a while. In a large fleet each VM gets
// a request every few seconds, so that each would have a caller wait for a zone that was cut off.
func (g *Gateway) ZoneChecks() []ZoneCheck {
	now := g.clock.Now()
	heard, usable := make(map[cassiaid.Zone]bool), make(map[cassiaid.Zone]bool)
	for _, l := range g.links {
		heard[l.key.zone] = heard[l.key.zone] || now.Sub(l.lastAnswer) < idleLinkTime
	}
	for _, t := range g.orderedTargets {
		usable[t.Zone] = usable[t.Zone] || g.fanOutServices[t.service.name] && t.usable()
	}
	var checks []ZoneCheck
	for _, k := range g.aggregatorKeys {
		if k.zone == g.settings.Zone || heard[k.zone] || !usable[k.zone] {
			continue
		}
		// Each zone once, though it may have several aggregators.
		heard[k.zone] = true
		check := ZoneCheck{Zone: k.zone}
		for _, a := range g.aggregators.rank(k.key, k.zone) {
			if len(check.VMs) < checkedVMs {
				check.VMs = append(check.VMs, a.vm.Name)
			}
		}
		if len(check.VMs) == checkedVMs {
			checks = append(checks, check)
		}
	}
	return checks
}

// zoneUnreached ejects the targets of a zone whose VMs did not reply, unless a target there has answered since. Health checks bring them
// back.
func (g *Gateway) zoneUnreached(now time.Time, m ZoneUnreached) {
	for _, l := range g.links {
		if l.key.zone == m.Zone && l.lastAnswer.After(m.SentAt) {
			return
		}
	}
	g.ejectZone(now, m.Zone)
	for _, l := range g.sortedLinks() {
		if l.key.zone == m.Zone && l.key.aggregator != "" {
			g.backOffAggregator(now, l.key, OutcomeSilent)
		}
	}
}

// ejectZone takes all targets of a zone out of use until health checks are answered.
func (g *Gateway) ejectZone(now time.Time, zone cassiaid.Zone) {
	g.emit(ViewChanged{Event: EventZoneSilent, Zone: zone, Cause: OutcomeSilent})
	g.suspectIsolation(now, now.Add(-silenceTimeout))
	for _, t := range g.orderedTargets {
		if t.Zone == zone && !t.ejected() {
			t.eject(now)
			t.silent = true
			g.watch(t)
		}
	}
}
