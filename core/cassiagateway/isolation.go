package cassiagateway

import (
	"slices"
	"time"

	"cassiasaddle/core/cassiaid"
)

const (
	// isolationSample is the number of targets that are probed at once to tell a VM that is cut off from targets that fail.
	isolationSample = 5
	// minIsolationChecks is the minimum time between the starts of two such checks while the VM is not isolated.
	minIsolationChecks = time.Second
	// isolatedCheckInterval is the time between them while it is.
	isolatedCheckInterval = 500 * time.Millisecond
)

// isolation tells whether this VM reaches any target at all. A target that leaves an attempt unanswered may be at fault itself. So when
// no other target has answered since, the health of some more is checked; if none of these answers either, the VM is isolated until
// one does. Connections may be accepted on the way, so an accepted one counts only where targets have no health check.
type isolation struct {
	isolated bool
	// heardAt is when a target last answered this VM, or accepted a connection where that is conclusive.
	heardAt time.Time
	// checkedAt is when the last check began; pending holds the targets whose probes are still running.
	checkedAt time.Time
	pending   map[cassiaid.TargetName]bool
	// unreached is the number of probes of the check that failed.
	unreached int
	// opensNothing is true if all probes of the last check failed, even if open connections still bring answers.
	opensNothing bool
}

// nextCheckAt returns when the next check is due while the VM is isolated, or the zero time.
func (i *isolation) nextCheckAt() time.Time {
	if !i.isolated || len(i.pending) > 0 {
		return time.Time{}
	}
	return i.checkedAt.Add(isolatedCheckInterval)
}

// mayCheck reports whether a check may begin because something that was sent at a time had no answer.
func (i *isolation) mayCheck(now, sentAt time.Time) bool {
	return !i.heardAt.After(sentAt) && i.checkDue(now)
}

// checkDue reports whether this VM is not isolated as far as it knows, and the last check has ended and is not too recent.
func (i *isolation) checkDue(now time.Time) bool {
	return !i.isolated && len(i.pending) == 0 && (i.checkedAt.IsZero() || now.Sub(i.checkedAt) >= minIsolationChecks)
}

// Isolated reports whether this VM reaches no target, so that other VMs should not have it send for them.
func (g *Gateway) Isolated() bool { return g.isolation.isolated }

// targetHeard records that a target answered this VM itself.
func (g *Gateway) targetHeard(now time.Time) { g.isolation.heardAt = now }

// suspectIsolation checks whether this VM is isolated, since a target did not answer what this VM itself sent at a time.
func (g *Gateway) suspectIsolation(now, sentAt time.Time) {
	if g.isolation.mayCheck(now, sentAt) {
		g.checkIsolation(now)
	}
}

// checkIsolation checks the health of a sample of targets, of different services as far as there are as many.
func (g *Gateway) checkIsolation(now time.Time) {
	i := &g.isolation
	i.checkedAt, i.unreached, i.pending = now, 0, make(map[cassiaid.TargetName]bool)
	var sampled []*service
	for try := range 2 * isolationSample * isolationSample {
		if len(i.pending) >= isolationSample || len(g.orderedTargets) == 0 {
			break
		}
		t := g.orderedTargets[int(g.random.Float64()*float64(len(g.orderedTargets)))]
		anyService := try >= isolationSample*isolationSample
		if t.leaving || t.replaced || t.Unregistered || t.probing || !anyService && slices.Contains(sampled, t.service) {
			continue
		}
		sampled = append(sampled, t.service)
		g.probe(now, t, true)
		if g.checks.patient != t.Name {
			i.pending[t.Name] = true
		}
	}
}

// probeKind is what a probe can tell about the links of this VM.
type probeKind struct {
	sentAt time.Time
	// ejected is true if its target was known to be out of reach.
	ejected bool
	// conclusive is true if only the target itself can have brought it to an end.
	conclusive bool
}

// isolationProbed records the result of a probe. One that belongs to no check gives rise to one if it fails, unless its target is known to be
// out of reach.
func (g *Gateway) isolationProbed(now time.Time, m ProbeEnded, kind probeKind) {
	i := &g.isolation
	if m.Reached && !m.Reset {
		if !kind.conclusive {
			return
		}
		clear(i.pending)
		i.opensNothing = false
		g.targetHeard(now)
		g.endIsolation(now)
		return
	}
	if !i.pending[m.Target] {
		if !kind.ejected {
			g.suspectIsolation(now, kind.sentAt)
		}
		return
	}
	delete(i.pending, m.Target)
	i.unreached++
	if len(i.pending) > 0 {
		return
	}
	i.opensNothing = true
	if !i.isolated && !i.heardAt.After(i.checkedAt) {
		g.beginIsolation(now)
	}
}

// forwardUnreachable passes a query whose targets this VM does not reach to another VM, if the links of this VM are at fault. It returns
// whether it did. A check tells them from targets that have failed.
func (g *Gateway) forwardUnreachable(now time.Time, q *query) bool {
	i := &g.isolation
	if i.checkDue(now) {
		g.checkIsolation(now)
	}
	return i.opensNothing && g.forward(now, q, RefusalUnreachable)
}

// beginIsolation has other VMs serve the queries that no target may have run.
func (g *Gateway) beginIsolation(now time.Time) {
	g.isolation.isolated = true
	g.emit(ViewChanged{Event: EventIsolated, Cause: OutcomeUnsent, Unreached: g.isolation.unreached})
	for _, q := range slices.Clone(g.active) {
		switch {
		case q.finished || q.mayHaveRun || q.hasBegun():
		case q.forOther:
			g.refuse(now, q, RefusalIsolated)
		default:
			g.forwardUnsent(now, q)
		}
	}
}

// endIsolation makes probes to all ejected targets due at once, since they may be reachable again.
func (g *Gateway) endIsolation(now time.Time) {
	if !g.isolation.isolated {
		return
	}
	g.isolation.isolated = false
	g.emit(ViewChanged{Event: EventReconnected})
	for _, t := range g.watched {
		if t.ejected() && now.Before(t.ejectedUntil) {
			t.ejectedUntil = now
		}
	}
}

// observeReach records what the outcome of an attempt that this VM sent itself tells about its links.
func (g *Gateway) observeReach(now, sentAt time.Time, outcome Outcome) {
	switch answered, unanswered := outcome.Reached(); {
	case answered:
		g.targetHeard(now)
	case unanswered:
		g.suspectIsolation(now, sentAt)
	}
}
