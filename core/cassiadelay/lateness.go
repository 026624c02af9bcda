package cassiadelay

import "time"

// window is how long the fastest message is remembered, so that drifting clocks do not count as lateness.
const window = 30 * time.Second

// Lateness compares the messages of one sender: each is as late as it took longer than the fastest one of late. The
// constant part, the difference of the two clocks and the least delay, cancels out.
type Lateness struct {
	turned            time.Time
	current, previous fastest
}

// fastest is the least difference between receiving and sending in one window.
type fastest struct {
	known      bool
	difference time.Duration
}

func (f *fastest) add(difference time.Duration) {
	if !f.known || difference < f.difference {
		*f = fastest{known: true, difference: difference}
	}
}

// Observe takes a message that was sent at a time by the sender's clock and returns how late it is.
func (l *Lateness) Observe(received, sent time.Time) time.Duration {
	if received.Sub(l.turned) >= window {
		l.previous, l.current = l.current, fastest{}
		l.turned = received
	}
	difference := received.Round(0).Sub(sent.Round(0))
	l.current.add(difference)
	least := l.current.difference
	if l.previous.known {
		least = min(least, l.previous.difference)
	}
	return difference - least
}
