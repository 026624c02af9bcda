package cassiaplan

import (
	"slices"
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// fitness ranks how suitable a replica, that is a target of the shard, is for the query; lower is better.
type fitness int

const (
	holdsSnapshot fitness = iota
	// snapshotUnknown includes replicas whose last known shard map is older than the query's.
	snapshotUnknown
	ejectedForLatency
	unusable
	// lacksSnapshot includes replicas whose shard map is newer than the query's.
	lacksSnapshot
)

// Limits on the expected latency within which a replica counts as no slower than the best one. Every replica counts
// with at least minExpectedLatency.
const (
	similarLatencyFactor = 2.0
	similarLatencyMargin = 2 * time.Millisecond
	minExpectedLatency   = time.Millisecond
)

// candidate is a replica that may be asked for a shard, and the owner to send the attempt to.
type candidate struct {
	target  cassiaid.TargetName
	zone    cassiaid.Zone
	owner   cassiaid.VMName
	fitness fitness
	latency time.Duration
}

// candidates returns the best untried replicas of a shard, considering only those with fitness worst or better. If there
// are none, it returns the reason.
func (q *Query) candidates(s *shard, worst fitness) ([]candidate, MissingReason) {
	if q.usesProbeTargets() {
		probes := probeTargets(q.request.Fingerprint, s.targets)
		if found, _ := q.candidatesAmong(s, probes, min(worst, snapshotUnknown)); len(found) > 0 {
			return found, ""
		}
	}
	return q.candidatesAmong(s, s.targets, worst)
}

// candidatesAmong is like candidates but restricted to the given targets of the shard.
func (q *Query) candidatesAmong(s *shard, targets []*cassiaschema.Target, worst fitness) ([]candidate, MissingReason) {
	var found []candidate
	reason := MissingUnreachable
	for _, t := range targets {
		name := cassiaid.TargetName(t.GetName())
		v := q.target(name)
		c := candidate{target: name, zone: cassiaid.Zone(t.GetAvailabilityZone()), fitness: q.fitness(v), latency: expectedLatency(v)}
		if c.fitness > worst || s.tried(name) {
			continue
		}
		c.owner = q.ownerFor(s, c.zone)
		if c.owner == "" {
			reason = MissingNoOwner
			continue
		}
		found = append(found, c)
	}
	return bestCandidates(q.preferReachable(found)), reason
}

// preferReachable drops candidates with an unreachable owner unless all owners are unreachable.
func (q *Query) preferReachable(all []candidate) []candidate {
	if !q.view.AnyUnreachable() {
		return all
	}
	unreachable := func(c candidate) bool { return q.view.Unreachable(c.owner) }
	if !slices.ContainsFunc(all, func(c candidate) bool { return !unreachable(c) }) {
		return all
	}
	return slices.DeleteFunc(all, unreachable)
}

// fitness returns the suitability of a target for the pinned snapshot and shard map.
func (q *Query) fitness(v TargetView) fitness {
	switch {
	case !q.epochCompatible(v):
		return lacksSnapshot
	case v.HeldSnapshots != nil && !slices.Contains(v.HeldSnapshots, q.snapshot):
		return lacksSnapshot
	case !v.Usable && v.EjectedForLatency:
		return ejectedForLatency
	case !v.Usable:
		return unusable
	case v.HeldSnapshots == nil || v.Epoch != 0 && v.Epoch < q.epoch:
		return snapshotUnknown
	default:
		return holdsSnapshot
	}
}

// expectedLatency estimates how long a replica takes, given the attempts already in flight on it.
func expectedLatency(v TargetView) time.Duration {
	return max(v.ExpectedLatency, minExpectedLatency) * time.Duration(1+v.InFlight)
}

// bestCandidates returns the candidates with the best fitness that are not much slower than the fastest of them.
func bestCandidates(all []candidate) []candidate {
	if len(all) == 0 {
		return nil
	}
	best := slices.MinFunc(all, func(a, b candidate) int {
		if a.fitness != b.fitness {
			return int(a.fitness - b.fitness)
		}
		return int(a.latency - b.latency)
	})
	limit := time.Duration(float64(best.latency)*similarLatencyFactor) + similarLatencyMargin
	return slices.DeleteFunc(all, func(c candidate) bool { return c.fitness != best.fitness || c.latency > limit })
}

// ownerFor returns the best owner of a shard's targets in a zone, or "" if there is none. It leaves out the owners that
// have failed this query, and prefers one without an attempt for the shard in flight, so that a hedge does not wait for
// the same VM.
func (q *Query) ownerFor(s *shard, zone cassiaid.Zone) cassiaid.VMName {
	var busy cassiaid.VMName
	for _, owner := range q.view.Owners(q.request.Key, s.index, zone) {
		switch {
		case q.avoidedOwners[owner]:
		case !s.inFlightAt(owner):
			return owner
		case busy == "":
			busy = owner
		}
	}
	return busy
}

// shardTargets returns the replicas of a shard according to the front's settings, nil if the index is out of range.
func shardTargets(front *cassiaschema.Front, index cassiaid.ShardIndex) []*cassiaschema.Target {
	if int(index) >= len(front.GetShards()) {
		return nil
	}
	return front.GetShards()[index].GetTargets()
}
