package cassiafair

import (
	"math"
	"time"
)

const (
	// recentHalfLife and usualHalfLife are the times after which a request counts half in what a party has sent recently and usually.
	recentHalfLife = time.Second
	usualHalfLife  = 20 * time.Second
	// learnTime is how long a party has to be known before it is judged.
	learnTime = 5 * time.Second
	// minRecent is the number of recent requests below which a party is not judged, since a few may come together by chance.
	minRecent = 4
)

// Surges tells by how much parties send more than they usually do. The zero value is ready for use. It is not safe for concurrent use.
type Surges[K comparable] struct{ parties map[K]*history }

// history holds decayed counts of the requests of a party.
type history struct {
	recent, usual float64
	at, since     time.Time
}

// decay brings the counts up to a time.
func (h *history) decay(now time.Time) {
	elapsed := now.Sub(h.at).Seconds()
	h.recent *= math.Exp2(-elapsed / recentHalfLife.Seconds())
	h.usual *= math.Exp2(-elapsed / usualHalfLife.Seconds())
	h.at = now
}

// Observe counts a request of a party.
func (s *Surges[K]) Observe(now time.Time, party K) {
	h := s.parties[party]
	if h == nil {
		if s.parties == nil || len(s.parties) >= maxParties {
			s.parties = make(map[K]*history)
		}
		h = &history{at: now, since: now}
		s.parties[party] = h
	}
	h.decay(now)
	h.recent++
	h.usual++
}

// Factor returns the rate at which a party has sent recently, in proportion to its usual rate; at least 1, and 1 for one that sends little
// or is not known for long.
func (s *Surges[K]) Factor(now time.Time, party K) float64 {
	h := s.parties[party]
	if h == nil || now.Sub(h.since) < learnTime {
		return 1
	}
	h.decay(now)
	if h.recent < minRecent {
		return 1
	}
	// The count of a party that is known for less than several half-lives has not reached its level yet.
	level := 1 - math.Exp2(-now.Sub(h.since).Seconds()/usualHalfLife.Seconds())
	// Recent requests are no part of the usual ones, or a surge would hide itself.
	recent, usual := h.recent/recentHalfLife.Seconds(), (h.usual-h.recent)/level/(usualHalfLife-recentHalfLife).Seconds()
	return max(1, recent/usual)
}
