package cassiafront

import (
	"time"

	"cassiasaddle/core/cassiaschema"
)

// Defaults of what a front leaves unset.
const (
	defaultDeadline        = 350 * time.Millisecond
	defaultBudget          = 0.05
	defaultMaxBodyBytes    = 64 << 10
	defaultMaxAnswerBytes  = 4 << 20
	defaultMaxConnections  = 25
	defaultConnectionShare = 0.5
)

// Deadline returns how long a whole query may take.
func Deadline(f *cassiaschema.Front) time.Duration {
	if d := f.GetDeadline(); d != nil {
		return d.AsDuration()
	}
	return defaultDeadline
}

// HedgeBudget returns the extra share of shard requests that hedges may add.
func HedgeBudget(f *cassiaschema.Front) float64 {
	if f != nil && f.HedgeBudget != nil {
		return f.GetHedgeBudget()
	}
	return defaultBudget
}

// RetryBudget returns the extra share of shard requests that retries may add.
func RetryBudget(f *cassiaschema.Front) float64 {
	if f != nil && f.RetryBudget != nil {
		return f.GetRetryBudget()
	}
	return defaultBudget
}

// MaxBodyBytes bounds a request's body.
func MaxBodyBytes(f *cassiaschema.Front) int {
	if n := f.GetMaxBodyBytes(); n > 0 {
		return int(n)
	}
	return defaultMaxBodyBytes
}

// MaxAnswerBytes bounds an answer.
func MaxAnswerBytes(f *cassiaschema.Front) int {
	if n := f.GetMaxAnswerBytes(); n > 0 {
		return int(n)
	}
	return defaultMaxAnswerBytes
}

// MaxConnections returns the connection cap of a target over all its clients.
func MaxConnections(l *cassiaschema.TargetLimits) int {
	if n := l.GetMaxConnections(); n > 0 {
		return int(n)
	}
	return defaultMaxConnections
}

// ConnectionShare returns the part of a target's connection cap that the front may use.
func ConnectionShare(l *cassiaschema.TargetLimits) float64 {
	if l != nil && l.ConnectionShare != nil {
		return l.GetConnectionShare()
	}
	return defaultConnectionShare
}
