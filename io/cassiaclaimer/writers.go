package cassiaclaimer

import (
	"sync"
	"time"

	"cassiasaddle/core/cassiaid"
)

// writers is what this VM knows of the VMs that write buckets for it.
type writers struct {
	mutex  sync.Mutex
	states map[cassiaid.VMName]writerState
}

// writerState is what is known of one VM.
type writerState struct {
	silentUntil time.Time
	// clockMillis was the VM's clock when its reply was heard, or a little before.
	clockMillis int64
	receivedAt  time.Time
}

func (w *writers) update(vm cassiaid.VMName, change func(*writerState)) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.states == nil {
		w.states = map[cassiaid.VMName]writerState{}
	}
	state := w.states[vm]
	change(&state)
	w.states[vm] = state
}

// markSilent remembers that a VM gave no reply.
func (w *writers) markSilent(vm cassiaid.VMName, until time.Time) {
	w.update(vm, func(s *writerState) { s.silentUntil = until })
}

func (w *writers) silent(vm cassiaid.VMName, now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return now.Before(w.states[vm].silentUntil)
}

// recordClock remembers a VM's clock from its reply.
func (w *writers) recordClock(vm cassiaid.VMName, millis int64, now time.Time) {
	w.update(vm, func(s *writerState) { s.clockMillis, s.receivedAt = millis, now })
}

// clockMillis returns a VM's clock at a time of this VM's clock, 0 when it is not known. It is behind by the time that the
// reply took, so a call expires a little early and never late.
func (w *writers) clockMillis(vm cassiaid.VMName, at time.Time) int64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	s := w.states[vm]
	if s.clockMillis == 0 {
		return 0
	}
	return s.clockMillis + at.Sub(s.receivedAt).Milliseconds()
}
