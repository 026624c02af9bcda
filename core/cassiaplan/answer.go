package cassiaplan

import (
	"time"

	"cassiasaddle/core/cassiaid"
)

// Answer is what a caller receives: rows of one snapshot and what they cover.
type Answer struct {
	Snapshot cassiaid.Snapshot
	Epoch    cassiaid.Epoch
	Rows     []ShardRows
	Coverage Coverage
}

// ShardRows are the merged rows of one shard.
type ShardRows struct {
	Shard cassiaid.ShardIndex
	Rows  []byte
}

// Coverage states which part of the asked shards an answer holds.
type Coverage struct {
	Asked    int
	Answered int
	Missing  []MissingShard
}

// Fraction returns the answered part of the asked shards, from 0 to 1.
func (c Coverage) Fraction() float64 {
	if c.Asked == 0 {
		return 0
	}
	return float64(c.Answered) / float64(c.Asked)
}

// MissingShard names a shard without rows and why it has none.
type MissingShard struct {
	Shard  cassiaid.ShardIndex
	Reason MissingReason
}

// MissingReason tells why an answer lacks a shard.
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
	// MissingCancelled is for a shard still asked when the whole query was given up.
	MissingCancelled MissingReason = "cancelled"
)

// RefusalKind is the typed reason of a refusal.
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

// Ran tells whether a refused request was run by any target.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// Refusal is the final answer to a request that gets no rows.
type Refusal struct {
	Kind RefusalKind
	// Message says what happened and what the caller can do about it.
	Message    string
	Ran        Ran
	RetryAfter time.Duration
	// Coverage is set for insufficientCoverage.
	Coverage *Coverage
}

// Error returns the kind and the message.
func (r *Refusal) Error() string { return string(r.Kind) + ": " + r.Message }
