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
	failureWeight = 0.15
	halfLife      = time.Second
	// maxFailures is the share of failures above which a target is unfit: two failures in a row.
	maxFailures = 0.25
	// forgottenFailures is a share that is as good as none.
	forgottenFailures = 0.01
)

// Monitor judges targets by their attempts; the zero value is ready.
type Monitor struct {
	routes  map[string]*cassialatency.Latency
	targets map[cassiaid.TargetName]*target
}

// target is what is known of one target.
type target struct {
	running  []*Attempt
	failures float64
	learned  time.Time
}

// fade lets the share of failures fall with the time.
func (t *target) fade(now time.Time) {
	t.failures *= math.Exp2(-now.Sub(t.learned).Seconds() / halfLife.Seconds())
	t.learned = now
}

// fit is false while an attempt takes much longer than usual, or when many have failed of late.
func (t *target) fit(now time.Time) bool {
	for _, a := range t.running {
		if a.limit > 0 && now.Sub(a.begun) > a.limit {
			return false
		}
	}
	return t.failures <= maxFailures
}

// forgotten is true when nothing is known of the target.
func (t *target) forgotten() bool { return len(t.running) == 0 && t.failures < forgottenFailures }

// Attempt is one that is under way.
type Attempt struct {
	target cassiaid.TargetName
	route  string
	begun  time.Time
	// limit is the age from which the target counts as stalled; zero when that is not known.
	limit time.Duration
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
		t = &target{learned: now}
		m.targets[name] = t
	}
	t.fade(now)
	if !force && !t.fit(now) {
		return nil
	}
	a := &Attempt{target: name, route: route, begun: now}
	if l := m.routes[route]; l != nil && l.Samples() >= minSamples {
		a.limit = StallLimit(l.Quantile(0.5))
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
	t.fade(now)
	switch result {
	case Answered:
		t.failures -= failureWeight * t.failures
		m.latency(a.route).Observe(now.Sub(a.begun))
	case Failed:
		t.failures += failureWeight * (1 - t.failures)
	}
	if t.forgotten() {
		delete(m.targets, a.target)
	}
}

// sweep forgets some targets that nothing is held against any more, more than one for each that comes.
func (m *Monitor) sweep(now time.Time) {
	looks := 2
	for name, t := range m.targets {
		if t.fade(now); t.forgotten() {
			delete(m.targets, name)
		}
		if looks--; looks == 0 {
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
