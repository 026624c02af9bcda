package cassiashard

import (
	"math/rand/v2"
	"slices"
	"time"
)

// waiter is an attempt's place in the queue for a slot.
type waiter struct {
	assigned chan struct{}
	slot     int
}

// slot is the capacity to run one attempt or one request of another system at a time.
type slot struct {
	// occupied is set while an attempt holds the slot.
	occupied bool
	// backgroundUntil is the end of the other system's latest request; until then it holds the slot.
	backgroundUntil time.Time
	// nextBackground is the start of the other system's next request.
	nextBackground time.Time
}

// slotPool assigns slots to attempts in order of arrival; Target.mu guards it.
type slotPool struct {
	slots []slot
	queue []*waiter
}

// resize sets the number of slots without stopping any attempt. It removes slots from the end, up to the first one that
// an attempt still holds; call it again when an attempt has ended.
func (s *slotPool) resize(count int) {
	for len(s.slots) < count {
		s.slots = append(s.slots, slot{})
	}
	for len(s.slots) > count && !s.slots[len(s.slots)-1].occupied {
		s.slots = s.slots[:len(s.slots)-1]
	}
}

// running returns the number of attempts that hold a slot.
func (s *slotPool) running() int {
	count := 0
	for _, sl := range s.slots {
		if sl.occupied {
			count++
		}
	}
	return count
}

// enqueue appends an attempt to the queue.
func (s *slotPool) enqueue() *waiter {
	w := &waiter{assigned: make(chan struct{})}
	s.queue = append(s.queue, w)
	return w
}

// dequeue removes an attempt from the queue and returns whether it was still in the queue.
func (s *slotPool) dequeue(w *waiter) bool {
	at := slices.Index(s.queue, w)
	if at < 0 {
		return false
	}
	s.queue = slices.Delete(s.queue, at, at+1)
	return true
}

// release frees an attempt's slot.
func (s *slotPool) release(w *waiter) {
	if w.slot < len(s.slots) {
		s.slots[w.slot].occupied = false
	}
}

// assign gives free slots to queued attempts and returns when to call it again because background traffic ends. It
// returns the zero time if the next call is only needed when an attempt is queued or releases its slot.
func (s *slotPool) assign(now time.Time, background backgroundTraffic) time.Time {
	var retryAt time.Time
	for i := range s.slots {
		sl := &s.slots[i]
		if sl.occupied || len(s.queue) == 0 {
			continue
		}
		background.advance(sl, now)
		if now.Before(sl.backgroundUntil) {
			if retryAt.IsZero() || sl.backgroundUntil.Before(retryAt) {
				retryAt = sl.backgroundUntil
			}
			continue
		}
		w := s.queue[0]
		s.queue = s.queue[1:]
		sl.occupied, w.slot = true, i
		close(w.assigned)
	}
	if len(s.queue) == 0 {
		return time.Time{}
	}
	return retryAt
}

// backgroundTraffic simulates the requests of another system that shares the slots.
type backgroundTraffic struct {
	behaviour Behaviour
	random    *rand.Rand
}

// advance simulates the other system's requests on a slot up to now. After more than a minute without a call, it only
// simulates the last second. The run times are those of a target that started an hour ago, which is past its warm-up.
func (b backgroundTraffic) advance(sl *slot, now time.Time) {
	load := b.behaviour.BackgroundLoad
	if load <= 0 {
		sl.backgroundUntil, sl.nextBackground = time.Time{}, time.Time{}
		return
	}
	if now.Sub(sl.nextBackground) > time.Minute {
		sl.nextBackground = now.Add(-time.Second)
	}
	for !sl.nextBackground.After(now) {
		busy := b.behaviour.runTime(b.random, time.Hour)
		free := time.Duration(float64(busy) * (1 - load) / load * b.random.ExpFloat64())
		sl.backgroundUntil = sl.nextBackground.Add(busy)
		sl.nextBackground = sl.backgroundUntil.Add(free + time.Microsecond)
	}
}
