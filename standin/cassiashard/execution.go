package cassiashard

import (
	"sync"
	"time"
)

// Outcome tells how an execution ended.
type Outcome string

// Outcomes of executions.
const (
	OutcomeRunning    Outcome = "running"
	OutcomeRan        Outcome = "ran"
	OutcomeCancelled  Outcome = "cancelled"
	OutcomeCrashed    Outcome = "crashed"
	OutcomeNotStarted Outcome = "notStarted"
)

// Execution is one attempt as the target saw it.
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
	// Reason tells why an attempt did not start.
	Reason string `json:"reason,omitempty"`
}

// Started tells whether the attempt began to run.
func (e Execution) Started() bool { return e.StartedUnixMicros > 0 }

// executionLog keeps the executions of one target in the order of their arrival.
type executionLog struct {
	mu          sync.Mutex
	entries     []Execution
	firstHandle int
}

// add records an arrival and returns its handle.
func (l *executionLog) add(e Execution) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, e)
	return l.firstHandle + len(l.entries) - 1
}

// update changes a recorded execution that has not been cleared.
func (l *executionLog) update(handle int, change func(*Execution)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if handle >= l.firstHandle {
		change(&l.entries[handle-l.firstHandle])
	}
}

// start records that an execution has begun.
func (l *executionLog) start(handle int, at time.Time) {
	l.update(handle, func(e *Execution) {
		e.StartedUnixMicros = at.UnixMicro()
		e.Outcome = OutcomeRunning
	})
}

// finish records the final outcome of an execution once.
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

// clear forgets all executions.
func (l *executionLog) clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.firstHandle += len(l.entries)
	l.entries = nil
}
