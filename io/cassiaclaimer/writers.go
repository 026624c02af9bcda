package cassiaclaimer

import (
	"sync"
	"time"

	"cassiasaddle/core/cassiaid"
)

// writers records the state of the VMs that write buckets for this VM. The zero value is ready to use.
type writers struct {
	mutex  sync.Mutex
	states map[cassiaid.VMName]writerState
}

// writerState is the state of one writer, from its replies.
type writerState struct {
	// silentUntil is when a VM that gave no reply may be asked again.
	silentUntil time.Time
	// clockMillis is the Unix time in milliseconds by the VM's clock, from its last reply.
	clockMillis int64
	// receivedAt is when that reply came, by this VM's clock.
	receivedAt time.Time
}

// update changes the state of one VM under the mutex.
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

// markSilent records that a VM gave no reply and is not to be asked again before until.
func (w *writers) markSilent(vm cassiaid.VMName, until time.Time) {
	w.update(vm, func(s *writerState) { s.silentUntil = until })
}

// silent reports whether a VM gave no reply recently and is not to be asked at now.
func (w *writers) silent(vm cassiaid.VMName, now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return now.Before(w.states[vm].silentUntil)
}

// recordClock records the clock of a VM, as Unix time in milliseconds, from a reply that arrived at now.
func (w *writers) recordClock(vm cassiaid.VMName, millis int64, now time.Time) {
	w.update(vm, func(s *writerState) { s.clockMillis, s.receivedAt = millis, now })
}

// clockMillis converts a time of this VM's clock to a VM's clock, as Unix time in milliseconds; it returns 0 when that
// VM's clock is not known. The result is behind by the time that the reply was under way, so a call expires a little
// early and never late.
func (w *writers) clockMillis(vm cassiaid.VMName, at time.Time) int64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	s := w.states[vm]
	if s.clockMillis == 0 {
		return 0
	}
	return s.clockMillis + at.Sub(s.receivedAt).Milliseconds()
}
