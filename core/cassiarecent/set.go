package cassiarecent

import "time"

// maxPeriodKeys limits the keys of one period. At the limit, the keys of the period before are dropped early.
const maxPeriodKeys = 1 << 16

// Set remembers keys for at least one period and at most two, unless more than maxPeriodKeys are added in one period. The
// period must be the same in every call. The zero value is ready to use.
type Set[K comparable] struct {
	current, previous map[K]struct{}
	rotateAt          time.Time
}

// Add adds a key to the set.
func (s *Set[K]) Add(now time.Time, period time.Duration, key K) {
	s.rotate(now, period)
	if len(s.current) >= maxPeriodKeys {
		s.previous, s.current = s.current, nil
	}
	if s.current == nil {
		s.current = make(map[K]struct{})
	}
	s.current[key] = struct{}{}
}

// Has reports whether a key is remembered.
func (s *Set[K]) Has(now time.Time, period time.Duration, key K) bool {
	s.rotate(now, period)
	if _, ok := s.current[key]; ok {
		return true
	}
	_, ok := s.previous[key]
	return ok
}

func (s *Set[K]) rotate(now time.Time, period time.Duration) {
	if now.Before(s.rotateAt) {
		return
	}
	if now.Sub(s.rotateAt) >= period {
		s.current = nil
	}
	s.previous, s.current = s.current, nil
	s.rotateAt = now.Add(period)
}
