package cassiaroute

import (
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// Accepts returns a target of a shard in this VM's zone if this VM owns it by its own view. A VM that has not learned of
// the last membership change yet may be refused; it asks the other owner, so that the owners of both views together stay
// within the connections allowed.
func (t *Table) Accepts(key cassiaid.FrontKey, index cassiaid.ShardIndex, name cassiaid.TargetName) (Owned, bool) {
	f := t.fronts[key]
	if f == nil || int(index) >= len(f.settings.GetShards()) || f.share.Owners == 0 {
		return Owned{}, false
	}
	target := replicaIn(f.settings.GetShards()[index], name, t.zone)
	if target == nil {
		return Owned{}, false
	}
	if !t.IsOwner(key, index) {
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
