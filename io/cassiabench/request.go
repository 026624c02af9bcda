package cassiabench

import (
	"encoding/json"
	"time"

	"cassiasaddle/core/cassiafront"
	"cassiasaddle/core/cassiaplan"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/standin/cassiashard"
)

// request is one request of a caller. A repeat is a separate request with the same idempotency key and body.
type request struct {
	// At is the planned send time, counted from the start of the load.
	At       time.Duration
	Team     string
	Front    *cassiaschema.Front
	Body     []byte
	BodyHash string
	// Key is the idempotency key of a non-idempotent request, and empty for others.
	Key string
	// ShardKey selects the shard if the front's fanout is oneShardByKey.
	ShardKey string
	// Caller is the number of the caller, by which the load balancer selects the VM.
	Caller int
	// Crashing is set if the request crashes every target that runs it.
	Crashing bool
}

// deadline returns the time that the request may take, from its start.
func (r *request) deadline() time.Duration { return cassiafront.Deadline(r.Front) }

// shardCount returns the number of shards that the request is sent to.
func (r *request) shardCount() int {
	if r.Front.GetFanout() == cassiaschema.Fanout_oneShardByKey {
		return 1
	}
	return len(r.Front.GetShards())
}

// reply is what a caller received for one request: an answer, a refusal or a failure.
type reply struct {
	Request *request
	// Sent and Finished are the times when the caller sent the request and when it received the reply or gave up.
	Sent, Finished time.Time
	// Latency is the time from the planned send time to Finished, so that it includes any delay in sending.
	Latency time.Duration
	// VM is the name of the last VM tried, and empty for the baseline.
	VM string
	// RequestID is the identifier that the caller sent.
	RequestID string
	// Answer and Refusal are both nil if the caller received neither.
	Answer  *answer
	Refusal *refusal
	// Failure describes why there is neither, and is empty otherwise.
	Failure string
}

// answer is the JSON body of an answer with rows.
type answer struct {
	RequestID string             `json:"requestId"`
	Snapshot  uint64             `json:"snapshot"`
	Epoch     uint64             `json:"shardMapEpoch"`
	Coverage  coverage           `json:"coverage"`
	Rows      []cassiashard.Rows `json:"rows"`
}

// coverage is what an answer states about the shards whose rows it contains.
type coverage struct {
	Asked    int            `json:"asked"`
	Answered int            `json:"answered"`
	Fraction float64        `json:"fraction"`
	Missing  []missingShard `json:"missing"`
}

type missingShard struct {
	Shard  json.RawMessage `json:"shard"`
	Reason string          `json:"reason"`
}

// refusal is the JSON body of a typed refusal.
type refusal struct {
	Kind      cassiaplan.RefusalKind `json:"kind"`
	Message   string                 `json:"message"`
	Ran       cassiaplan.Ran         `json:"ran"`
	RequestID string                 `json:"requestId"`
}
