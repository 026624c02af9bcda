package cassialog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines is how many lines wait for a slow reader of the log.
	maxQueuedLines = 1024
	// maxLinesPerSecond is how many lines a second are written on average, and maxBurstLines how many at once.
	maxLinesPerSecond = 200
	maxBurstLines     = 400
)

// Bounded is a writer of lines that never blocks: it drops what is over its rate and tells how much it dropped.
type Bounded struct {
	out     io.Writer
	limiter *rate.Limiter
	lines   chan []byte
	dropped atomic.Int64
	group   errgroup.Group
}

// NewBounded returns a writer that passes lines on to out.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{out: out, limiter: rate.NewLimiter(maxLinesPerSecond, maxBurstLines), lines: make(chan []byte, maxQueuedLines)}
	b.group.Go(b.run)
	return b
}

// Write takes a line.
func (b *Bounded) Write(line []byte) (int, error) {
	if !b.limiter.AllowN(time.Now(), 1) {
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits; no Write may follow.
func (b *Bounded) Close() error {
	close(b.lines)
	return b.group.Wait()
}

func (b *Bounded) run() error {
	for line := range b.lines {
		if n := b.dropped.Swap(0); n > 0 {
			fmt.Fprintf(b.out, "event=linesDropped count=%d\n", n) //nolint:errcheck // a log that can't be written is lost
		}
		if _, err := b.out.Write(line); err != nil {
			b.dropped.Add(1)
		}
	}
	return nil
}
