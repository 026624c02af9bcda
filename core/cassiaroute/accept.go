package cassiaroute

import (
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// Accepts returns a target of a shard in this VM's zone, and true if this VM owns the target by its own view of the
// members. A request from a VM that has not yet learned of the last membership change may be refused; that VM then asks
// the other owner. This keeps the connections within the limit during a membership change: only a VM that considers
// itself an owner opens any, and ShareOf leaves room for one more VM.
func (t *Table) Accepts(key cassiaid.FrontKey, index cassiaid.ShardIndex, name cassiaid.TargetName) (OwnedTarget, bool) {
	f := t.fronts[key]
	if f == nil || int(index) >= len(f.settings.GetShards()) || f.share.Owners == 0 {
		return OwnedTarget{}, false
	}
	target := replicaIn(f.settings.GetShards()[index], name, t.zone)
	if target == nil {
		return OwnedTarget{}, false
	}
	if !t.IsOwner(key, index) {
		return OwnedTarget{}, false
	}
	return OwnedTarget{Front: key, Shard: index, Target: target, Share: f.share}, true
}

func replicaIn(shard *cassiaschema.Shard, name cassiaid.TargetName, zone cassiaid.Zone) *cassiaschema.Target {
	for _, r := range shard.GetTargets() {
		if r.GetName() == string(name) && r.GetAvailabilityZone() == string(zone) {
			return r
		}
	}
	return nil
}

// Leaving reports whether a target gets no work because it has announced that it is about to stop or is on the
// platform's list of leaving targets.
func (t *Table) Leaving(name cassiaid.TargetName) bool {
	state := t.targets[name]
	return state != nil && state.condition(t.clock.Now()) == conditionClosed
}
