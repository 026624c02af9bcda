package cassiaquarantine

import "time"

// recentLimit bounds the keys of one generation; a full generation makes way early.
const recentLimit = 1 << 16

// recent remembers keys for at least one period and at most two, unless more than recentLimit come in one.
type recent[K comparable] struct {
	young, old map[K]struct{}
	turnAt     time.Time
}

func (r *recent[K]) add(now time.Time, period time.Duration, key K) {
	r.turn(now, period)
	if len(r.young) >= recentLimit {
		r.old, r.young = r.young, nil
	}
	if r.young == nil {
		r.young = make(map[K]struct{})
	}
	r.young[key] = struct{}{}
}

func (r *recent[K]) has(now time.Time, period time.Duration, key K) bool {
	r.turn(now, period)
	if _, ok := r.young[key]; ok {
		return true
	}
	_, ok := r.old[key]
	return ok
}

func (r *recent[K]) turn(now time.Time, period time.Duration) {
	if now.Before(r.turnAt) {
		return
	}
	if now.Sub(r.turnAt) >= period {
		r.young = nil
	}
	r.old, r.young = r.young, nil
	r.turnAt = now.Add(period)
}
