package cassiaplan

import (
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// targetReport is what the query itself was told of a target, which is newer than the view.
type targetReport struct {
	held     []cassiaid.Snapshot
	epoch    cassiaid.Epoch
	lost     bool
	known    bool
	draining bool
}

// target returns what the view and this query's own replies say of a target.
func (q *Query) target(name cassiaid.TargetName) TargetView {
	v := q.view.Target(name)
	l := q.reports[name]
	if l.known {
		v.Held, v.Epoch = l.held, l.epoch
	}
	if l.lost || l.draining {
		v.Usable, v.OnlySlow = false, false
	}
	return v
}

// recordResult keeps what a result tells beside its rows; an answer as asked tells nothing that matters to this query.
func (q *Query) recordResult(r *cassiaschema.ShardResult) {
	if r.GetOutcome() == cassiaschema.ShardOutcome_answered && cassiaid.Snapshot(r.GetSnapshot()) == q.snapshot {
		return
	}
	name := cassiaid.TargetName(r.GetTarget())
	l := q.reports[name]
	if held := snapshots(r.GetHeldSnapshots()); held != nil {
		l.held, l.known = held, true
		l.epoch = cassiaid.Epoch(r.GetShardMapEpoch())
	}
	l.draining = l.draining || r.GetDraining() || r.GetOutcome() == cassiaschema.ShardOutcome_draining
	l.lost = l.lost || r.GetTargetLost() || r.GetOutcome() == cassiaschema.ShardOutcome_unreachable
	q.reports[name] = l
}

// recordKnowledge takes what an owner knows of a target's index. Whether the target is usable is left to the view: the
// owner's word may rest on a health endpoint, which must not take the last replica of a shard out of use.
func (q *Query) recordKnowledge(t *cassiaschema.TargetKnowledge) {
	name := cassiaid.TargetName(t.GetTarget())
	l := q.reports[name]
	if held := snapshots(t.GetHeldSnapshots()); held != nil {
		l.held, l.known = held, true
		l.epoch = cassiaid.Epoch(t.GetShardMapEpoch())
	}
	q.reports[name] = l
}

func snapshots(numbers []uint64) []cassiaid.Snapshot {
	var held []cassiaid.Snapshot
	for _, n := range numbers {
		held = append(held, cassiaid.Snapshot(n))
	}
	return held
}
