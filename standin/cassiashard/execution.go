package cassiashard

import (
	"sync"
	"time"
)

// Outcome is the state of an execution, or how it ended.
type Outcome string

// Outcomes of executions.
const (
	OutcomeRunning    Outcome = "running"
	OutcomeRan        Outcome = "ran"
	OutcomeCancelled  Outcome = "cancelled"
	OutcomeCrashed    Outcome = "crashed"
	OutcomeNotStarted Outcome = "notStarted"
)

// Execution is the record of an attempt in a target's log, also of one that the target refused.
type Execution struct {
	Target            string `json:"target"`
	AttemptID         uint64 `json:"attemptId"`
	Shard             string `json:"shard"`
	Snapshot          uint64 `json:"snapshot"`
	ShardMapEpoch     uint64 `json:"shardMapEpoch"`
	IdempotencyKey    string `json:"idempotencyKey,omitempty"`
	BodyHash          string `json:"bodyHash"`
	ArrivedUnixMicros int64  `json:"arrivedUnixMicros"`
	// StartedUnixMicros is 0 for an attempt that never started.
	StartedUnixMicros  int64   `json:"startedUnixMicros"`
	FinishedUnixMicros int64   `json:"finishedUnixMicros"`
	DeadlineUnixMicros int64   `json:"deadlineUnixMicros"`
	Outcome            Outcome `json:"outcome"`
	// Reason is why an attempt didn't start or ended early.
	Reason string `json:"reason,omitempty"`
}

// Started reports whether the attempt began to run.
func (e Execution) Started() bool { return e.StartedUnixMicros > 0 }

// executionLog holds the executions of a target in order of arrival; it is safe for concurrent use.
type executionLog struct {
	mu          sync.Mutex
	entries     []Execution
	firstHandle int
}

// add appends an execution and returns its handle, which is never reused.
func (l *executionLog) add(e Execution) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, e)
	return l.firstHandle + len(l.entries) - 1
}

// update changes a recorded execution; it does nothing if the execution has been cleared.
func (l *executionLog) update(handle int, change func(*Execution)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if handle >= l.firstHandle {
		change(&l.entries[handle-l.firstHandle])
	}
}

// start records that an execution has started.
func (l *executionLog) start(handle int, at time.Time) {
	l.update(handle, func(e *Execution) {
		e.StartedUnixMicros = at.UnixMicro()
		e.Outcome = OutcomeRunning
	})
}

// finish records the final outcome of an execution; later calls for the same execution do nothing.
func (l *executionLog) finish(handle int, at time.Time, outcome Outcome, reason string) {
	l.update(handle, func(e *Execution) {
		if e.FinishedUnixMicros == 0 {
			e.FinishedUnixMicros, e.Outcome, e.Reason = at.UnixMicro(), outcome, reason
		}
	})
}

// copyEntries returns a copy of all executions.
func (l *executionLog) copyEntries() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution{}, l.entries...)
}

// clear removes all executions.
func (l *executionLog) clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.firstHandle += len(l.entries)
	l.entries = nil
}
