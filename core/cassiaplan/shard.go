package cassiaplan

import (
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// shard is the progress of one shard in the current run.
type shard struct {
	index    cassiaid.ShardIndex
	targets  []*cassiaschema.Target
	attempts []*attempt
	merged   bool
	rows     []byte
	// closed is true when the shard can no longer be answered.
	closed bool
	// reason is why the shard is closed or, while it is pending, the reason of its last failure; it is empty before that.
	reason MissingReason
	// lastFailure is the last unsuccessful outcome.
	lastFailure failure
	// ownerLost is true once an owner was lost while it had an attempt for the shard in flight.
	ownerLost bool
	// refused is true once a target has refused an attempt for the shard without starting it.
	refused bool
	// targetLost is true once a target was lost while it ran the shard.
	targetLost bool
	// hedgeAt is when the next hedge is due.
	hedgeAt time.Time
	// hedgeDenials counts the hedges that the budget denied.
	hedgeDenials int
	// retryAt is when a shard that waits for a new shard map is asked again; epochBackoffs counts the delays.
	retryAt       time.Time
	epochBackoffs int
}

// pending reports whether the shard is neither merged nor closed.
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

// firstOpen returns the earliest open attempt, or nil.
func (s *shard) firstOpen() *attempt {
	for _, a := range s.attempts {
		if a.open {
			return a
		}
	}
	return nil
}

func (s *shard) hasOpenAttempts() bool { return s.inFlight() > 0 }

// inFlightAt reports whether an attempt through an owner is open.
func (s *shard) inFlightAt(owner cassiaid.VMName) bool {
	for _, a := range s.attempts {
		if a.open && a.owner == owner {
			return true
		}
	}
	return false
}

// mayHaveStarted reports whether any attempt of the run may have started on a target.
func (s *shard) mayHaveStarted() bool {
	for _, a := range s.attempts {
		if a.mayHaveStarted {
			return true
		}
	}
	return false
}

// tried reports whether a target has been asked for this shard and must not be asked again. It may be asked again after
// a failure of the owner, or when it is expected to adopt the query's shard map.
func (s *shard) tried(target cassiaid.TargetName) bool {
	for _, a := range s.attempts {
		if a.Target == target && !a.ownerFailed && !a.mayAskAgain {
			return true
		}
	}
	return false
}

// recordFailure stores the last failure, on which the next retry depends.
func (s *shard) recordFailure(f failure) {
	s.reason = f.reason
	s.lastFailure = f
}
