package cassiaclaimer

import (
	"sync"
	"time"

	"cassiasaddle/core/cassiaid"
)

// writers is what this VM knows of the VMs that write buckets for it.
type writers struct {
	mutex sync.Mutex
	known map[cassiaid.VMName]writerState
}

// writerState is what is known of one VM.
type writerState struct {
	silentUntil time.Time
	// millis was the VM's clock when its reply was heard, or a little before.
	millis int64
	heard  time.Time
}

func (w *writers) change(vm cassiaid.VMName, change func(*writerState)) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.known == nil {
		w.known = map[cassiaid.VMName]writerState{}
	}
	state := w.known[vm]
	change(&state)
	w.known[vm] = state
}

// silence remembers that a VM gave no reply.
func (w *writers) silence(vm cassiaid.VMName, until time.Time) {
	w.change(vm, func(s *writerState) { s.silentUntil = until })
}

func (w *writers) silent(vm cassiaid.VMName, now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return now.Before(w.known[vm].silentUntil)
}

// hear remembers a VM's clock from its reply.
func (w *writers) hear(vm cassiaid.VMName, millis int64, now time.Time) {
	w.change(vm, func(s *writerState) { s.millis, s.heard = millis, now })
}

// millis returns a VM's clock at a time of this VM's clock, 0 when it is not known. It is behind by the time that the
// reply took, so a call expires a little early and never late.
func (w *writers) millis(vm cassiaid.VMName, at time.Time) int64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	s := w.known[vm]
	if s.millis == 0 {
		return 0
	}
	return s.millis + at.Sub(s.heard).Milliseconds()
}
