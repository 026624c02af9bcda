package cassiafront

import (
	"time"

	"cassiasaddle/core/cassiaschema"
)

// Defaults of settings that a front leaves unset.
const (
	defaultDeadline        = 350 * time.Millisecond
	defaultBudget          = 0.05
	defaultMaxBodyBytes    = 64 << 10
	defaultMaxAnswerBytes  = 4 << 20
	defaultMaxConnections  = 25
	defaultConnectionShare = 0.5
)

// Deadline returns the time limit of a whole query.
func Deadline(f *cassiaschema.Front) time.Duration {
	if d := f.GetDeadline(); d != nil {
		return d.AsDuration()
	}
	return defaultDeadline
}

// HedgeBudget returns the extra load that hedges may add, as a fraction of the first attempts at shards.
func HedgeBudget(f *cassiaschema.Front) float64 {
	if f != nil && f.HedgeBudget != nil {
		return f.GetHedgeBudget()
	}
	return defaultBudget
}

// RetryBudget returns the extra load that retries may add, as a fraction of the first attempts at shards.
func RetryBudget(f *cassiaschema.Front) float64 {
	if f != nil && f.RetryBudget != nil {
		return f.GetRetryBudget()
	}
	return defaultBudget
}

// MaxBodyBytes returns the maximum size of a request's body.
func MaxBodyBytes(f *cassiaschema.Front) int {
	if n := f.GetMaxBodyBytes(); n > 0 {
		return int(n)
	}
	return defaultMaxBodyBytes
}

// MaxAnswerBytes returns the maximum size of an answer.
func MaxAnswerBytes(f *cassiaschema.Front) int {
	if n := f.GetMaxAnswerBytes(); n > 0 {
		return int(n)
	}
	return defaultMaxAnswerBytes
}

// MaxConnections returns the maximum number of connections to a target over all its clients.
func MaxConnections(l *cassiaschema.TargetLimits) int {
	if n := l.GetMaxConnections(); n > 0 {
		return int(n)
	}
	return defaultMaxConnections
}

// ConnectionShare returns the fraction of a target's maximum connections that the front may use.
func ConnectionShare(l *cassiaschema.TargetLimits) float64 {
	if l != nil && l.ConnectionShare != nil {
		return l.GetConnectionShare()
	}
	return defaultConnectionShare
}
