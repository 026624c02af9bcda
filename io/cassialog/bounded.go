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
	// maxQueuedLines is the number of lines that are queued while the output is slow.
	maxQueuedLines = 1024
	// maxLinesPerSecond is the mean rate at which lines are accepted, and maxBurstLines the number accepted at once.
	maxLinesPerSecond = 200
	maxBurstLines     = 400
)

// Bounded is a writer of log lines that never blocks. It drops lines over its rate limit or while its queue is full, and
// writes the number of dropped lines before the next line.
type Bounded struct {
	out     io.Writer
	limiter *rate.Limiter
	lines   chan []byte
	dropped atomic.Int64
	group   errgroup.Group
}

// NewBounded returns a writer that copies lines to out on a goroutine of its own; Close ends it.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{out: out, limiter: rate.NewLimiter(maxLinesPerSecond, maxBurstLines), lines: make(chan []byte, maxQueuedLines)}
	b.group.Go(b.run)
	return b
}

// Write queues or drops a line. It always reports success.
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

// Close writes the queued lines. Write must not be called afterwards.
func (b *Bounded) Close() error {
	close(b.lines)
	return b.group.Wait()
}

func (b *Bounded) run() error {
	for line := range b.lines {
		if n := b.dropped.Swap(0); n > 0 {
			fmt.Fprintf(b.out, "event=linesDropped count=%d\n", n) //nolint:errcheck // there is nowhere else to report it
		}
		if _, err := b.out.Write(line); err != nil {
			b.dropped.Add(1)
		}
	}
	return nil
}
