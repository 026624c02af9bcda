package cassiagateway

import (
	"cmp"
	"slices"
	"time"

	"cassiasaddle/core/cassiabudget"
)

const (
	// coldFactor multiplies the score of a cold target whose rate is bounded, so that a warm one of the service is preferred unless the
	// wait for it is several times as long.
	coldFactor = 3.0
	// minColdCheckInterval is the shortest time between two health checks by which this VM learns that a target has become cold again.
	// With many VMs the time is coldCheckSpacing for each of them, so that a target gets about ten checks per second at most.
	minColdCheckInterval = time.Second
	coldCheckSpacing     = 100 * time.Millisecond
	// idleCheckFactor multiplies the time for a target to which this VM has sent nothing since the last check.
	idleCheckFactor = 4
	// maxColdChecks is the number of these checks that run at the same time. It leaves most probes to targets that are out of reach.
	maxColdChecks = 3
	// restoredRate is the rate, for each slot of a target, with which all VMs together begin to use it again after the evacuation of its
	// zone. It doubles each half second, so a target is fully used again after two or three seconds.
	restoredRate = cassiabudget.Rate(2)
	// restoredPeriod is how long after the evacuation of its zone a target that this VM has not used counts as restored.
	restoredPeriod = 3 * time.Second
)

// coldState is what this VM knows of the times in which a target is cold, and how it keeps requests from it then.
type coldState struct {
	// imposed is this VM's part of the rate that the VMs impose on themselves: while the target is cold, and in steps after that or
	// after the evacuation of its zone.
	imposed cassiabudget.RateLimit
	// statedUntil is the time until which the target is cold by its answers to health checks.
	statedUntil time.Time
	// bounded is true while the target is cold and its service has a rate for such targets.
	bounded bool
	// checking is true while a health check is running that is only to learn whether the target is cold.
	checking bool
	// checkedAt is when the last such check began, nextCheck when the next one is due.
	checkedAt, nextCheck time.Time
}

// coldUntil returns the time until which the target is cold.
func (t *target) coldUntil() time.Time {
	if t.cold.statedUntil.After(t.ColdUntil) {
		return t.cold.statedUntil
	}
	return t.ColdUntil
}

// hasRate reports whether the rate of requests to the target is limited, by the target itself or by the VMs.
func (t *target) hasRate(now time.Time) bool {
	return t.limit.Limited(now) || t.cold.imposed.Limited(now)
}

// rates returns the rates that this VM, and all VMs together, may use for a target with a limit. The lower limit binds.
func (g *Gateway) rates(now time.Time, t *target) (own, total cassiabudget.Rate) {
	place := g.place(now, t)
	for i, l := range []*cassiabudget.RateLimit{&t.limit, &t.cold.imposed} {
		if !l.Limited(now) {
			continue
		}
		if rate := l.Rate(now, place); i == 0 || !t.limit.Limited(now) || rate < own {
			own, total = rate, l.TotalRate(now)
		}
	}
	return own, total
}

// observeCold records what a target states in its answer to a health check about the time for which it stays cold.
func (g *Gateway) observeCold(now time.Time, t *target, left time.Duration) {
	if until := now.Add(left); left > 0 && until.After(t.coldUntil()) {
		t.cold.statedUntil = until
		g.updateCold(now, t)
	}
}

// updateCold bounds the rate of requests to a target while it is cold. Afterwards the rate rises in steps.
func (g *Gateway) updateCold(now time.Time, t *target) {
	rate := t.service.coldRate
	switch {
	case rate > 0 && now.Before(t.coldUntil()):
		// Without a bound in the settings the rate itself is the bound.
		plan := cassiabudget.PlanWithin(rate, float64(rate)*cmp.Or(g.settings.ColdExcess, 1)+g.settings.ColdSlack)
		t.cold.imposed.Impose(now, g.place(now, t), plan)
		if !t.cold.bounded {
			t.cold.bounded = true
			g.emit(ViewChanged{Event: EventCold, Target: t.Name, Zone: t.Zone, Rate: plan.Rate, Pause: t.coldUntil().Sub(now)})
		}
		g.throttle(now, t)
		g.dropRestricted(now, t.service)
	case t.cold.bounded:
		t.cold.bounded = false
		t.cold.imposed.Lift(now)
		g.emit(ViewChanged{Event: EventWarm, Target: t.Name, Zone: t.Zone})
	}
}

// throttle keeps track of a target with an imposed rate.
func (g *Gateway) throttle(now time.Time, t *target) {
	if t.cold.imposed.Limited(now) && !slices.Contains(g.throttled, t) {
		g.throttled = append(g.throttled, t)
	}
	g.watch(t)
}

// followThrottled lifts the imposed rates of targets that have become warm, and forgets those whose rate has risen to the end.
func (g *Gateway) followThrottled(now time.Time) {
	var free []*target
	g.throttled = slices.DeleteFunc(g.throttled, func(t *target) bool {
		if t.cold.bounded && !now.Before(t.coldUntil()) {
			g.updateCold(now, t)
		}
		limited := t.cold.imposed.Limited(now)
		if !limited {
			free = append(free, t)
		}
		return !limited
	})
	for _, t := range free {
		g.serveWaiting(now, t.service)
	}
}

// nextWarmAt returns when the next cold target becomes warm, or the zero time.
func (g *Gateway) nextWarmAt() time.Time {
	var at time.Time
	for _, t := range g.throttled {
		if until := t.coldUntil(); t.cold.bounded && (at.IsZero() || until.Before(at)) {
			at = until
		}
	}
	return at
}

// listCold applies a new list of targets to what is known of cold and restored ones.
func (g *Gateway) listCold(now time.Time) {
	g.throttled = slices.DeleteFunc(g.throttled, func(t *target) bool { return g.targets[t.Name] != t })
	g.coldChecked = g.coldChecked[:0]
	for _, t := range g.orderedTargets {
		g.updateCold(now, t)
		if t.service.coldRate == 0 || t.service.healthPath == "" {
			continue
		}
		if t.cold.nextCheck.IsZero() {
			// The VMs begin at different times, and know from the registration whether the target is cold now.
			t.cold.nextCheck = now.Add(time.Duration(g.random.Float64() * float64(g.coldCheckInterval(now, true))))
		}
		g.coldChecked = append(g.coldChecked, t)
	}
	g.scheduleColdCheck(now)
}

// beginRestored has a target that this VM has not used since the evacuation of its zone filled in steps.
func (g *Gateway) beginRestored(now time.Time, t *target) {
	if t.RestoredAt.IsZero() || now.Sub(t.RestoredAt) >= restoredPeriod {
		return
	}
	t.cold.imposed.Ramp(now, restoredRate*cassiabudget.Rate(max(1, t.Slots)))
	g.throttled = append(g.throttled, t)
}

// coldCheckInterval returns the time between two checks of a target by this VM.
func (g *Gateway) coldCheckInterval(now time.Time, idle bool) time.Duration {
	interval := max(minColdCheckInterval, time.Duration(g.vmCount(now))*coldCheckSpacing)
	if idle {
		interval *= idleCheckFactor
	}
	return interval
}

// usesTarget has a target checked soon to which a request is sent.
func (g *Gateway) usesTarget(now time.Time, t *target) {
	if t.service.coldRate == 0 || t.cold.checking {
		return
	}
	if due := t.cold.checkedAt.Add(g.coldCheckInterval(now, false)); due.Before(t.cold.nextCheck) {
		t.cold.nextCheck = due
		if due.Before(g.nextColdCheck) || g.nextColdCheck.IsZero() {
			g.nextColdCheck = due
		}
	}
}

// checkCold checks the health of the targets that are due, so that this VM learns which have become cold again. It checks none unless
// their services have a rate for cold targets.
func (g *Gateway) checkCold(now time.Time) {
	if g.nextColdCheck.IsZero() || now.Before(g.nextColdCheck) || g.isolation.isolated {
		return
	}
	for _, t := range g.coldChecked {
		if now.Before(t.cold.nextCheck) || t.probing || !t.usable() || g.runningColdChecks >= maxColdChecks || g.runningProbes >= maxConcurrentProbes {
			continue
		}
		t.cold.checkedAt = now
		// Intervals of different lengths keep the VMs from checking a target all at the same time.
		t.cold.nextCheck = now.Add(time.Duration((0.75 + 0.5*g.random.Float64()) * float64(g.coldCheckInterval(now, true))))
		t.probing, t.cold.checking = true, true
		g.runningProbes++
		g.runningColdChecks++
		g.emit(Probe{Target: t.Name, Address: t.Address, HealthPath: t.service.healthPath, HealthTimeout: g.checks.timeout(), Once: true})
	}
	g.scheduleColdCheck(now)
}

// coldCheckRetry is how long a check waits that is due but can't begin, since the target has another probe, is out of reach or too many
// checks are running.
const coldCheckRetry = 100 * time.Millisecond

// scheduleColdCheck computes when checkCold is due again.
func (g *Gateway) scheduleColdCheck(now time.Time) {
	g.nextColdCheck = time.Time{}
	for _, t := range g.coldChecked {
		if g.nextColdCheck.IsZero() || t.cold.nextCheck.Before(g.nextColdCheck) {
			g.nextColdCheck = t.cold.nextCheck
		}
	}
	if earliest := now.Add(coldCheckRetry); !g.nextColdCheck.IsZero() && g.nextColdCheck.Before(earliest) {
		g.nextColdCheck = earliest
	}
}

// coldCheckEnded records that a check of checkCold has ended; t is nil if its target is no longer listed. A check without an answer tells
// nothing: whether a target is out of reach is told by requests and by the other probes.
func (g *Gateway) coldCheckEnded(now time.Time, t *target, m ProbeEnded) {
	g.runningColdChecks--
	if t != nil && t.cold.checking {
		t.probing, t.cold.checking = false, false
		if m.Reached && !m.Reset {
			g.targetHeard(now)
			g.observeCold(now, t, m.ColdFor)
		}
	}
	g.sendProbes(now)
}
