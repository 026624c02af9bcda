package cassiabench

import (
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"cassiasaddle/standin/cassiashard"
)

// Times of a run unless its scenario says otherwise.
const (
	defaultWarmUp   = 2 * time.Second
	defaultMeasured = 10 * time.Second
)

// Scenario is a deployment with a load and faults.
type Scenario struct {
	Name string
	// About says in a sentence what the scenario does.
	About      string
	Deployment string
	Loads      []load
	Delays     delays
	// Prepare changes the stand-ins before the load starts.
	Prepare func(*environment)
	// Events returns what happens while the load runs.
	Events func(*environment) []event
	// Phases names parts of the measured time that are reported on their own.
	Phases []phase
	// WarmUp is the first part of the load, which is judged but not measured.
	WarmUp time.Duration
	// Measured is the part of the load that is measured.
	Measured time.Duration
	// VMsPerZone bounds the number of VMs in an availability zone when above 0.
	VMsPerZone int
}

// withDefaultTimes returns the scenario with the default times where it has none.
func (s Scenario) withDefaultTimes() Scenario {
	if s.WarmUp == 0 {
		s.WarmUp = defaultWarmUp
	}
	if s.Measured == 0 {
		s.Measured = defaultMeasured
	}
	return s
}

// event is something that happens at a time of the measured part of the load.
type event struct {
	At time.Duration
	Do func(*environment) error
}

// phase is a part of the measured time.
type phase struct {
	Name     string
	From, To time.Duration
}

// Scenarios returns all scenarios by name.
func Scenarios() []Scenario {
	all := slices.Concat(hrafnsvikScenarios(), manizalesScenarios())
	slices.SortFunc(all, func(a, b Scenario) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// FindScenario returns a scenario by its name.
func FindScenario(name string) (Scenario, error) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, nil
		}
	}
	return Scenario{}, eris.Errorf("no scenario %q; --scenario list names them all", name)
}

// stragglerFactor is how far a straggling target is behind the rest.
const stragglerFactor = 20

// setStragglers makes one target in twenty a straggler, and one attempt in a hundred slow on every target.
func setStragglers(e *environment) {
	e.fleet.Change(func(b *cassiashard.Behaviour) { b.SlowShare, b.SlowFactor = 0.01, 10 })
	for _, t := range e.pickTargets(len(e.fleet.Targets()) / 20) {
		t.Change(func(b *cassiashard.Behaviour) { b.StragglerFactor = stragglerFactor })
	}
}

// lostReplicaEvents takes one replica each of one shard in five: most refuse connections, some take requests and never answer.
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
				t.Change(func(b *cassiashard.Behaviour) { b.Lost, b.Hang = i%4 != 0, i%4 == 0 })
			}
			return nil
		}}}
	}
}

// snapshotChangeEvents moves all targets to a new snapshot one after the other, and later drops the old one likewise.
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
					t.Change(func(b *cassiashard.Behaviour) { b.HeldSnapshots = []uint64{old, old + 1} })
					return nil
				}},
				event{begin + rollout + step, func(*environment) error {
					t.Change(func(b *cassiashard.Behaviour) { b.HeldSnapshots = []uint64{old + 1} })
					return nil
				}})
		}
	}
	return events
}

// drainEvents makes one target in ten leave: the platform says so first, then the target drains, then it is gone.
func drainEvents(e *environment) []event {
	var events []event
	for i, t := range e.pickTargets(len(e.fleet.Targets()) / 10) {
		begin := time.Second + time.Duration(i)*50*time.Millisecond
		events = append(events,
			event{begin, func(e *environment) error { e.announceLeaving(t.Name()); return nil }},
			event{begin + 4*time.Second, func(*environment) error {
				t.Change(func(b *cassiashard.Behaviour) { b.Draining = true })
				return nil
			}},
			event{begin + 6*time.Second, func(*environment) error {
				t.Change(func(b *cassiashard.Behaviour) { b.Lost = true })
				return nil
			}})
	}
	return events
}

// setBadReplies makes each target answer some attempts doubled, truncated, as another attempt or from another snapshot.
func setBadReplies(e *environment) {
	e.fleet.Change(func(b *cassiashard.Behaviour) {
		b.ReplyFaults = cassiashard.ReplyFaults{
			Duplicate: 0.005, Truncate: 0.005, WrongAttempt: 0.005, WrongSnapshot: 0.005, Late: 0.005, LateMs: 200,
		}
	})
}

// setFalseHealthReports makes health reports of half the targets claim that they drain, and those of the rest lag.
func setFalseHealthReports(e *environment) {
	for i, t := range e.fleet.Targets() {
		t.Change(func(b *cassiashard.Behaviour) {
			if i%2 == 0 {
				b.HealthState, b.HealthLoad = "draining", 99
			} else {
				b.HealthLagMs = 30000
			}
		})
	}
}

// coldStartEvents restarts one target in ten, which then refuses as cold and is slow for a while.
func coldStartEvents(e *environment) []event {
	var events []event
	for i, t := range e.pickTargets(len(e.fleet.Targets()) / 10) {
		begin := time.Second + time.Duration(i)*100*time.Millisecond
		events = append(events,
			event{begin, func(*environment) error {
				t.Change(func(b *cassiashard.Behaviour) {
					b.Lost, b.ColdMs, b.WarmupMs, b.WarmupFactor = true, 1000, 2000, 5
				})
				return nil
			}},
			event{begin + time.Second, func(*environment) error {
				t.Change(func(b *cassiashard.Behaviour) { b.Lost = false })
				return nil
			}})
	}
	return events
}
