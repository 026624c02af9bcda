package cassiabench

import (
	"fmt"
	"io"
	"time"

	"cassiasaddle/standin/cassiashard"
)

// Durations of the demonstration.
const (
	demoWarmUp        = time.Second
	demoPhaseDuration = 3 * time.Second
)

// Demo returns the scenario of the demonstration, with a phase without faults, a phase with a straggler, and a phase
// with a straggler and a lost replica.
func Demo() Scenario {
	s := hrafnsvik.scenario("demo", "Queries over 20 and 30 shards through 4 VMs: calm, then a straggler, then a lost replica as well.")
	s.WarmUp, s.Measured, s.VMsPerZone = demoWarmUp, 3*demoPhaseDuration, 1
	s.Phases = []phase{
		{"calm", 0, demoPhaseDuration},
		{"straggler", demoPhaseDuration, 2 * demoPhaseDuration},
		{"straggler and lost replica", 2 * demoPhaseDuration, 3 * demoPhaseDuration},
	}
	s.Events = func(e *environment) []event {
		targets := e.targetsOf(e.layout.team("stilisti"))
		return []event{
			{demoPhaseDuration, func(*environment) error {
				targets[0].UpdateBehaviour(func(b *cassiashard.Behaviour) { b.StragglerFactor = stragglerFactor })
				return nil
			}},
			{2 * demoPhaseDuration, func(*environment) error {
				targets[len(targets)-1].UpdateBehaviour(func(b *cassiashard.Behaviour) { b.Lost = true })
				return nil
			}},
		}
	}
	return s
}

// WriteDemo writes the result of a demonstration as a short text report.
func WriteDemo(w io.Writer, result *Result) error {
	fmt.Fprintf(w, "%d queries answered over real sockets on loopback\n", result.Queries)
	for _, p := range result.Phases {
		fmt.Fprintf(w, "%-28s p50 %5.1f ms  p99 %5.1f ms  coverage %.4f  whole answers %d of %d  extra load %.1f%%\n",
			p.Phase, p.P50Ms, p.P99Ms, p.CoverageMean, p.FullAnswers, p.Queries, p.ExtraLoad*100)
	}
	if len(result.Refusals) > 0 {
		fmt.Fprintf(w, "refused: %v\n", result.Refusals)
	}
	if result.Violations.Any() {
		_, err := fmt.Fprintf(w, "broken promises: %+v\n", result.Violations)
		return err
	}
	_, err := fmt.Fprintln(w, "no promise broken: one snapshot an answer, true coverage, no foreign rows, no false refusal")
	return err
}
