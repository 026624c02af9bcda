package cassiarecent

import "time"

// maxPeriodKeys bounds the keys of one generation; a full generation makes way early.
const maxPeriodKeys = 1 << 16

// Set remembers keys for at least one period and at most two, unless more than generationLimit come in one; the period
// passed in has to be the same on every call.
type Set[K comparable] struct {
	current, previous map[K]struct{}
	rotateAt          time.Time
}

// Add remembers a key.
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

// Has tells whether a key is remembered.
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
