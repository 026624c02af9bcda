package cassiaresume

import (
	"context"
	"sync"
	"time"

	"cassiasaddle/core/cassiaclock"
	"cassiasaddle/core/cassiapause"
)

// Waiter has everything that acts on the state of the system wait after a pause of this VM until there is news. Make it with NewWaiter;
// it is safe for concurrent use.
type Waiter struct {
	onPause func(paused time.Duration)

	mutex    sync.Mutex
	detector *cassiapause.Detector
	// news is closed when the VM need not wait any longer.
	news chan struct{}
}

// NewWaiter returns a waiter that calls a function after each pause, which has to ask for news without blocking.
func NewWaiter(onPause func(paused time.Duration)) *Waiter {
	return &Waiter{onPause: onPause, detector: cassiapause.NewDetector(cassiaclock.System{}), news: make(chan struct{})}
}

func (w *Waiter) beat() { w.update(cassiapause.Beat{}) }

// Learned reports an answer to a question about the state of the system that was asked at a time.
func (w *Waiter) Learned(askedAt time.Time) { w.update(cassiapause.Learned{AskedAt: askedAt}) }

func (w *Waiter) update(m cassiapause.Message) {
	w.mutex.Lock()
	effect := w.detector.Update(m)
	if _, ok := effect.(cassiapause.Proceed); ok {
		close(w.news)
		w.news = make(chan struct{})
	}
	w.mutex.Unlock()
	if ask, ok := effect.(cassiapause.Ask); ok {
		w.onPause(ask.Paused)
	}
}

// Wait returns at once unless this VM was paused; then it returns when there is news, or after some time, or when ctx is done. It
// reports whether it waited. A nil Waiter never waits.
func (w *Waiter) Wait(ctx context.Context) (waited bool) {
	if w == nil {
		return false
	}
	w.beat()
	w.mutex.Lock()
	until, news := w.detector.WaitUntil(), w.news
	w.mutex.Unlock()
	if until.IsZero() {
		return false
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-news:
	case <-timer.C:
	case <-ctx.Done():
	}
	return true
}

// Run notices pauses until stop is closed.
func (w *Waiter) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(cassiapause.BeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.beat()
		case <-stop:
			return
		}
	}
}
