package cassiafair

// Turn is the place of a request in the order of service: lower turns are served first.
type Turn float64

// Turns gives out turns by start-time fair queueing: the requests of each party are spaced by the inverse of its weight, and a party that
// has not sent for a while begins at the turn that is being served, so that it saves up nothing. The zero value is ready for use. It is not
// safe for concurrent use.
type Turns[K comparable] struct {
	// next holds the turn after the last request of each party that is ahead of current.
	next map[K]Turn
	// current is the highest turn that was served.
	current Turn
}

// Take returns the turn of a new request of a party. A weight of 0 or less counts as 1.
func (t *Turns[K]) Take(party K, weight float64) Turn {
	if weight <= 0 {
		weight = 1
	}
	if t.next == nil {
		t.next = make(map[K]Turn)
	}
	turn := max(t.current, t.next[party])
	t.next[party] = turn + Turn(1/weight)
	return turn
}

// Served records that a request with a turn is served, whether it had to wait or not.
func (t *Turns[K]) Served(turn Turn) {
	if turn <= t.current {
		return
	}
	t.current = turn
	// Parties that are not ahead would begin at current anyway. Looking through all of them once for as many calls bounds the memory at
	// little cost.
	if len(t.next) > maxParties {
		for party, next := range t.next {
			if next <= t.current {
				delete(t.next, party)
			}
		}
	}
}

// maxParties is the number of parties that are remembered before those without an effect are dropped.
const maxParties = 1024
