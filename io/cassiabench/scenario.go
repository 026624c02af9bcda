package cassiabench

import (
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"cassiasaddle/standin/cassiashard"
)

// Durations of a run whose scenario sets none.
const (
	defaultWarmUp   = 2 * time.Second
	defaultMeasured = 10 * time.Second
)

// Scenario describes a run: a deployment, its load and the faults to inject.
type Scenario struct {
	Name string
	// About describes the scenario in one sentence.
	About      string
	Deployment string
	Loads      []load
	Delays     linkProperties
	// Prepare, if not nil, changes the stand-ins before the load starts.
	Prepare func(*environment)
	// Events, if not nil, returns the events that happen while the load runs.
	Events func(*environment) []event
	// Phases lists parts of the measured time that are also reported separately.
	Phases []phase
	// WarmUp is the duration of the first part of the load, which is checked for violations but not measured. 0 means
	// defaultWarmUp.
	WarmUp time.Duration
	// Measured is the duration of the measured part of the load. 0 means defaultMeasured.
	Measured time.Duration
	// VMsPerZone limits the number of VMs in each availability zone; 0 means no limit.
	VMsPerZone int
}

// withDefaultTimes returns the scenario with default durations in place of those that are 0.
func (s Scenario) withDefaultTimes() Scenario {
	if s.WarmUp == 0 {
		s.WarmUp = defaultWarmUp
	}
	if s.Measured == 0 {
		s.Measured = defaultMeasured
	}
	return s
}

// event is an action at a time counted from the start of the measured part of the load.
type event struct {
	At time.Duration
	Do func(*environment) error
}

// phase is a part of the measured time; From and To count from its start.
type phase struct {
	Name     string
	From, To time.Duration
}

// Scenarios returns all scenarios, sorted by name.
func Scenarios() []Scenario {
	all := slices.Concat(hrafnsvikScenarios(), manizalesScenarios())
	slices.SortFunc(all, func(a, b Scenario) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// FindScenario returns the scenario with a name, or an error if there is none.
func FindScenario(name string) (Scenario, error) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, nil
		}
	}
	return Scenario{}, eris.Errorf("no scenario %q; --scenario list names them all", name)
}

// stragglerFactor is how many times slower a straggling target is than the others.
const stragglerFactor = 20

// setStragglers makes one target in 20 a straggler, and on every target one attempt in 100 ten times slower.
func setStragglers(e *environment) {
	e.fleet.UpdateBehaviours(func(b *cassiashard.Behaviour) { b.SlowShare, b.SlowFactor = 0.01, 10 })
	for _, t := range e.pickTargets(len(e.fleet.Targets()) / 20) {
		t.UpdateBehaviour(func(b *cassiashard.Behaviour) { b.StragglerFactor = stragglerFactor })
	}
}

// lostReplicaEvents returns an event at which a fifth of the shards lose one replica each. About three quarters of
// these replicas refuse connections; the others accept requests and never answer.
func lostReplicaEvents(at time.Duration) func(*environment) []event {
	return func(*environment) []event {
		return []event{{At: at, Do: func(e *environment) error {
			lost := map[string]bool{}
			for i, t := range e.pickTargets(len(e.fleet.Targets())) {
				shard := t.Behaviour().Shards[0]
				if lost[shard] || len(lost) >= e.shardCount()/5 {
					continue
				}
				lost[shard] = true
				t.UpdateBehaviour(func(b *cassiashard.Behaviour) { b.Lost, b.Hang = i%4 != 0, i%4 == 0 })
			}
			return nil
		}}}
	}
}

// snapshotChangeEvents returns events that add a new snapshot to all targets one after the other and then drop the old
// one in the same order, twice.
func snapshotChangeEvents(e *environment) []event {
	var events []event
	targets := e.pickTargets(len(e.fleet.Targets()))
	const rollout = 2 * time.Second
	for round := range 2 {
		old := uint64(round + 1)
		begin := time.Duration(round) * 5 * time.Second
		for i, t := range targets {
			step := rollout * time.Duration(i) / time.Duration(len(targets))
			events = append(events,
				event{begin + step, func(*environment) error {
					t.UpdateBehaviour(func(b *cassiashard.Behaviour) { b.HeldSnapshots = []uint64{old, old + 1} })
					return nil
				}},
				event{begin + rollout + step, func(*environment) error {
					t.UpdateBehaviour(func(b *cassiashard.Behaviour) { b.HeldSnapshots = []uint64{old + 1} })
					return nil
				}})
		}
	}
	return events
}

// drainEvents returns events by which one target in ten leaves: the platform announces it, the target drains 4 s after
// the announcement and refuses connections 6 s after it.
func drainEvents(e *environment) []event {
	var events []event
	for i, t := range e.pickTargets(len(e.fleet.Targets()) / 10) {
		begin := time.Second + time.Duration(i)*50*time.Millisecond
		events = append(events,
			event{begin, func(e *environment) error { e.announceLeaving(t.Name()); return nil }},
			event{begin + 4*time.Second, func(*environment) error {
				t.UpdateBehaviour(func(b *cassiashard.Behaviour) { b.Draining = true })
				return nil
			}},
			event{begin + 6*time.Second, func(*environment) error {
				t.UpdateBehaviour(func(b *cassiashard.Behaviour) { b.Lost = true })
				return nil
			}})
	}
	return events
}

// setBadReplies makes every target duplicate, truncate or delay some replies, or send them with the identifier of
// another attempt or from another snapshot.
func setBadReplies(e *environment) {
	e.fleet.UpdateBehaviours(func(b *cassiashard.Behaviour) {
		b.ReplyFaults = cassiashard.ReplyFaults{
			Duplicate: 0.005, Truncate: 0.005, WrongAttempt: 0.005, WrongSnapshot: 0.005, Late: 0.005, LateMs: 200,
		}
	})
}

// setFalseHealthReports makes the health reports of half of the targets state that they drain, and delays those of the
// other half by 30 s.
func setFalseHealthReports(e *environment) {
	for i, t := range e.fleet.Targets() {
		t.UpdateBehaviour(func(b *cassiashard.Behaviour) {
			if i%2 == 0 {
				b.HealthState, b.HealthLoad = "draining", 99
			} else {
				b.HealthLagMs = 30000
			}
		})
	}
}

// coldStartEvents returns events that restart one target in ten. A restarted target refuses requests as cold for a
// second and is then slow for two more.
func coldStartEvents(e *environment) []event {
	var events []event
	for i, t := range e.pickTargets(len(e.fleet.Targets()) / 10) {
		begin := time.Second + time.Duration(i)*100*time.Millisecond
		events = append(events,
			event{begin, func(*environment) error {
				t.UpdateBehaviour(func(b *cassiashard.Behaviour) {
					b.Lost, b.ColdMs, b.WarmupMs, b.WarmupFactor = true, 1000, 2000, 5
				})
				return nil
			}},
			event{begin + time.Second, func(*environment) error {
				t.UpdateBehaviour(func(b *cassiashard.Behaviour) { b.Lost = false })
				return nil
			}})
	}
	return events
}
