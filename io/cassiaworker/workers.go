package cassiaworker

import (
	"sync"

	"golang.org/x/sync/errgroup"
)

// maxIdle is the number of goroutines that are kept without a task, enough for the attempts of a few fan-outs.
const maxIdle = 256

// Workers starts tasks. The zero value is ready for use. It is safe for concurrent use.
type Workers struct {
	group errgroup.Group

	mutex sync.Mutex
	// idle holds the inboxes of the goroutines without a task, the one that was used last at the end.
	idle []chan func()
}

// Go runs a task on a goroutine and does not wait for it.
func (w *Workers) Go(task func()) {
	w.mutex.Lock()
	if last := len(w.idle) - 1; last >= 0 {
		inbox := w.idle[last]
		w.idle = w.idle[:last]
		w.mutex.Unlock()
		inbox <- task
		return
	}
	w.mutex.Unlock()
	w.group.Go(func() error { w.work(task); return nil })
}

// work runs a task, and then those that arrive, until enough other goroutines are without one.
func (w *Workers) work(task func()) {
	inbox := make(chan func(), 1)
	for {
		task()
		if !w.rest(inbox) {
			return
		}
		task = <-inbox
	}
}

// rest adds a goroutine without a task to those that wait for one; it returns false if there are enough.
func (w *Workers) rest(inbox chan func()) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.idle) >= maxIdle {
		return false
	}
	w.idle = append(w.idle, inbox)
	return true
}
