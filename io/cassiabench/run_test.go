package cassiabench

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	cassiaexample "cassiasaddle/examples"
)

func TestWorkloadIsTheSameForTheSameSeed(t *testing.T) {
	c := qt.New(t)
	l, err := newLayout(cassiaexample.Manizales)
	c.Assert(err, qt.IsNil)
	defer func() { c.Assert(l.Close(), qt.IsNil) }()
	loads := append(manizalesLoads(), standingOrderChanges())
	draw := func(seed uint64) []*request { return workload(loads, l.fronts(), 2*time.Second, seed) }
	first, second, other := draw(1), draw(1), draw(2)
	c.Assert(len(first), qt.Equals, len(second))
	for i := range first {
		c.Assert(first[i].At, qt.Equals, second[i].At)
		c.Assert(string(first[i].Body), qt.Equals, string(second[i].Body))
	}
	c.Assert(string(first[0].Body), qt.Not(qt.Equals), string(other[0].Body))

	c.Assert(setIdempotencyKeys(first), qt.IsNil)
	keys := map[string]string{}
	repeats := 0
	for _, r := range first {
		if r.Key == "" {
			continue
		}
		if seen := keys[r.BodyHash]; seen != "" {
			c.Assert(r.Key, qt.Equals, seen)
			repeats++
		}
		keys[r.BodyHash] = r.Key
	}
	c.Assert(repeats > 0, qt.IsTrue)
}

// TestBaselineRun runs a short scenario with the baseline on loopback sockets and checks the fields of the JSON report.
func TestBaselineRun(t *testing.T) {
	c := qt.New(t)
	s, err := FindScenario("manizales-calm")
	c.Assert(err, qt.IsNil)
	s.WarmUp, s.Measured = 500*time.Millisecond, time.Second
	result, err := Run(context.Background(), s, PolicyBaseline, 1)
	c.Assert(err, qt.IsNil)
	c.Assert(result.Queries > 50, qt.IsTrue)
	c.Assert(result.CoverageMean > 0, qt.IsTrue)
	c.Assert(result.Violations.ForeignAnswer+result.Violations.FalseCoverage, qt.Equals, 0)

	report := Report{Scenario: s.Name, Seed: 1}
	report.Add(result)
	var text bytes.Buffer
	for _, format := range []string{"text", "html"} {
		c.Assert(report.Write(&text, format), qt.IsNil)
	}
	c.Assert(report.Write(&text, "xml"), qt.ErrorMatches, ".*use text, json or html")
	var content bytes.Buffer
	c.Assert(report.Write(&content, "json"), qt.IsNil)
	var read map[string]map[string]any
	_ = json.Unmarshal(content.Bytes(), &read)
	for _, field := range []string{
		"queries", "p50Ms", "p99Ms", "p999Ms", "coverageMean", "fullAnswers", "extraLoad", "refusals", "violations",
	} {
		c.Assert(read["baseline"][field], qt.IsNotNil, qt.Commentf("%s", field))
	}
}

// TestTunedRun runs a short load through VMs in this process and checks that there are no violations.
func TestTunedRun(t *testing.T) {
	c := qt.New(t)
	s, err := FindScenario("hrafnsvik-calm")
	c.Assert(err, qt.IsNil)
	s.VMsPerZone, s.WarmUp, s.Measured = 1, 500*time.Millisecond, 2*time.Second
	for i := range s.Loads { // With the race detector, the process can serve only part of the load.
		s.Loads[i].Rate /= 5
	}
	result, err := Run(context.Background(), s, PolicyTuned, 1)
	c.Assert(err, qt.IsNil)
	c.Assert(result.Violations, qt.Equals, Violations{}, qt.Commentf("%v", result.Examples))
	c.Assert(result.Queries > 50, qt.IsTrue)
	c.Assert(result.FullAnswers > 0, qt.IsTrue)
	c.Assert(result.PeerMessagesPerQuery, qt.IsNotNil)
}

// TestTargetsOfVMsWithoutLinksAreServedByOtherVMs guards against VMs that have lost their links to all targets keeping other VMs from
// their targets.
func TestTargetsOfVMsWithoutLinksAreServedByOtherVMs(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s, err := FindScenario("manizales-stranded")
	c.Assert(err, qt.IsNil)
	for i := range s.Loads { // With the race detector, the process can serve only part of the load.
		s.Loads[i].Rate /= 5
	}
	result, err := Run(context.Background(), s, PolicyTuned, 1)
	c.Assert(err, qt.IsNil)
	c.Check(result.Violations, qt.Equals, Violations{}, qt.Commentf("%v", result.Examples))
	for _, phase := range result.Phases {
		notServed := phase.Queries - phase.FullAnswers
		c.Check(float64(notServed) <= float64(phase.Queries)/50, qt.IsTrue, qt.Commentf("%s: %d of %d not served in full: %v %v",
			phase.Phase, notServed, phase.Queries, phase.Refusals, phase.Missing))
	}
}

func TestCountersAreSummed(t *testing.T) {
	c := qt.New(t)
	before, after := vmCounters{}, vmCounters{}
	before.add(strings.NewReader("# HELP x\ncassiasaddle_peerFramesSent 10\ncassiasaddle_queryTime_count 5\n"))
	c.Assert(before.peerMessages(vmCounters{}), qt.DeepEquals, &PeerMessages{Out: 2})
	for range 2 {
		after.add(strings.NewReader("cassiasaddle_peerFramesSent 20\ncassiasaddle_peerFramesReceived 15\ncassiasaddle_queryTime_count 5\n"))
	}
	c.Assert(after.peerMessages(before), qt.DeepEquals, &PeerMessages{Out: 6, In: 6})
	c.Assert(before.peerMessages(before), qt.IsNil)
}

func TestScenariosAreComplete(t *testing.T) {
	c := qt.New(t)
	seen := map[string]bool{}
	for _, s := range Scenarios() {
		c.Assert(seen[s.Name], qt.IsFalse)
		seen[s.Name] = true
		l, err := newLayout(s.Deployment)
		c.Assert(err, qt.IsNil)
		for _, load := range s.Loads {
			c.Assert(l.fronts()[load.Team+"/"+load.Front], qt.IsNotNil)
		}
		c.Assert(l.Close(), qt.IsNil)
	}
	c.Assert(seen["hrafnsvik-stragglers"] && seen["manizales-lost-replica"], qt.IsTrue)
	_, err := FindScenario("none")
	c.Assert(err, qt.ErrorMatches, `no scenario "none".*`)
}
