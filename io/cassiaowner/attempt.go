package cassiaowner

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiatarget"
)

// attempt is one attempt at one shard, from its arrival to its result.
type attempt struct {
	batch   *batch
	request *cassiaschema.ShardAttempt
	front   cassiaid.FrontKey
	target  *target
	arrived time.Time
	// alone is true when no other attempt may run on the target at the same time.
	alone bool
	// cancel stops a started attempt; nil before the start.
	cancel context.CancelFunc
}

func (a *attempt) id() cassiaid.AttemptID { return cassiaid.AttemptID(a.request.AttemptId) }

func (a *attempt) shard() cassiaid.ShardIndex { return cassiaid.ShardIndex(a.request.Shard) }

func (a *attempt) fingerprint() cassiaid.Fingerprint {
	return cassiaid.Fingerprint(a.batch.request.Fingerprint)
}

// crashDetectionDelay is how long after the crash of a target its owner may take to see the closed connection.
const crashDetectionDelay = 15 * time.Millisecond

// startWaitLimit returns how long the attempt may wait for another attempt of the same request before it starts. The
// entry hedges after twice the flush time; crashDetectionDelay is added so that a crash of the other attempt's target
// is detected first.
func (a *attempt) startWaitLimit() time.Duration {
	return 2*firstFlushInterval(a.batch.request) + crashDetectionDelay
}

// notStarted returns the result of an attempt that was not sent to its target.
func (a *attempt) notStarted(outcome cassiaschema.ShardOutcome) *cassiaschema.ShardResult {
	return &cassiaschema.ShardResult{
		AttemptId: a.request.AttemptId, Shard: a.request.Shard, Target: a.request.Target, Outcome: outcome,
		Draining: outcome == cassiaschema.ShardOutcome_draining,
	}
}

func (a *attempt) call() cassiatarget.Call {
	r := a.batch.request
	return cassiatarget.Call{
		Attempt: a.id(), Shard: a.shard(), ShardName: a.request.ShardName,
		Snapshot: cassiaid.Snapshot(r.Snapshot), Epoch: cassiaid.Epoch(r.ShardMapEpoch),
		Deadline: a.batch.deadline, IdempotencyKey: r.IdempotencyKey, Body: r.Body,
	}
}

// setQueueTime sets the time between the arrival and the start of the attempt in its result.
func (a *attempt) setQueueTime(result *cassiaschema.ShardResult, started time.Time) {
	result.Queued = durationpb.New(started.Sub(a.arrived))
}
