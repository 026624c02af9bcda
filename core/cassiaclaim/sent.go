package cassiaclaim

import "time"

// sentLimit bounds the keys of one generation; a full generation makes way early.
const sentLimit = 1 << 16

// Sent remembers the keys of requests that left a VM, for at least MaxRetention unless more than sentLimit come.
type Sent struct {
	young, old map[string]struct{}
	turnAt     time.Time
}

// Add remembers a key.
func (s *Sent) Add(now time.Time, key Key) {
	s.turn(now)
	if len(s.young) >= sentLimit {
		s.old, s.young = s.young, nil
	}
	if s.young == nil {
		s.young = make(map[string]struct{})
	}
	s.young[key.Scoped] = struct{}{}
}

// Has tells whether a key is remembered.
func (s *Sent) Has(now time.Time, scoped string) bool {
	s.turn(now)
	if _, ok := s.young[scoped]; ok {
		return true
	}
	_, ok := s.old[scoped]
	return ok
}

func (s *Sent) turn(now time.Time) {
	if now.Before(s.turnAt) {
		return
	}
	if now.Sub(s.turnAt) >= MaxRetention {
		s.young = nil
	}
	s.old, s.young = s.young, nil
	s.turnAt = now.Add(MaxRetention)
}
