package cassiadrain

import (
	"context"
	"sync"
)

// Work counts pieces of work in progress; the zero value has none.
type Work struct {
	mutex   sync.Mutex
	running int
	// idle is made when Leave begins and closed when nothing runs any more.
	idle chan struct{}
}

// Begin counts a piece of work in and tells whether Leave was called; End has to follow in either case.
func (w *Work) Begin() (leaving bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.running++
	return w.idle != nil
}

// End counts a piece of work out.
func (w *Work) End() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.running--
	w.signalIdle()
}

// Leaving is true once Leave was called.
func (w *Work) Leaving() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.idle != nil
}

// Leave has Begin tell that it was called, and waits until nothing runs or ctx is done, whose error it returns.
func (w *Work) Leave(ctx context.Context) error {
	w.mutex.Lock()
	if w.idle == nil {
		w.idle = make(chan struct{})
	}
	w.signalIdle()
	w.mutex.Unlock()
	select {
	case <-w.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// signalIdle ends the wait of Leave when nothing runs; the caller holds the mutex.
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
