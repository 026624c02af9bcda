package cassiaplan

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// addReplicas adds three replicas to each shard, which then has five, and makes one of the five appear the fastest. The
// replicas are in four zones.
func (w *world) addReplicas(fastest int) {
	for i, s := range w.front.Shards {
		for r := range 3 {
			name := fmt.Sprintf("t%d-%d", i, 2+r)
			s.Targets = append(s.Targets, &cassiaschema.Target{Name: name, AvailabilityZone: fmt.Sprint("zone-", r)})
		}
		for r, t := range s.Targets {
			v := w.targets["t0-0"]
			v.ExpectedLatency = 10 * time.Millisecond
			if r == fastest {
				v.ExpectedLatency = time.Millisecond
			}
			w.targets[cassiaid.TargetName(t.Name)] = v
		}
	}
}

// TestCallsOfAnUnprovenRequestMeet simulates VMs that disagree about the fastest target: the first attempts and retries
// of one unproven request must still go to maxProbeTargets targets, while different requests together use all targets.
func TestCallsOfAnUnprovenRequestMeet(t *testing.T) {
	c := qt.New(t)
	used := map[cassiaid.TargetName]bool{}
	for f := range cassiaid.Fingerprint(200) {
		reached := map[cassiaid.TargetName]bool{}
		for fastest := range 5 {
			w := newWorld(4)
			w.addReplicas(fastest)
			first := w.beginUnproven(f * 0x9e3779b97f4a7c15)
			again := w.reply(first, crashed)
			for _, b := range slices.Concat(effectsOf[SendBatch](first), effectsOf[SendBatch](again)) {
				c.Assert(b.Attempts, qt.HasLen, 1)
				reached[b.Attempts[0].Target] = true
				used[b.Attempts[0].Target] = true
			}
		}
		c.Assert(reached, qt.HasLen, maxProbeTargets)
	}
	c.Assert(used, qt.HasLen, 20)
}

func TestLookupMeetsOnlyUsableTargets(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	w.front.Fanout = cassiaschema.Fanout_oneShardByKey
	w.addReplicas(0)
	for _, p := range probeTargets(7, w.front.Shards[0].Targets) {
		v := w.targets[cassiaid.TargetName(p.Name)]
		v.Usable = false
		w.targets[cassiaid.TargetName(p.Name)] = v
	}
	first := effectsOf[SendBatch](w.beginUnproven(7))
	c.Assert(first, qt.HasLen, 1)
	c.Assert(w.targets[first[0].Attempts[0].Target].Usable, qt.IsTrue)
}
