package cassiagateway

import (
	"slices"
	"time"

	"cassiasaddle/core/cassiacatalog"
)

const (
	// minServableShare is the share of recent requests that a VM must be able to serve to stay ready.
	minServableShare = 0.5
	// recentHalfLife is the half-life of a request's weight in the number of recent requests.
	recentHalfLife = 3 * time.Second
	// minRefreshInterval is the minimum time between two Refresh effects.
	minRefreshInterval = time.Second
	// maxConcurrentProbes limits the probes that run at the same time.
	maxConcurrentProbes = 8
)

// refresh asks for a new list of targets, unless one was requested less than minRefreshInterval ago.
func (g *Gateway) refresh(now time.Time) {
	if !g.refreshedAt.IsZero() && now.Sub(g.refreshedAt) < minRefreshInterval {
		return
	}
	g.refreshedAt = now
	g.emit(Refresh{})
}

// sendProbes probes ejected targets whose ejection period is over, and targets that need an open connection. While this VM is isolated, only
// samples of targets are probed.
func (g *Gateway) sendProbes(now time.Time) {
	if g.isolation.isolated {
		return
	}
	for _, t := range g.watched {
		if t.leaving {
			continue
		}
		due := t.wantsProbe || t.ejections > 0 && !now.Before(t.ejectedUntil)
		if due && !t.replaced && !t.probing && g.runningProbes < maxConcurrentProbes {
			g.probe(now, t, t.silent)
		}
	}
}

// probe opens a connection to a target, and checks its health if that is wanted and the target has a health check.
func (g *Gateway) probe(now time.Time, t *target, checkHealth bool) {
	e := Probe{Target: t.Name, Address: t.Address}
	if checkHealth && t.service.healthPath != "" {
		e.HealthPath, e.HealthTimeout = t.service.healthPath, g.checks.begin(t.Name)
	}
	t.probing, t.wantsProbe, t.probedAt, t.checked = true, false, now, e.HealthPath != ""
	g.runningProbes++
	g.emit(e)
}

func (g *Gateway) probeEnded(now time.Time, m ProbeEnded) {
	g.runningProbes--
	g.checks.end(m.Target)
	t, ok := g.targets[m.Target]
	if m.Once {
		g.coldCheckEnded(now, t, m)
		return
	}
	if !ok || !t.probing || t.cold.checking {
		g.isolationProbed(now, m, probeKind{sentAt: now, ejected: true, conclusive: true})
		return
	}
	g.observeCold(now, t, m.ColdFor)
	if t.checked {
		g.checks.observe(now.Sub(t.probedAt), m.Reached && !m.Reset)
	}
	wasEjected := t.ejected()
	if m.Broken && !wasEjected {
		t.probing = false
		t.failed(now, OutcomeBroken, g.decayInterval())
	} else {
		t.probed(now, m.Reached && !m.Broken)
	}
	g.watch(t)
	g.isolationProbed(now, m, probeKind{sentAt: t.probedAt, ejected: wasEjected, conclusive: t.checked || t.service.healthPath == ""})
	if m.Reached && !m.Broken && wasEjected {
		g.emit(ViewChanged{Event: EventReached, Target: t.Name, Zone: t.Zone})
		g.probeZone(now, t)
		g.serveWaiting(now, t.service)
	}
	g.sendProbes(now)
}

// probeZone makes probes to the other ejected targets of a zone due at once, since the whole zone may be reachable
// again. After an answer, a connection is enough to tell that.
func (g *Gateway) probeZone(now time.Time, reached *target) {
	for _, t := range g.watched {
		if t.Zone != reached.Zone || !t.ejected() {
			continue
		}
		t.silent = t.silent && !reached.checked
		if now.Before(t.ejectedUntil) {
			t.ejectedUntil = now
		}
	}
}

// nextProbeAt returns when the next probe is due, or the zero time if none is or the limit of concurrent probes is
// reached.
func (g *Gateway) nextProbeAt() time.Time {
	var at time.Time
	if g.runningProbes >= maxConcurrentProbes || g.isolation.isolated {
		return at
	}
	for _, t := range g.watched {
		if t.ejections > 0 && !t.replaced && !t.leaving && !t.probing && (at.IsZero() || t.ejectedUntil.Before(at)) {
			at = t.ejectedUntil
		}
	}
	return at
}

// CanServe reports whether this VM reaches any target, and at least half of the recent requests could be served now; it is true before
// the first request. The recent requests of a route are counted as of its last request, so they do not decay while it has none. A
// VM that cannot reach the targets of its callers should report itself as not ready, so that the callers use other VMs.
func (g *Gateway) CanServe() bool {
	if g.isolation.isolated {
		return false
	}
	total, servable := 0.0, 0.0
	for _, r := range g.routes {
		if r.route == nil || r.recentRequests == 0 {
			continue
		}
		total += r.recentRequests
		if g.servable(r) {
			servable += r.recentRequests
		}
	}
	return total == 0 || servable >= minServableShare*total
}

// servable reports whether enough shards of a route are reachable from this VM. A service without any targets counts as
// reachable, since other VMs have none either.
func (g *Gateway) servable(r *routeState) bool {
	route := r.route
	allowed := g.zonesIn(allowedRegions(route, nil))
	unreachableService := func(name cassiacatalog.ServiceName) bool {
		s := g.services[name]
		return s != nil && s.allTargetsEjected(allowed)
	}
	if !route.FansOut() {
		return slices.ContainsFunc(route.Split, func(p cassiacatalog.WeightedService) bool { return !unreachableService(p.Service) })
	}
	reachable := 0
	for _, name := range route.Shards {
		if !unreachableService(name) {
			reachable++
		}
	}
	return reachable >= requiredShards(route, len(route.Shards))
}
