package cassiarecent

import "time"

// generationLimit bounds the keys of one generation; a full generation makes way early.
const generationLimit = 1 << 16

// Set remembers keys for at least one period and at most two, unless more than generationLimit come in one; the period
// passed in has to be the same on every call.
type Set[K comparable] struct {
	young, old map[K]struct{}
	turnAt     time.Time
}

// Add remembers a key.
func (s *Set[K]) Add(now time.Time, period time.Duration, key K) {
	s.turn(now, period)
	if len(s.young) >= generationLimit {
		s.old, s.young = s.young, nil
	}
	if s.young == nil {
		s.young = make(map[K]struct{})
	}
	s.young[key] = struct{}{}
}

// Has tells whether a key is remembered.
func (s *Set[K]) Has(now time.Time, period time.Duration, key K) bool {
	s.turn(now, period)
	if _, ok := s.young[key]; ok {
		return true
	}
	_, ok := s.old[key]
	return ok
}

func (s *Set[K]) turn(now time.Time, period time.Duration) {
	if now.Before(s.turnAt) {
		return
	}
	if now.Sub(s.turnAt) >= period {
		s.young = nil
	}
	s.old, s.young = s.young, nil
	s.turnAt = now.Add(period)
}
