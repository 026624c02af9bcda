package cassiasettings

import (
	"math/rand/v2"
	"time"
)

// backoff spaces repeated tries: the pause doubles up to a cap and is drawn from its upper half.
type backoff struct {
	base, limit time.Duration
	failures    int
	until       time.Time
}

// fail records a failed try and returns the pause before the next one.
func (b *backoff) fail(now time.Time, random *rand.Rand) time.Duration {
	pause := b.limit
	if b.failures < 30 && b.base<<b.failures < b.limit {
		pause = b.base << b.failures
	}
	b.failures++
	pause = pause/2 + time.Duration(random.Int64N(int64(pause/2)+1))
	b.until = now.Add(pause)
	return pause
}

// reset forgets the failures.
func (b *backoff) reset() { b.failures, b.until = 0, time.Time{} }

// ready tells whether the next try may start.
func (b *backoff) ready(now time.Time) bool { return !now.Before(b.until) }
