package cassiashard

import (
	"math/rand/v2"
	"slices"
	"time"
)

// waiter is an attempt that wants a slot.
type waiter struct {
	assigned chan struct{}
	slot     int
}

// slot is one place where an attempt or a request of another system runs.
type slot struct {
	// occupied tells that an attempt runs here.
	occupied bool
	// backgroundUntil is the end of the other system's request in progress, if that lies ahead.
	backgroundUntil time.Time
	// nextBackground is the start of the other system's next request.
	nextBackground time.Time
}

// slotPool hands out places to attempts in order of arrival; the target's lock guards it.
type slotPool struct {
	slots []slot
	queue []*waiter
}

// resize sets the number of slots; attempts that run in removed slots go on.
func (s *slotPool) resize(count int) {
	for len(s.slots) < count {
		s.slots = append(s.slots, slot{})
	}
	for len(s.slots) > count && !s.slots[len(s.slots)-1].occupied {
		s.slots = s.slots[:len(s.slots)-1]
	}
}

// running returns how many attempts hold a slot.
func (s *slotPool) running() int {
	count := 0
	for _, sl := range s.slots {
		if sl.occupied {
			count++
		}
	}
	return count
}

// enqueue queues an attempt.
func (s *slotPool) enqueue() *waiter {
	w := &waiter{assigned: make(chan struct{})}
	s.queue = append(s.queue, w)
	return w
}

// dequeue removes an attempt from the queue, and tells whether it was still there.
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

// assign gives free slots to waiting attempts and returns when to try again, zero for at the next release.
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

// backgroundTraffic draws the requests of another system that shares the slots.
type backgroundTraffic struct {
	behaviour Behaviour
	random    *rand.Rand
}

// advance plays the other system's requests on a slot up to now.
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
