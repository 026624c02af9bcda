package cassiabench

import (
	"encoding/json"
	"time"

	"cassiasaddle/core/cassiafront"
	"cassiasaddle/core/cassiaplan"
	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/standin/cassiashard"
)

// request is one request of a caller; a repeat is a request of its own with the same key and body.
type request struct {
	// At is the planned time of arrival after the start of the load.
	At       time.Duration
	Team     string
	Front    *cassiaschema.Front
	Body     []byte
	BodyHash string
	// Key is the idempotency key of a non-idempotent request.
	Key string
	// ShardKey picks the shard of a keyed front.
	ShardKey string
	// Caller is the number of the caller, which picks the VM.
	Caller int
	// Crashing tells that targets crash on the request.
	Crashing bool
}

// deadline returns how long the request may take.
func (r *request) deadline() time.Duration { return cassiafront.Deadline(r.Front) }

// shardCount returns how many shardCount the request is sent to.
func (r *request) shardCount() int {
	if r.Front.GetFanout() == cassiaschema.Fanout_oneShardByKey {
		return 1
	}
	return len(r.Front.GetShards())
}

// reply is what a caller received for one request.
type reply struct {
	Request *request
	// Sent and Finished are when the caller sent the request and had its final answer.
	Sent, Finished time.Time
	// Latency counts from the planned time of arrival.
	Latency time.Duration
	VM      string
	// RequestID is the identifier that the caller sent.
	RequestID string
	// Answer and Refusal are both nil when the caller was left without a final answer.
	Answer  *answer
	Refusal *refusal
	// Failure tells why there is neither.
	Failure string
}

// answer is the body of an answer with rows.
type answer struct {
	RequestID string             `json:"requestId"`
	Snapshot  uint64             `json:"snapshot"`
	Epoch     uint64             `json:"shardMapEpoch"`
	Coverage  coverage           `json:"coverage"`
	Rows      []cassiashard.Rows `json:"rows"`
}

// coverage is what an answer states about the shards it holds.
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

// refusal is the body of a refusal.
type refusal struct {
	Kind      cassiaplan.RefusalKind `json:"kind"`
	Message   string                 `json:"message"`
	Ran       cassiaplan.Ran         `json:"ran"`
	RequestID string                 `json:"requestId"`
}
