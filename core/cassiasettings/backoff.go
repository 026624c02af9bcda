package cassiasettings

import (
	"math/rand/v2"
	"time"
)

// backoff is an exponential backoff with jitter: the longest pause is base after the first failure and doubles with
// each further one up to limit. The actual pause is random between half of the longest pause and all of it.
type backoff struct {
	base, limit time.Duration
	failures    int
	until       time.Time
}

// fail records a failure and returns the pause before the next try.
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

// reset clears the failure count, so that the next try may start at once.
func (b *backoff) reset() { b.failures, b.until = 0, time.Time{} }

// ready reports whether the pause after the last failure has passed.
func (b *backoff) ready(now time.Time) bool { return !now.Before(b.until) }
