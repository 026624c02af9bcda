package cassiaplan

import (
	"time"

	"cassiasaddle/core/cassiaid"
)

// Answer is the result of a successful query: rows of a single snapshot and the coverage that they represent.
type Answer struct {
	Snapshot cassiaid.Snapshot
	Epoch    cassiaid.Epoch
	Rows     []ShardRows
	Coverage Coverage
}

// ShardRows holds the rows of one shard, byte for byte as its result carried them.
type ShardRows struct {
	Shard cassiaid.ShardIndex
	Rows  []byte
}

// Coverage reports how many of the asked shards an answer contains.
type Coverage struct {
	Asked    int
	Answered int
	Missing  []MissingShard
}

// Fraction returns Answered divided by Asked, from 0 to 1; it is 0 if no shard was asked.
func (c Coverage) Fraction() float64 {
	if c.Asked == 0 {
		return 0
	}
	return float64(c.Answered) / float64(c.Asked)
}

// MissingShard is a shard without rows in the answer and the reason for it.
type MissingShard struct {
	Shard  cassiaid.ShardIndex
	Reason MissingReason
}

// MissingReason is the reason why an answer lacks a shard.
type MissingReason string

// Reasons for a missing shard.
const (
	MissingLate          MissingReason = "late"
	MissingOverloaded    MissingReason = "overloaded"
	MissingUnreachable   MissingReason = "unreachable"
	MissingSnapshotGone  MissingReason = "snapshotGone"
	MissingRepartitioned MissingReason = "repartitioned"
	MissingNoOwner       MissingReason = "noOwner"
	MissingFailed        MissingReason = "failed"
	MissingAnswerTooBig  MissingReason = "answerTooBig"
	// MissingCancelled is the reason of a shard that was still pending when the whole query was abandoned.
	MissingCancelled MissingReason = "cancelled"
)

// RefusalKind classifies a refusal.
type RefusalKind string

// Kinds of refusal.
const (
	RefusalBadRequest           RefusalKind = "badRequest"
	RefusalNotFound             RefusalKind = "notFound"
	RefusalTooLarge             RefusalKind = "tooLarge"
	RefusalNotRun               RefusalKind = "notRun"
	RefusalOutcomeUnknown       RefusalKind = "outcomeUnknown"
	RefusalDeadlineExceeded     RefusalKind = "deadlineExceeded"
	RefusalInsufficientCoverage RefusalKind = "insufficientCoverage"
	RefusalQuarantined          RefusalKind = "quarantined"
	RefusalOverloaded           RefusalKind = "overloaded"
	RefusalNotReady             RefusalKind = "notReady"
	RefusalCallerGone           RefusalKind = "callerGone"
)

// Ran reports whether any target executed a refused request.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// Refusal is the error that ends a request without rows.
type Refusal struct {
	Kind RefusalKind
	// Message describes the failure and what the caller can do about it.
	Message string
	Ran     Ran
	// RetryAfter is how long the caller should wait before a retry; 0 means no advice.
	RetryAfter time.Duration
	// Coverage is set for insufficientCoverage.
	Coverage *Coverage
}

// Error returns the kind and the message.
func (r *Refusal) Error() string { return string(r.Kind) + ": " + r.Message }
