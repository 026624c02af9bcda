package cassiaowner

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/io/cassiatarget"
)

// attempt is one try of one shard, from its arrival to its result.
type attempt struct {
	batch  *batch
	wanted *cassiaschema.ShardAttempt
	front  cassiaid.FrontKey
	target *target
	began  time.Time
	// alone is true when nothing else may run on the target beside the attempt.
	alone bool
	// cancel stops a started attempt; nil before its start.
	cancel context.CancelFunc
}

func (a *attempt) id() cassiaid.AttemptID { return cassiaid.AttemptID(a.wanted.AttemptId) }

func (a *attempt) shard() cassiaid.ShardIndex { return cassiaid.ShardIndex(a.wanted.Shard) }

func (a *attempt) fingerprint() cassiaid.Fingerprint {
	return cassiaid.Fingerprint(a.batch.request.Fingerprint)
}

// crashNotice is how long it may take after the crash of a target until its owner knows it from a closed connection.
const crashNotice = 15 * time.Millisecond

// turnLimit bounds the wait for another attempt of the same request: the entry hedges after twice its flush time.
func (a *attempt) turnLimit() time.Duration { return 2*firstInterval(a.batch.request) + crashNotice }

// notStarted returns the result of an attempt that its target never saw.
func (a *attempt) notStarted(outcome cassiaschema.ShardOutcome) *cassiaschema.ShardResult {
	return &cassiaschema.ShardResult{
		AttemptId: a.wanted.AttemptId, Shard: a.wanted.Shard, Target: a.wanted.Target, Outcome: outcome,
		Draining: outcome == cassiaschema.ShardOutcome_draining,
	}
}

func (a *attempt) call() cassiatarget.Call {
	r := a.batch.request
	return cassiatarget.Call{
		Attempt: a.id(), Shard: a.shard(), ShardName: a.wanted.ShardName,
		Snapshot: cassiaid.Snapshot(r.Snapshot), Epoch: cassiaid.Epoch(r.ShardMapEpoch),
		Deadline: a.batch.deadline, IdempotencyKey: r.IdempotencyKey, Body: r.Body,
	}
}

// ran completes a result with what only the owner knows.
func (a *attempt) ran(result *cassiaschema.ShardResult, started time.Time) {
	result.Queued = durationpb.New(started.Sub(a.began))
}
