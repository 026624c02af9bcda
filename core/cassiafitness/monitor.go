package cassiafitness

import (
	"math"
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassialatency"
)

const (
	// minSamples is the number of answers of a route that must have been measured before its attempts can count as stalled.
	minSamples = 10
	// maxRoutes is the maximum number of routes with a latency estimate; the next route discards all estimates.
	maxRoutes = 256
	// failureWeight is the weight of the newest attempt in a target's failure share, an exponentially weighted average. The share
	// halves every failureHalfLife, so that a target that gets no attempts is tried again.
	failureWeight   = 0.15
	failureHalfLife = time.Second
	// maxFailureShare is the failure share above which a target is unfit; two failures in a row exceed it.
	maxFailureShare = 0.25
	// negligibleFailureShare is the failure share below which an idle target is forgotten.
	negligibleFailureShare = 0.01
)

// Monitor decides whether targets are fit from the duration and outcome of their attempts. The zero value is ready to use. A
// Monitor is not safe for concurrent use.
type Monitor struct {
	routes  map[string]*cassialatency.Latency
	targets map[cassiaid.TargetName]*target
}

// target is the state of one target; failureShare is its value at decayedAt.
type target struct {
	running      []*Attempt
	failureShare float64
	decayedAt    time.Time
}

// decay reduces failureShare by the time since decayedAt.
func (t *target) decay(now time.Time) {
	t.failureShare *= math.Exp2(-now.Sub(t.decayedAt).Seconds() / failureHalfLife.Seconds())
	t.decayedAt = now
}

// fit reports whether the target may get attempts: none of its running attempts has reached its stall limit, and its failure share
// is at most maxFailureShare.
func (t *target) fit(now time.Time) bool {
	for _, a := range t.running {
		if a.stallAfter > 0 && now.Sub(a.startedAt) > a.stallAfter {
			return false
		}
	}
	return t.failureShare <= maxFailureShare
}

// forgettable reports whether the target has no running attempts and a negligible failure share.
func (t *target) forgettable() bool {
	return len(t.running) == 0 && t.failureShare < negligibleFailureShare
}

// Attempt is a running attempt, from Begin to End.
type Attempt struct {
	target    cassiaid.TargetName
	route     string
	startedAt time.Time
	// stallAfter is the age above which the target counts as stalled; zero when the route has fewer than minSamples samples.
	stallAfter time.Duration
}

// Result is the outcome of an attempt as far as it concerns the fitness of its target.
type Result int

// Results of attempts.
const (
	// Answered means that the target sent a complete answer.
	Answered Result = iota
	// Failed means that the target failed.
	Failed
	// Unknown means that the attempt ended for a reason that does not concern the target.
	Unknown
)

// Begin records the start of an attempt of a route at a target. It returns nil when the target is unfit and force is false;
// otherwise the caller must call End.
func (m *Monitor) Begin(now time.Time, name cassiaid.TargetName, route string, force bool) *Attempt {
	t := m.targets[name]
	if t == nil {
		if m.targets == nil {
			m.targets = make(map[cassiaid.TargetName]*target)
		}
		m.sweep(now)
		t = &target{decayedAt: now}
		m.targets[name] = t
	}
	t.decay(now)
	if !force && !t.fit(now) {
		return nil
	}
	a := &Attempt{target: name, route: route, startedAt: now}
	if l := m.routes[route]; l != nil && l.Samples() >= minSamples {
		a.stallAfter = StallLimit(l.Quantile(0.5))
	}
	t.running = append(t.running, a)
	return a
}

// End records the end of an attempt that Begin returned.
func (m *Monitor) End(now time.Time, a *Attempt, result Result) {
	t := m.targets[a.target]
	for i, other := range t.running {
		if other == a {
			t.running = append(t.running[:i], t.running[i+1:]...)
			break
		}
	}
	t.decay(now)
	switch result {
	case Answered:
		t.failureShare -= failureWeight * t.failureShare
		m.latency(a.route).Observe(now.Sub(a.startedAt))
	case Failed:
		t.failureShare += failureWeight * (1 - t.failureShare)
	}
	if t.forgettable() {
		delete(m.targets, a.target)
	}
}

// sweep examines two targets and deletes those that can be forgotten. It runs for each new target, so the number of targets stays
// bounded.
func (m *Monitor) sweep(now time.Time) {
	remaining := 2
	for name, t := range m.targets {
		if t.decay(now); t.forgettable() {
			delete(m.targets, name)
		}
		if remaining--; remaining == 0 {
			return
		}
	}
}

func (m *Monitor) latency(route string) *cassialatency.Latency {
	l := m.routes[route]
	if l == nil {
		if m.routes == nil || len(m.routes) >= maxRoutes {
			m.routes = make(map[string]*cassialatency.Latency)
		}
		l = &cassialatency.Latency{}
		m.routes[route] = l
	}
	return l
}
