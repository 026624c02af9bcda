package cassiaplan

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

var epochStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type manualClock struct{ now time.Time }

func (m *manualClock) Now() time.Time { return m.now }

// world is a View over a front whose shards each have two targets in two of four zones; each zone has two owners. It
// also holds the query under test and its clock.
type world struct {
	clock          manualClock
	front          *cassiaschema.Front
	newerFront     *cassiaschema.Front
	targets        map[cassiaid.TargetName]TargetView
	hedgeAfter     time.Duration
	hedgeBudget    int
	retryBudget    int
	hedgesGranted  int
	retriesGranted int
	unreachable    map[cassiaid.VMName]bool
	probes         int
	query          *Query
}

const testKey = "a shard key"

func newWorld(shards int) *world {
	w := &world{
		clock:       manualClock{now: epochStart},
		targets:     map[cassiaid.TargetName]TargetView{},
		hedgeAfter:  20 * time.Millisecond,
		hedgeBudget: 1000,
		retryBudget: 1000,
	}
	w.front = &cassiaschema.Front{Name: "front", ShardMapEpoch: 7, Preference: cassiaschema.Preference_preferCoverage,
		Deadline: durationpb.New(300 * time.Millisecond)}
	for i := range shards {
		s := &cassiaschema.Shard{Name: fmt.Sprint("shard-", i)}
		for r := range 2 {
			t := &cassiaschema.Target{Name: fmt.Sprintf("t%d-%d", i, r), AvailabilityZone: fmt.Sprint("zone-", (i+r*(1+i%3))%4)}
			s.Targets = append(s.Targets, t)
			w.targets[cassiaid.TargetName(t.Name)] = TargetView{HeldSnapshots: []cassiaid.Snapshot{41, 42}, Epoch: 7, Usable: true}
		}
		w.front.Shards = append(w.front.Shards, s)
	}
	return w
}

func (w *world) Target(t cassiaid.TargetName) TargetView { return w.targets[t] }
func (w *world) Owners(_ cassiaid.FrontKey, _ cassiaid.ShardIndex, zone cassiaid.Zone) []cassiaid.VMName {
	return []cassiaid.VMName{cassiaid.VMName(zone + "/1"), cassiaid.VMName(zone + "/2")}
}
func (w *world) LocalZone() cassiaid.Zone                   { return "zone-0" }
func (w *world) HedgeAfter(cassiaid.FrontKey) time.Duration { return w.hedgeAfter }
func (w *world) TakeHedge(cassiaid.FrontKey) bool {
	if w.hedgesGranted >= w.hedgeBudget {
		return false
	}
	w.hedgesGranted++
	return true
}
func (w *world) TakeRetry(cassiaid.FrontKey) bool {
	if w.retriesGranted >= w.retryBudget {
		return false
	}
	w.retriesGranted++
	return true
}
func (w *world) AnyUnreachable() bool                   { return len(w.unreachable) > 0 }
func (w *world) Unreachable(owner cassiaid.VMName) bool { return w.unreachable[owner] }
func (w *world) TakeReachabilityProbe(cassiaid.FrontKey) bool {
	w.probes--
	return w.probes >= 0
}
func (w *world) Front(cassiaid.FrontKey) *cassiaschema.Front {
	if w.newerFront != nil {
		return w.newerFront
	}
	return w.front
}

// setHeld sets the snapshots that a target is known to hold.
func (w *world) setHeld(target cassiaid.TargetName, held ...cassiaid.Snapshot) {
	v := w.targets[target]
	v.HeldSnapshots = held
	w.targets[target] = v
}

// begin starts the query and returns the effects of Begin.
func (w *world) begin() []Effect {
	w.query = NewQuery(Request{Front: w.front, ShardKey: testKey, Deadline: epochStart.Add(300 * time.Millisecond)},
		w, &w.clock, rand.New(rand.NewPCG(1, 2)))
	return w.query.Update(Begin{})
}

// at sets the clock to a time after epochStart and fires the timer.
func (w *world) at(after time.Duration) []Effect {
	w.clock.now = epochStart.Add(after)
	return w.query.Update(TimerFired{})
}

// answer returns the result of a target that answered the attempt as requested.
func answer(b SendBatch, a Attempt) *cassiaschema.ShardResult {
	return &cassiaschema.ShardResult{AttemptId: uint64(a.ID), Shard: uint32(a.Shard), Target: string(a.Target),
		Outcome: cassiaschema.ShardOutcome_answered, Started: true, Snapshot: uint64(b.Snapshot),
		ShardMapEpoch: uint64(b.Epoch), HeldSnapshots: []uint64{41, 42}, Rows: rowsOf(b, a)}
}

// rowsOf returns rows that identify the attempt, so that a test can tell where merged rows come from.
func rowsOf(b SendBatch, a Attempt) []byte {
	return fmt.Appendf(nil, "shard %d snapshot %d epoch %d attempt %d", a.Shard, b.Snapshot, b.Epoch, a.ID)
}

// refused returns the result of an attempt that the target did not start.
func refused(b SendBatch, a Attempt, outcome cassiaschema.ShardOutcome) *cassiaschema.ShardResult {
	r := answer(b, a)
	r.Outcome, r.Started, r.Rows = outcome, false, nil
	return r
}

// reply calls f for each attempt sent in effects, delivers the results, and returns the effects of that. An attempt for
// which f returns nil gets no result.
func (w *world) reply(effects []Effect, f func(SendBatch, Attempt) *cassiaschema.ShardResult) []Effect {
	var out []Effect
	for _, b := range effectsOf[SendBatch](effects) {
		var results []*cassiaschema.ShardResult
		for _, a := range b.Attempts {
			if r := f(b, a); r != nil {
				results = append(results, r)
			}
		}
		out = append(out, w.query.Update(Results{Owner: b.Owner, Results: results})...)
	}
	return out
}

// effectsOf returns the effects of one type.
func effectsOf[E Effect](effects []Effect) []E {
	var found []E
	for _, e := range effects {
		if e, ok := e.(E); ok {
			found = append(found, e)
		}
	}
	return found
}

// counted returns how often a counter was incremented.
func counted(effects []Effect, c Counter) int {
	n := 0
	for _, e := range effectsOf[Count](effects) {
		if e.Counter == c {
			n++
		}
	}
	return n
}
