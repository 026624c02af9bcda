package cassiaroute

import (
	"slices"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// Accepts returns a target of a shard in this VM's zone if this VM may serve it. It allows one owner more than there
// are, since the VM that asks may not have learned of the last membership change.
func (t *Table) Accepts(key cassiaid.FrontKey, index cassiaid.ShardIndex, name cassiaid.TargetName) (Owned, bool) {
	f := t.fronts[key]
	if f == nil || int(index) >= len(f.settings.GetShards()) || f.share.Owners == 0 {
		return Owned{}, false
	}
	target := replicaIn(f.settings.GetShards()[index], name, t.zone)
	if target == nil {
		return Owned{}, false
	}
	id := sliceID{front: key, zone: t.zone, slice: sliceOf(index, len(f.settings.GetShards()), f.slices)}
	if !slices.Contains(rankOwners(t.members[t.zone], id.key(), f.share.Owners+1), t.local) {
		return Owned{}, false
	}
	return Owned{Front: key, Shard: index, Target: target, Share: f.share}, true
}

func replicaIn(shard *cassiaschema.Shard, name cassiaid.TargetName, zone cassiaid.Zone) *cassiaschema.Target {
	for _, r := range shard.GetTargets() {
		if r.GetName() == string(name) && r.GetAvailabilityZone() == string(zone) {
			return r
		}
	}
	return nil
}

// Leaving tells whether a target is known to leave.
func (t *Table) Leaving(name cassiaid.TargetName) bool {
	s := t.targets[name]
	return s != nil && s.condition(t.clock.Now()) == conditionClosed
}
