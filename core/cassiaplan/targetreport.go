package cassiaplan

import (
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// targetReport is the state of a target as replies to this query reported it. It is newer than the view.
type targetReport struct {
	held  []cassiaid.Snapshot
	epoch cassiaid.Epoch
	// lost is true once the target was lost or unreachable.
	lost bool
	// known is true once held and epoch were reported.
	known    bool
	draining bool
}

// target returns the view of a target, updated with the replies that this query received.
func (q *Query) target(name cassiaid.TargetName) TargetView {
	v := q.view.Target(name)
	report := q.reports[name]
	if report.known {
		v.HeldSnapshots, v.Epoch = report.held, report.epoch
	}
	if report.lost || report.draining {
		v.Usable, v.EjectedForLatency = false, false
	}
	return v
}

// recordResult records what a result reports about the state of its target. An answer from the pinned snapshot is
// skipped because it reports nothing that this query uses.
func (q *Query) recordResult(r *cassiaschema.ShardResult) {
	if r.GetOutcome() == cassiaschema.ShardOutcome_answered && cassiaid.Snapshot(r.GetSnapshot()) == q.snapshot {
		return
	}
	name := cassiaid.TargetName(r.GetTarget())
	report := q.reports[name]
	if held := snapshots(r.GetHeldSnapshots()); held != nil {
		report.held, report.known = held, true
		report.epoch = cassiaid.Epoch(r.GetShardMapEpoch())
	}
	report.draining = report.draining || r.GetDraining() || r.GetOutcome() == cassiaschema.ShardOutcome_draining
	report.lost = report.lost || r.GetTargetLost() || r.GetOutcome() == cassiaschema.ShardOutcome_unreachable
	q.reports[name] = report
}

// recordKnowledge records the snapshots and the epoch that an owner reports for a target. It ignores whether the owner
// considers the target usable and leaves that to the view: the owner may rely on a health endpoint, which must not take
// the last replica of a shard out of use.
func (q *Query) recordKnowledge(t *cassiaschema.TargetKnowledge) {
	name := cassiaid.TargetName(t.GetTarget())
	report := q.reports[name]
	if held := snapshots(t.GetHeldSnapshots()); held != nil {
		report.held, report.known = held, true
		report.epoch = cassiaid.Epoch(t.GetShardMapEpoch())
	}
	q.reports[name] = report
}

// snapshots converts snapshot numbers; it returns nil for none.
func snapshots(numbers []uint64) []cassiaid.Snapshot {
	var held []cassiaid.Snapshot
	for _, n := range numbers {
		held = append(held, cassiaid.Snapshot(n))
	}
	return held
}
