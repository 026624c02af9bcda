package cassialatency

import (
	"math"
	"time"
)

const (
	bucketCount = 64
	// bucketsPerDoubling sets the resolution of the logarithmic buckets: 64 of them, from 100 us, cover up to 6.5 s.
	bucketsPerDoubling = 4
	minLatency         = 100 * time.Microsecond
)

// Latency estimates quantiles of recent durations in constant space; older samples lose weight as new ones arrive. The zero
// value is ready to use.
type Latency struct {
	counts [bucketCount]uint16
	total  int
	// Window is the number of samples at which all counts are halved; 128 when zero.
	Window int
}

const defaultWindow = 128

// Observe adds one sample.
func (l *Latency) Observe(d time.Duration) {
	window := l.Window
	if window == 0 {
		window = defaultWindow
	}
	if l.total >= window {
		l.halve()
	}
	l.counts[bucketIndex(d)]++
	l.total++
}

// Samples returns the number of samples that the estimate is based on.
func (l *Latency) Samples() int { return l.total }

// Quantile returns the duration that the given share of the samples, from 0 to 1, does not exceed, or zero without samples.
func (l *Latency) Quantile(share float64) time.Duration {
	if l.total == 0 {
		return 0
	}
	rank := share * float64(l.total)
	below := 0.0
	for i, c := range l.counts {
		if c == 0 {
			continue
		}
		if below+float64(c) >= rank {
			return durationAt(float64(i) + (rank-below)/float64(c))
		}
		below += float64(c)
	}
	return durationAt(bucketCount)
}

func (l *Latency) halve() {
	l.total = 0
	for i := range l.counts {
		l.counts[i] /= 2
		l.total += int(l.counts[i])
	}
}

func bucketIndex(d time.Duration) int {
	if d <= minLatency {
		return 0
	}
	at := int(bucketsPerDoubling * math.Log2(float64(d)/float64(minLatency)))
	return min(at, bucketCount-1)
}

func durationAt(position float64) time.Duration {
	return time.Duration(float64(minLatency) * math.Exp2(position/bucketsPerDoubling))
}
