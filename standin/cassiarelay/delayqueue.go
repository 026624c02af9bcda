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

// partHeap is a heap by due time and then by order of arrival.
type partHeap []part

func (p partHeap) Len() int { return len(p) }
func (p partHeap) Less(i, j int) bool {
	if p[i].due.Equal(p[j].due) {
		return p[i].sequence < p[j].sequence
	}
	return p[i].due.Before(p[j].due)
}
func (p partHeap) Swap(i, j int) { p[i], p[j] = p[j], p[i] }

// Push adds a part.
func (p *partHeap) Push(x any) { *p = append(*p, x.(part)) }

// Pop removes the last part.
func (p *partHeap) Pop() any {
	last := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return last
}

// delayQueue delivers parts at their due times, in one direction of a link.
type delayQueue struct {
	mu       sync.Mutex
	pending  partHeap
	sequence uint64
	lastDue  time.Time
	wakeup   chan struct{}
	// ordered keeps the order of arrival whatever the delays are.
	ordered bool
	closed  bool
}

func newDelayQueue(ordered bool) *delayQueue {
	return &delayQueue{wakeup: make(chan struct{}, 1), ordered: ordered}
}

// add sends a part off with a delay.
func (q *delayQueue) add(content []byte, delay time.Duration) {
	q.mu.Lock()
	due := time.Now().Add(delay)
	if q.ordered && due.Before(q.lastDue) {
		due = q.lastDue
	}
	q.lastDue = due
	q.sequence++
	heap.Push(&q.pending, part{due, q.sequence, content})
	q.mu.Unlock()
	q.wake()
}

// close makes run return once all parts are delivered.
func (q *delayQueue) close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.wake()
}

func (q *delayQueue) wake() {
	select {
	case q.wakeup <- struct{}{}:
	default:
	}
}

// next returns the first part if it is due, else how long to wait for it.
func (q *delayQueue) next() (content []byte, wait time.Duration, drained bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.pending) == 0 {
		return nil, time.Hour, q.closed
	}
	if wait = time.Until(q.pending[0].due); wait > 0 {
		return nil, wait, false
	}
	return heap.Pop(&q.pending).(part).content, 0, false
}

// run delivers parts until the context ends, delivery fails or the line has ended.
func (q *delayQueue) run(ctx context.Context, deliver func([]byte) error) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for ctx.Err() == nil {
		content, wait, done := q.next()
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
		case <-q.wakeup:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
}
