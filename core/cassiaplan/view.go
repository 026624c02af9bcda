package cassiaplan

import (
	"time"

	"cassiasaddle/core/cassiaclock"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// Clock returns the current time.
type Clock = cassiaclock.Clock

// RandomSource generates random numbers, like *rand.Rand of math/rand/v2.
type RandomSource interface{ Uint64() uint64 }

// Request is a validated request of a caller.
type Request struct {
	ID    cassiaid.QueryID
	Key   cassiaid.FrontKey
	Front *cassiaschema.Front
	// ShardKey selects the shard of a front with fanout oneShardByKey.
	ShardKey string
	// Shards lists the shards to ask; when nil, ShardsFor decides.
	Shards      []cassiaid.ShardIndex
	Deadline    time.Time
	Fingerprint cassiaid.Fingerprint
	// Unproven is true when the request is not known to have been answered before. Its first attempts then go to its
	// probe targets, and one shard must answer before the others are asked.
	Unproven bool
}

// TargetView is the state of a target as known to this VM.
type TargetView struct {
	// HeldSnapshots lists the snapshots that the target can serve, nil if unknown.
	HeldSnapshots []cassiaid.Snapshot
	Epoch         cassiaid.Epoch
	// Usable is false for a target that should not be asked while the shard has another: one that is leaving, or that is
	// ejected or unreachable and not due for a trial attempt.
	Usable bool
	// EjectedForLatency is true for a target that is ejected for its latency only. It may still be usable, for example for a
	// trial attempt.
	EjectedForLatency bool
	// ExpectedLatency is the latency expected of the next attempt, based on the target's median. P95Latency is the
	// target's 95th percentile latency. Both are 0 if unknown.
	ExpectedLatency, P95Latency time.Duration
	// InFlight is the number of attempts that this VM has in flight on the target.
	InFlight int
}

// View gives a query access to the known state of targets and owners and to the budgets of fronts.
type View interface {
	// Target returns the known state of a target.
	Target(target cassiaid.TargetName) TargetView
	// Owners returns the VMs that may be asked for a shard's targets in a zone, best first.
	Owners(front cassiaid.FrontKey, shard cassiaid.ShardIndex, zone cassiaid.Zone) []cassiaid.VMName
	// LocalZone returns the availability zone of this VM.
	LocalZone() cassiaid.Zone
	// HedgeAfter returns how long to wait for a shard before a hedge is worth its load, 0 for never.
	HedgeAfter(front cassiaid.FrontKey) time.Duration
	// TakeHedge takes one hedge from the front's budget and returns false if the budget is exhausted.
	TakeHedge(front cassiaid.FrontKey) bool
	// TakeRetry takes one retry from the front's budget and returns false if the budget is exhausted.
	TakeRetry(front cassiaid.FrontKey) bool
	// AnyUnreachable returns false if Unreachable is false for every VM. Queries call it far more often than
	// Unreachable, so it must be cheap.
	AnyUnreachable() bool
	// Unreachable reports whether a VM could not be reached, or left messages unanswered, for longer than a pause of its
	// process would explain.
	Unreachable(owner cassiaid.VMName) bool
	// TakeReachabilityProbe returns true at a limited rate for each front. A query that gets true may ask unreachable
	// owners, to detect whether they have recovered.
	TakeReachabilityProbe(front cassiaid.FrontKey) bool
	// Front returns the settings of the front that are in force now, which may be newer than those of the request.
	Front(front cassiaid.FrontKey) *cassiaschema.Front
}
