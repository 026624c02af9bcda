package cassiashard

import (
	"math/rand/v2"
	"slices"
	"time"
)

// waiter is an attempt that wants a slot.
type waiter struct {
	granted chan struct{}
	slot    int
}

// slot is one place where an attempt or a request of another system runs.
type slot struct {
	// taken tells that an attempt runs here.
	taken bool
	// otherUntil is the end of the other system's request in progress, if that lies ahead.
	otherUntil time.Time
	// otherNext is the start of the other system's next request.
	otherNext time.Time
}

// slots hands out places to attempts in order of arrival; the target's lock guards it.
type slots struct {
	places []slot
	queue  []*waiter
}

// resize sets the number of slots; attempts that run in removed slots go on.
func (s *slots) resize(count int) {
	for len(s.places) < count {
		s.places = append(s.places, slot{})
	}
	for len(s.places) > count && !s.places[len(s.places)-1].taken {
		s.places = s.places[:len(s.places)-1]
	}
}

// running returns how many attempts hold a slot.
func (s *slots) running() int {
	count := 0
	for _, p := range s.places {
		if p.taken {
			count++
		}
	}
	return count
}

// wait queues an attempt.
func (s *slots) wait() *waiter {
	w := &waiter{granted: make(chan struct{})}
	s.queue = append(s.queue, w)
	return w
}

// leave removes an attempt from the queue, and tells whether it was still there.
func (s *slots) leave(w *waiter) bool {
	at := slices.Index(s.queue, w)
	if at < 0 {
		return false
	}
	s.queue = slices.Delete(s.queue, at, at+1)
	return true
}

// release frees an attempt's slot.
func (s *slots) release(w *waiter) {
	if w.slot < len(s.places) {
		s.places[w.slot].taken = false
	}
}

// grant gives free slots to waiting attempts and returns when to try again, zero for at the next release.
func (s *slots) grant(now time.Time, others otherLoad) time.Time {
	var again time.Time
	for i := range s.places {
		p := &s.places[i]
		if p.taken || len(s.queue) == 0 {
			continue
		}
		others.advance(p, now)
		if now.Before(p.otherUntil) {
			if again.IsZero() || p.otherUntil.Before(again) {
				again = p.otherUntil
			}
			continue
		}
		w := s.queue[0]
		s.queue = s.queue[1:]
		p.taken, w.slot = true, i
		close(w.granted)
	}
	if len(s.queue) == 0 {
		return time.Time{}
	}
	return again
}

// otherLoad draws the requests of another system that shares the slots.
type otherLoad struct {
	behaviour Behaviour
	random    *rand.Rand
}

// advance plays the other system's requests on a slot up to now.
func (o otherLoad) advance(p *slot, now time.Time) {
	load := o.behaviour.BackgroundLoad
	if load <= 0 {
		p.otherUntil, p.otherNext = time.Time{}, time.Time{}
		return
	}
	if now.Sub(p.otherNext) > time.Minute {
		p.otherNext = now.Add(-time.Second)
	}
	for !p.otherNext.After(now) {
		busy := o.behaviour.runTime(o.random, time.Hour)
		free := time.Duration(float64(busy) * (1 - load) / load * o.random.ExpFloat64())
		p.otherUntil = p.otherNext.Add(busy)
		p.otherNext = p.otherUntil.Add(free + time.Microsecond)
	}
}
