package cassiagateway

import (
	"slices"
	"time"

	"cassiasaddle/core/cassiacatalog"
)

const (
	// minServableShare is the part of the recent requests that a VM has to be able to serve to take more.
	minServableShare = 0.5
	// recentHalfLife is the time in which a request's weight among the recent ones is halved.
	recentHalfLife = 3 * time.Second
	// minRefreshInterval is the least time between two wishes to read the list of targets anew.
	minRefreshInterval = time.Second
	// maxConcurrentProbes bounds the probes that run at a time.
	maxConcurrentProbes = 8
)

// refresh asks for the list of targets, unless it was asked for just before.
func (g *Gateway) refresh(now time.Time) {
	if !g.refreshedAt.IsZero() && now.Sub(g.refreshedAt) < minRefreshInterval {
		return
	}
	g.refreshedAt = now
	g.emit(Refresh{})
}

// sendProbes sends probes to ejected targets whose pause is over.
func (g *Gateway) sendProbes(now time.Time) {
	for _, t := range g.orderedTargets {
		due := t.wantsProbe || t.unreachedCount > 0 && !now.Before(t.ejectedUntil)
		if due && !t.replaced && !t.probing && g.probes < maxConcurrentProbes {
			t.probing, t.wantsProbe = true, false
			g.probes++
			g.emit(Probe{Target: t.Name, Address: t.Address})
		}
	}
}

func (g *Gateway) probeEnded(now time.Time, m ProbeEnded) {
	g.probes--
	t, ok := g.targets[m.Target]
	if !ok || !t.probing {
		return
	}
	wasEjected := t.ejected()
	t.probed(now, m.Reached)
	if m.Reached && wasEjected {
		g.emit(Noted{Event: EventReached, Target: t.Name, Zone: t.Zone})
		g.probeZone(now, t)
		g.serveWaiting(now, t.service)
	}
	g.sendProbes(now)
}

// probeZone has the other targets of a zone probed at once, since the whole zone may be back.
func (g *Gateway) probeZone(now time.Time, reached *target) {
	for _, t := range g.orderedTargets {
		if t.Zone == reached.Zone && t.ejected() && now.Before(t.ejectedUntil) {
			t.ejectedUntil = now
		}
	}
}

// nextProbeAt returns when a probe is next due, or the zero time.
func (g *Gateway) nextProbeAt() time.Time {
	var at time.Time
	if g.probes >= maxConcurrentProbes {
		return at
	}
	for _, t := range g.orderedTargets {
		if t.unreachedCount > 0 && !t.replaced && !t.probing && (at.IsZero() || t.ejectedUntil.Before(at)) {
			at = t.ejectedUntil
		}
	}
	return at
}

// CanServe tells whether enough of the recent requests could be served now. A VM that can't reach the targets that its
// callers ask for should leave them to others.
func (g *Gateway) CanServe() bool {
	total, servable := 0.0, 0.0
	for _, r := range g.routes {
		if r.route == nil || r.recent == 0 {
			continue
		}
		total += r.recent
		if g.servable(r) {
			servable += r.recent
		}
	}
	return total == 0 || servable >= minServableShare*total
}

// servable tells whether enough shards of a route can be reached, as far as that is this VM's concern.
func (g *Gateway) servable(r *routeState) bool {
	route := r.route
	unreachableService := func(name cassiacatalog.ServiceName) bool {
		s := g.services[name]
		return s != nil && s.allTargetsEjected()
	}
	if !route.FansOut() {
		return slices.ContainsFunc(route.Split, func(p cassiacatalog.Part) bool { return !unreachableService(p.Service) })
	}
	reachable := 0
	for _, name := range route.Shards {
		if !unreachableService(name) {
			reachable++
		}
	}
	return reachable >= requiredShards(route, len(route.Shards))
}
