package cassialog

import (
	"fmt"
	"io"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines is the number of lines that are queued while the output is slow. Only important ones use the last part of it,
	// from maxQueuedOrdinary on.
	maxQueuedLines    = 1024
	maxQueuedOrdinary = 768
	// maxLinesPerSecond is the mean rate at which lines are accepted, and maxBurstLines the number accepted at once, of important
	// lines and of others.
	maxLinesPerSecond = 200
	maxBurstLines     = 400
	// flushTimeout bounds how long Close waits for an output that nobody reads.
	flushTimeout = 200 * time.Millisecond
)

// Bounded is a writer of log lines that never blocks. It drops lines over its rate limit or while its queue is full, and
// writes the number of dropped lines before the next line.
type Bounded struct {
	out                 io.Writer
	ordinary, important *rate.Limiter
	lines               chan []byte
	dropped             atomic.Int64
	group               errgroup.Group
}

// IgnoreLostReader has writes to a standard stream whose reader has gone fail, instead of ending the process.
func IgnoreLostReader() { signal.Ignore(syscall.SIGPIPE) }

// NewBounded returns a writer that copies lines to out on a goroutine of its own; Close ends it.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{out: out, ordinary: rate.NewLimiter(maxLinesPerSecond, maxBurstLines),
		important: rate.NewLimiter(maxLinesPerSecond, maxBurstLines), lines: make(chan []byte, maxQueuedLines)}
	b.group.Go(b.run)
	return b
}

// Write queues or drops a line. It always reports success.
func (b *Bounded) Write(line []byte) (int, error) {
	b.queue(line, b.ordinary, maxQueuedOrdinary)
	return len(line), nil
}

// Important returns a writer for lines that ordinary ones do not displace.
func (b *Bounded) Important() io.Writer { return importantLines{b} }

type importantLines struct{ *Bounded }

func (l importantLines) Write(line []byte) (int, error) {
	l.queue(line, l.important, maxQueuedLines)
	return len(line), nil
}

func (b *Bounded) queue(line []byte, limiter *rate.Limiter, most int) {
	if len(b.lines) >= most || !limiter.AllowN(time.Now(), 1) {
		b.dropped.Add(1)
		return
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
}

// Close writes the queued lines, unless the output does not take them within flushTimeout. Lines must not be written afterwards.
func (b *Bounded) Close() error {
	close(b.lines)
	written := make(chan error, 1)
	var waiter errgroup.Group
	waiter.Go(func() error {
		written <- b.group.Wait()
		return nil
	})
	timer := time.NewTimer(flushTimeout)
	defer timer.Stop()
	select {
	case err := <-written:
		return err
	case <-timer.C:
		return nil
	}
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
