package cassiafitness

import (
	"math"
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassialatency"
)

const (
	// minSamples is how many answers of a route the judgement of its attempts needs.
	minSamples = 10
	// maxRoutes bounds the routes that are remembered.
	maxRoutes = 256
	// failureWeight is the weight of the newest attempt in a target's share of failures; its halfLife lets a target that gets
	// no attempts be tried again.
	failureWeight   = 0.15
	failureHalfLife = time.Second
	// maxFailures is the share of failures above which a target is unfit: two failures in a row.
	maxFailureShare = 0.25
	// forgottenFailures is a share that is as good as none.
	negligibleFailureShare = 0.01
)

// Monitor judges targets by their attempts; the zero value is ready.
type Monitor struct {
	routes  map[string]*cassialatency.Latency
	targets map[cassiaid.TargetName]*target
}

// target is what is known of one target.
type target struct {
	running      []*Attempt
	failureShare float64
	decayedAt    time.Time
}

// fade lets the share of failures fall with the time.
func (t *target) decay(now time.Time) {
	t.failureShare *= math.Exp2(-now.Sub(t.decayedAt).Seconds() / failureHalfLife.Seconds())
	t.decayedAt = now
}

// fit is false while an attempt takes much longer than usual, or when many have failed of late.
func (t *target) fit(now time.Time) bool {
	for _, a := range t.running {
		if a.stallAfter > 0 && now.Sub(a.startedAt) > a.stallAfter {
			return false
		}
	}
	return t.failureShare <= maxFailureShare
}

// forgotten is true when nothing is known of the target.
func (t *target) forgettable() bool {
	return len(t.running) == 0 && t.failureShare < negligibleFailureShare
}

// Attempt is one that is under way.
type Attempt struct {
	target    cassiaid.TargetName
	route     string
	startedAt time.Time
	// limit is the age from which the target counts as stalled; zero when that is not known.
	stallAfter time.Duration
}

// Result is what the end of an attempt tells of its target.
type Result int

// Results of attempts.
const (
	// Answered is a whole answer.
	Answered Result = iota
	// Failed is a failure of the target.
	Failed
	// Unknown tells nothing of the target.
	Unknown
)

// Begin notes an attempt of a route at a target, which has to End; it returns nil when the target is unfit, unless the attempt is
// forced.
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

// End notes the end of an attempt.
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

// sweep forgets some targets that nothing is held against any more, more than one for each that comes.
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
