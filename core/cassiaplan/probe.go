package cassiaplan

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// maxProbeTargets is the number of targets per shard that attempts of an unproven request may choose from. Since their
// owners run such a request one at a time, overlapping calls of it crash at most this many targets.
const maxProbeTargets = 2

// usesProbeTargets reports whether attempts prefer the probe targets of a shard (see probeTargets) to its other
// targets.
func (q *Query) usesProbeTargets() bool {
	return q.request.Unproven && !q.crashGuard.canaryAnswered && (q.canary.active || len(q.shards) == 1)
}

// canaryShardIndex returns the index of the shard that is asked first; it is the same on all VMs.
func (q *Query) canaryShardIndex() int {
	return int(uint64(q.request.Fingerprint) % uint64(len(q.shards)))
}

// probeTargets returns the targets of a shard that all calls of an unproven request share, the same on all VMs. If
// there are more than maxProbeTargets, these are the target that ranks first for the fingerprint and the next one in
// another zone, so that more VMs have one nearby, or the next of all if every target is in the same zone.
func probeTargets(fingerprint cassiaid.Fingerprint, targets []*cassiaschema.Target) []*cassiaschema.Target {
	if len(targets) <= maxProbeTargets {
		return targets
	}
	ranked := slices.Clone(targets)
	slices.SortFunc(ranked, func(a, b *cassiaschema.Target) int {
		return cmp.Compare(rank(fingerprint, a), rank(fingerprint, b))
	})
	first, others := ranked[0], ranked[1:]
	second := others[0]
	for _, t := range others {
		if t.GetAvailabilityZone() != first.GetAvailabilityZone() {
			second = t
			break
		}
	}
	return []*cassiaschema.Target{first, second}
}

// rank returns a sort key that orders targets differently for each fingerprint.
func rank(fingerprint cassiaid.Fingerprint, t *cassiaschema.Target) uint64 {
	const goldenRatio64 = 0x9e3779b97f4a7c15
	mixed := (xxhash.Sum64String(t.GetName()) ^ uint64(fingerprint)) * goldenRatio64
	return mixed ^ mixed>>32
}
