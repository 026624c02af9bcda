package cassiaintake

import "time"

// Rate is a transfer rate in bytes per second.
type Rate int64

// MinRate is the rate below which a transfer falls behind. It only matters while memory or connections are short; with 64 KiB/s, a body
// that holds much of the memory frees it within seconds.
const MinRate Rate = 64 << 10

// progress is the time up to which a transfer has kept up with MinRate. What is sent faster is not credited for later, so that the time
// since then is how long a sender has sent too little.
type progress time.Time

// received returns the progress after a number of bytes has arrived.
func (p progress) received(now time.Time, bytes int) progress {
	ahead := time.Time(p).Add(time.Duration(bytes) * time.Second / time.Duration(MinRate))
	if ahead.After(now) {
		return progress(now)
	}
	return progress(ahead)
}

func (p progress) before(other progress) bool { return time.Time(p).Before(time.Time(other)) }

// lag returns how long the transfer has been behind.
func (p progress) lag(now time.Time) time.Duration { return now.Sub(time.Time(p)) }
