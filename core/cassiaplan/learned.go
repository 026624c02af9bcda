package cassiaplan

import (
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// learned is what the query itself was told of a target, which is newer than the view.
type learned struct {
	held   []cassiaid.Snapshot
	epoch  cassiaid.Epoch
	unfit  bool
	atAll  bool
	leaves bool
}

// target returns what the view and this query's own replies say of a target.
func (q *Query) target(name cassiaid.TargetName) TargetView {
	v := q.view.Target(name)
	l := q.learned[name]
	if l.atAll {
		v.Held, v.Epoch = l.held, l.epoch
	}
	if l.unfit || l.leaves {
		v.Usable, v.OnlySlow = false, false
	}
	return v
}

// learnResult keeps what a result tells beside its rows; an answer as asked tells nothing that matters to this query.
func (q *Query) learnResult(r *cassiaschema.ShardResult) {
	if r.GetOutcome() == cassiaschema.ShardOutcome_answered && cassiaid.Snapshot(r.GetSnapshot()) == q.snapshot {
		return
	}
	name := cassiaid.TargetName(r.GetTarget())
	l := q.learned[name]
	if held := snapshots(r.GetHeldSnapshots()); held != nil {
		l.held, l.atAll = held, true
		l.epoch = cassiaid.Epoch(r.GetShardMapEpoch())
	}
	l.leaves = l.leaves || r.GetDraining() || r.GetOutcome() == cassiaschema.ShardOutcome_draining
	l.unfit = l.unfit || r.GetTargetLost() || r.GetOutcome() == cassiaschema.ShardOutcome_unreachable
	q.learned[name] = l
}

// learnKnowledge takes what an owner knows of a target's index. Whether the target is usable is left to the view: the
// owner's word may rest on a health endpoint, which must not take the last replica of a shard out of use.
func (q *Query) learnKnowledge(t *cassiaschema.TargetKnowledge) {
	name := cassiaid.TargetName(t.GetTarget())
	l := q.learned[name]
	if held := snapshots(t.GetHeldSnapshots()); held != nil {
		l.held, l.atAll = held, true
		l.epoch = cassiaid.Epoch(t.GetShardMapEpoch())
	}
	q.learned[name] = l
}

func snapshots(numbers []uint64) []cassiaid.Snapshot {
	var held []cassiaid.Snapshot
	for _, n := range numbers {
		held = append(held, cassiaid.Snapshot(n))
	}
	return held
}
