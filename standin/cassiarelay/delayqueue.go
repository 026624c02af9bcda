package cassiarelay

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// part is a queued datagram or the data of one read from a stream.
type part struct {
	due      time.Time
	sequence uint64
	content  []byte
}

// partHeap is a heap.Interface that orders parts by due time and then by order of arrival.
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

// delayQueue delivers the parts of one direction of a link at their due times.
type delayQueue struct {
	mu       sync.Mutex
	pending  partHeap
	sequence uint64
	lastDue  time.Time
	wakeup   chan struct{}
	// ordered delays each part at least until the part before it is due, so that jitter can't reorder a stream.
	ordered bool
	closed  bool
}

func newDelayQueue(ordered bool) *delayQueue {
	return &delayQueue{wakeup: make(chan struct{}, 1), ordered: ordered}
}

// add queues a part for delivery after a delay.
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

// close makes run return once all queued parts are delivered.
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

// next removes and returns the first part if it is due. Otherwise it returns how long to wait for the first part, and
// drained if the queue is closed and empty.
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

// run delivers parts until the context is done, a delivery fails or the queue is closed and empty.
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
