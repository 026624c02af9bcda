package cassiadrain

import (
	"context"
	"sync"
)

// Work counts the running pieces of work, such as requests, and lets a planned stop wait until none is running. The
// zero value is ready to use, and its methods may be called from several goroutines.
type Work struct {
	mutex   sync.Mutex
	running int
	// idle is created by the first call of BeginDrain and closed as soon as nothing is running.
	idle chan struct{}
}

// Begin counts the start of a piece of work and reports whether BeginDrain was called before. The caller has to call End in
// either case.
func (w *Work) Begin() (draining bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.running++
	return w.idle != nil
}

// End counts the end of a piece of work that Begin counted.
func (w *Work) End() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.running--
	w.signalIdle()
}

// Draining reports whether BeginDrain was called.
func (w *Work) Draining() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.idle != nil
}

// BeginDrain makes later calls of Begin return true, without waiting.
func (w *Work) BeginDrain() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.idle == nil {
		w.idle = make(chan struct{})
	}
	w.signalIdle()
}

// Drain is like BeginDrain, and waits until nothing is running. It returns the error of ctx if ctx ends first.
func (w *Work) Drain(ctx context.Context) error {
	w.BeginDrain()
	select {
	case <-w.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// signalIdle closes idle if BeginDrain was called and nothing is running. The caller holds the mutex.
func (w *Work) signalIdle() {
	if w.idle == nil || w.running > 0 {
		return
	}
	select {
	case <-w.idle:
	default:
		close(w.idle)
	}
}
