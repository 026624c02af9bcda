package cassiarelay

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// part is one datagram or part of a stream on its way.
type part struct {
	due      time.Time
	sequence uint64
	content  []byte
}

// parts is a heap by due time and then by order of arrival.
type parts []part

func (p parts) Len() int { return len(p) }
func (p parts) Less(i, j int) bool {
	if p[i].due.Equal(p[j].due) {
		return p[i].sequence < p[j].sequence
	}
	return p[i].due.Before(p[j].due)
}
func (p parts) Swap(i, j int) { p[i], p[j] = p[j], p[i] }

// Push adds a part.
func (p *parts) Push(x any) { *p = append(*p, x.(part)) }

// Pop removes the last part.
func (p *parts) Pop() any {
	last := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return last
}

// line delivers parts at their due times, in one direction of a link.
type line struct {
	mu       sync.Mutex
	waiting  parts
	sequence uint64
	latest   time.Time
	added    chan struct{}
	// ordered keeps the order of arrival whatever the delays are.
	ordered bool
	ended   bool
}

func newLine(ordered bool) *line { return &line{added: make(chan struct{}, 1), ordered: ordered} }

// add sends a part off with a delay.
func (l *line) add(content []byte, delay time.Duration) {
	l.mu.Lock()
	due := time.Now().Add(delay)
	if l.ordered && due.Before(l.latest) {
		due = l.latest
	}
	l.latest = due
	l.sequence++
	heap.Push(&l.waiting, part{due, l.sequence, content})
	l.mu.Unlock()
	l.wake()
}

// end makes run return once all parts are delivered.
func (l *line) end() {
	l.mu.Lock()
	l.ended = true
	l.mu.Unlock()
	l.wake()
}

func (l *line) wake() {
	select {
	case l.added <- struct{}{}:
	default:
	}
}

// next returns the first part if it is due, else how long to wait for it.
func (l *line) next() (content []byte, wait time.Duration, done bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		return nil, time.Hour, l.ended
	}
	if wait = time.Until(l.waiting[0].due); wait > 0 {
		return nil, wait, false
	}
	return heap.Pop(&l.waiting).(part).content, 0, false
}

// run delivers parts until the context ends, delivery fails or the line has ended.
func (l *line) run(ctx context.Context, deliver func([]byte) error) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for ctx.Err() == nil {
		content, wait, done := l.next()
		if done {
			return
		}
		if content != nil {
			if deliver(content) != nil {
				return
			}
			continue
		}
		timer.Reset(wait)
		select {
		case <-l.added:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
}
