package cassiagate

import (
	"context"
	"sync"
	"time"

	"cassiasaddle/core/cassiaclock"
	"cassiasaddle/core/cassiapause"
)

// pauses has everything that acts on the state of the system wait after a pause of this VM until there is news. It is safe for
// concurrent use.
type pauses struct {
	// onPause is called after a pause.
	onPause func(paused time.Duration)

	mutex    sync.Mutex
	detector *cassiapause.Detector
	// news is closed when the VM need not wait any longer.
	news chan struct{}
}

func newPauses(onPause func(paused time.Duration)) *pauses {
	return &pauses{onPause: onPause, detector: cassiapause.NewDetector(cassiaclock.System{}), news: make(chan struct{})}
}

// beat notices a pause that has just ended.
func (p *pauses) beat() { p.update(cassiapause.Beat{}) }

// learned reports an answer to a question about the state of the system that was asked at a time.
func (p *pauses) learned(askedAt time.Time) { p.update(cassiapause.Learned{AskedAt: askedAt}) }

func (p *pauses) update(m cassiapause.Message) {
	p.mutex.Lock()
	effect := p.detector.Update(m)
	if _, ok := effect.(cassiapause.Proceed); ok {
		close(p.news)
		p.news = make(chan struct{})
	}
	p.mutex.Unlock()
	if ask, ok := effect.(cassiapause.Ask); ok {
		p.onPause(ask.Paused)
	}
}

// wait returns at once unless this VM was paused; then it returns when there is news, or after some time, or when ctx is done. It
// reports whether it waited.
func (p *pauses) wait(ctx context.Context) (waited bool) {
	p.beat()
	p.mutex.Lock()
	until, news := p.detector.WaitUntil(), p.news
	p.mutex.Unlock()
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

// run notices pauses until stop is closed.
func (p *pauses) run(stop <-chan struct{}) {
	ticker := time.NewTicker(cassiapause.BeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.beat()
		case <-stop:
			return
		}
	}
}
