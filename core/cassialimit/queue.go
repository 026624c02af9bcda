package cassialimit

import (
	"slices"
	"time"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// queue holds the waiting attempts, ordered by priority, then by deadline.
type queue struct{ offers []Offer }

func rank(p cassiaschema.Priority) int {
	switch p {
	case cassiaschema.Priority_urgent:
		return 0
	case cassiaschema.Priority_background:
		return 2
	}
	return 1
}

func startsBefore(a, b Offer) bool {
	if rank(a.Priority) != rank(b.Priority) {
		return rank(a.Priority) < rank(b.Priority)
	}
	return a.Deadline.Before(b.Deadline)
}

// position returns the index at which an offer is inserted.
func (q *queue) position(o Offer) int {
	for i, other := range q.offers {
		if startsBefore(o, other) {
			return i
		}
	}
	return len(q.offers)
}

func (q *queue) insert(at int, o Offer) { q.offers = slices.Insert(q.offers, at, o) }

// nextIndex returns the index of the attempt to start next: among the attempts of the highest priority in the queue, the first
// whose deadline is at least the duration needed away. It returns 0 if there is none.
func (q *queue) nextIndex(now time.Time, needed time.Duration) int {
	for i, o := range q.offers {
		if rank(o.Priority) != rank(q.offers[0].Priority) {
			break
		}
		if !now.Add(needed).After(o.Deadline) {
			return i
		}
	}
	return 0
}

func (q *queue) take(at int) Offer {
	o := q.offers[at]
	q.offers = slices.Delete(q.offers, at, at+1)
	return o
}

func (q *queue) takeLast() Offer {
	o := q.offers[len(q.offers)-1]
	q.offers = q.offers[:len(q.offers)-1]
	return o
}

func (q *queue) index(id cassiaid.AttemptID) int {
	return slices.IndexFunc(q.offers, func(o Offer) bool { return o.ID == id })
}

func (q *queue) has(id cassiaid.AttemptID) bool { return q.index(id) >= 0 }

func (q *queue) remove(id cassiaid.AttemptID) bool {
	at := q.index(id)
	if at < 0 {
		return false
	}
	q.offers = slices.Delete(q.offers, at, at+1)
	return true
}

// takeLate removes and returns the attempts that would not end before their deadlines if they started now and ran for the duration
// needed.
func (q *queue) takeLate(now time.Time, needed time.Duration) []Offer {
	var late []Offer
	q.offers = slices.DeleteFunc(q.offers, func(o Offer) bool {
		if now.Add(needed).Before(o.Deadline) {
			return false
		}
		late = append(late, o)
		return true
	})
	return late
}

// earliestDeadline returns the earliest deadline of the queue, or the zero time when it is empty.
func (q *queue) earliestDeadline() time.Time {
	var earliest time.Time
	for _, o := range q.offers {
		if earliest.IsZero() || o.Deadline.Before(earliest) {
			earliest = o.Deadline
		}
	}
	return earliest
}
