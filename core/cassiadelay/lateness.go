package cassiadelay

import "time"

// window is how long the fastest message is remembered, so that drifting clocks do not count as lateness.
const window = 30 * time.Second

// Lateness compares the messages of one sender: each is as late as it took longer than the fastest one of late. The
// constant part, the difference of the two clocks and the least delay, cancels out.
type Lateness struct {
	windowStart       time.Time
	current, previous windowMinimum
}

// windowMinimum is the least difference between receiving and sending in one window.
type windowMinimum struct {
	observed bool
	offset   time.Duration
}

func (m *windowMinimum) add(offset time.Duration) {
	if !m.observed || offset < m.offset {
		*m = windowMinimum{observed: true, offset: offset}
	}
}

// Observe takes a message that was sent at a time by the sender's clock and returns how late it is.
func (l *Lateness) Observe(received, sent time.Time) time.Duration {
	if received.Sub(l.windowStart) >= window {
		l.previous, l.current = l.current, windowMinimum{}
		l.windowStart = received
	}
	offset := received.Round(0).Sub(sent.Round(0))
	l.current.add(offset)
	minimum := l.current.offset
	if l.previous.observed {
		minimum = min(minimum, l.previous.offset)
	}
	return offset - minimum
}
