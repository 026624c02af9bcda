package cassiaplan

import (
	"time"

	"cassiasaddle/core/cassiaid"
)

// maxKnowledgeWait limits how long a query waits for owners to report the snapshots of their targets.
const maxKnowledgeWait = 150 * time.Millisecond

// knowledgeRound is the state of one round of AskKnowledge requests.
type knowledgeRound struct {
	pendingOwners map[cassiaid.VMName]bool
	deadline      time.Time
}

// requestKnowledgeIfCold starts a round of AskKnowledge requests and returns true if fewer than half of the shards have
// a replica whose snapshots are known. Otherwise it does nothing and returns false.
func (q *Query) requestKnowledgeIfCold(now time.Time) bool {
	known := 0
	for i := range q.shards {
		if q.snapshotsKnown(&q.shards[i]) {
			known++
		}
	}
	if 2*known >= len(q.shards) {
		return false
	}
	q.phase = phaseAskingOwners
	q.knowledge = knowledgeRound{pendingOwners: map[cassiaid.VMName]bool{}, deadline: now.Add(q.knowledgeWait(now))}
	q.requestKnowledge()
	return true
}

// snapshotsKnown reports whether the snapshots of any replica of a shard are known.
func (q *Query) snapshotsKnown(s *shard) bool {
	for _, t := range s.targets {
		if q.target(cassiaid.TargetName(t.GetName())).HeldSnapshots != nil {
			return true
		}
	}
	return false
}

// knowledgeWait returns the time limit of the round: half of the remaining time, at most maxKnowledgeWait.
func (q *Query) knowledgeWait(now time.Time) time.Duration {
	return min(q.request.Deadline.Sub(now)/2, maxKnowledgeWait)
}

// requestKnowledge sends each owner one request for all of its targets whose snapshots are unknown.
func (q *Query) requestKnowledge() {
	targets := map[cassiaid.VMName][]cassiaid.TargetName{}
	seen := map[cassiaid.TargetName]bool{}
	var owners []cassiaid.VMName
	for i := range q.shards {
		s := &q.shards[i]
		for _, t := range s.targets {
			name := cassiaid.TargetName(t.GetName())
			owner := q.ownerFor(s, cassiaid.Zone(t.GetAvailabilityZone()))
			if owner == "" || seen[name] || q.target(name).HeldSnapshots != nil {
				continue
			}
			seen[name] = true
			if targets[owner] == nil {
				owners = append(owners, owner)
			}
			targets[owner] = append(targets[owner], name)
		}
	}
	for _, owner := range owners {
		q.knowledge.pendingOwners[owner] = true
		q.outbox.add(AskKnowledge{Owner: owner, Targets: targets[owner]})
		q.outbox.count(CountAskKnowledge)
	}
}

// handleKnowledge records the reply of an owner, or that the owner was lost before it replied.
func (q *Query) handleKnowledge(m Knowledge) {
	if m.Lost {
		q.avoidedOwners[m.Owner] = true
	}
	for _, t := range m.Targets {
		q.recordKnowledge(t)
	}
	delete(q.knowledge.pendingOwners, m.Owner)
}

// finishKnowledgeRound pins a snapshot and starts the run once every owner has replied or the time limit has passed. If
// no snapshot is known by then, it refuses the query.
func (q *Query) finishKnowledgeRound(now time.Time) {
	if len(q.knowledge.pendingOwners) > 0 && now.Before(q.knowledge.deadline) {
		return
	}
	q.pinSnapshot()
	if q.snapshot == 0 {
		q.refuse(Refusal{Kind: RefusalNotReady, Ran: RanNo, RetryAfter: time.Second,
			Message: "no owner could tell which snapshots the front's targets hold; check that targets are up and retry"})
	}
}
