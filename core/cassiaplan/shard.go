package cassiaplan

import (
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// shard is the progress of one asked shard in the present run.
type shard struct {
	index    cassiaid.ShardIndex
	targets  []*cassiaschema.Target
	attempts []*attempt
	merged   bool
	rows     []byte
	// closed is true when the shard can not be answered any more; reason then tells why.
	closed bool
	reason MissingReason
	// lastFailure is the last unsuccessful outcome.
	lastFailure failure
	// ownerLost is true once an owner was lost that had an attempt in flight.
	ownerLost bool
	// refused is true once a target refused the shard without starting it.
	refused bool
	// targetLost is true once a target was lost while it ran the shard.
	targetLost bool
	// hedgeAt is when the next hedge is due.
	hedgeAt time.Time
	// hedgeDenials counts how often the budget denied a hedge.
	hedgeDenials int
	// retryAt is when a shard that waits for its shard map is asked again; epochPauses counts the pauses.
	retryAt       time.Time
	epochBackoffs int
}

func (s *shard) pending() bool { return !s.merged && !s.closed }

func (s *shard) close(reason MissingReason) {
	s.closed = true
	s.reason = reason
}

// inFlight returns the number of open attempts.
func (s *shard) inFlight() int {
	count := 0
	for _, a := range s.attempts {
		if a.open {
			count++
		}
	}
	return count
}

// firstOpen returns the earliest open attempt, nil when there is none.
func (s *shard) firstOpen() *attempt {
	for _, a := range s.attempts {
		if a.open {
			return a
		}
	}
	return nil
}

func (s *shard) hasOpenAttempts() bool { return s.inFlight() > 0 }

func (s *shard) inFlightAt(owner cassiaid.VMName) bool {
	for _, a := range s.attempts {
		if a.open && a.owner == owner {
			return true
		}
	}
	return false
}

func (s *shard) mayHaveStarted() bool {
	for _, a := range s.attempts {
		if a.mayHaveStarted {
			return true
		}
	}
	return false
}

// tried tells whether a target was already asked for this shard by an owner that could answer for it.
func (s *shard) tried(target cassiaid.TargetName) bool {
	for _, a := range s.attempts {
		if a.Target == target && !a.ownerFailed && !a.mayAskAgain {
			return true
		}
	}
	return false
}

// recordFailure keeps an unsuccessful outcome for the decision what follows.
func (s *shard) recordFailure(f failure) {
	s.reason = f.reason
	s.lastFailure = f
}
