package cassiadelay

import "time"

// window is the period over which each minimum is taken. Older minimums are dropped, so that clock drift does not count as
// lateness.
const window = 30 * time.Second

// Lateness estimates how late the messages of one sender are: the lateness of a message is its delay minus the delay of
// the fastest recent message. The constant part, the difference of the two clocks and the minimum delay, cancels out.
// The zero value is ready to use.
type Lateness struct {
	windowStart       time.Time
	current, previous windowMinimum
}

// windowMinimum is the smallest offset between the receiving and the sending time in one window.
type windowMinimum struct {
	observed bool
	offset   time.Duration
}

func (m *windowMinimum) add(offset time.Duration) {
	if !m.observed || offset < m.offset {
		*m = windowMinimum{observed: true, offset: offset}
	}
}

// Observe records a message, with the sending time by the sender's clock, and returns how late it is.
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
