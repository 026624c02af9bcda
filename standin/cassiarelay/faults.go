package cassiarelay

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// minRetransmissionTimeout is added to the delay of a lost part of a TCP stream, in place of a retransmission. It is
// the minimum retransmission timeout of Linux.
const minRetransmissionTimeout = 200 * time.Millisecond

// reorderDelay is added to the delay of a reordered datagram, so that later datagrams can overtake it.
const reorderDelay = 3 * time.Millisecond

// Faults are the faults of a link, applied in each direction; the zero value is a link without faults.
type Faults struct {
	// DelayMs is the one-way delay in milliseconds.
	DelayMs float64 `json:"delayMs"`
	// JitterMs is the maximum of the random, uniformly distributed time in milliseconds that is added to the delay.
	JitterMs float64 `json:"jitterMs"`
	// Loss, Reorder and Duplicate are the probabilities, from 0 to 1, that a datagram is lost, reordered or duplicated.
	// On TCP, Reorder and Duplicate have no effect and Loss delays the data by the time of a retransmission.
	Loss      float64 `json:"loss"`
	Reorder   float64 `json:"reorder"`
	Duplicate float64 `json:"duplicate"`
	// Cut drops all datagrams, resets all connections and refuses new ones.
	Cut bool `json:"cut"`
	// HalfOpen discards the data of both directions and leaves connections open.
	HalfOpen bool `json:"halfOpen"`
	// SwallowReplies discards only the data from upstream and leaves connections open.
	SwallowReplies bool `json:"swallowReplies"`
}

func (f Faults) validate() error {
	for _, probability := range []float64{f.Loss, f.Reorder, f.Duplicate} {
		if probability < 0 || probability > 1 {
			return eris.New("loss, reorder and duplicate must be from 0 to 1")
		}
	}
	if f.DelayMs < 0 || f.JitterMs < 0 {
		return eris.New("delayMs and jitterMs must not be negative")
	}
	return nil
}

// discards reports whether the faults discard all data in a direction.
func (f Faults) discards(reply bool) bool { return f.Cut || f.HalfOpen || reply && f.SwallowReplies }

// Counters count the traffic through a relay since its creation.
type Counters struct {
	Connections int `json:"connections"`
	Refused     int `json:"refused"`
	// Parts counts the datagrams and the parts of streams that the relay received, before faults apply.
	Parts      int   `json:"parts"`
	Bytes      int64 `json:"bytes"`
	Dropped    int   `json:"dropped"`
	Duplicated int   `json:"duplicated"`
	Reordered  int   `json:"reordered"`
}

// linkState holds the faults and counters of a relay or of a PacketConn; it is safe for concurrent use.
type linkState struct {
	mu       sync.Mutex
	random   *rand.Rand
	faults   Faults
	byPrefix []prefixFaults
	counters Counters
	// onChange is called after each change of the faults.
	onChange func()
}

type prefixFaults struct {
	prefix netip.Prefix
	faults Faults
}

// faultsFor returns the faults of the first prefix that contains the sender, else the default faults.
func (s *linkState) faultsFor(sender netip.Addr) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.byPrefix {
		if f.prefix.Contains(sender) {
			return f.faults
		}
	}
	return s.faults
}

func (s *linkState) setDefault(faults Faults) {
	s.mu.Lock()
	s.faults = faults
	s.mu.Unlock()
	s.onChange()
}

func (s *linkState) setForPrefix(prefix netip.Prefix, faults Faults) {
	s.mu.Lock()
	replaced := false
	for i := range s.byPrefix {
		if s.byPrefix[i].prefix == prefix {
			s.byPrefix[i].faults, replaced = faults, true
		}
	}
	if !replaced {
		s.byPrefix = append(s.byPrefix, prefixFaults{prefix, faults})
	}
	s.mu.Unlock()
	s.onChange()
}

func (s *linkState) updateCounters(change func(*Counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counters)
}

// deliveryDelays returns the delay of each copy of a datagram or part of a stream that is to be delivered: none if it
// is lost, two if it is duplicated.
func (s *linkState) deliveryDelays(sender netip.Addr, size int, reply, stream bool) []time.Duration {
	return s.drawDelays(s.faultsFor(sender), size, reply, stream)
}

// drawDelays draws the delivery delays at random, as deliveryDelays does, with the given faults.
func (s *linkState) drawDelays(f Faults, size int, reply, stream bool) []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Parts++
	s.counters.Bytes += int64(size)
	if f.discards(reply) {
		s.counters.Dropped++
		return nil
	}
	delay := time.Duration((f.DelayMs + f.JitterMs*s.random.Float64()) * float64(time.Millisecond))
	lost := s.draw(f.Loss)
	switch {
	case lost && stream:
		return []time.Duration{delay + minRetransmissionTimeout}
	case stream:
		return []time.Duration{delay}
	case lost:
		s.counters.Dropped++
		return nil
	}
	if s.draw(f.Reorder) {
		s.counters.Reordered++
		delay += reorderDelay
	}
	if s.draw(f.Duplicate) {
		s.counters.Duplicated++
		return []time.Duration{delay, delay}
	}
	return []time.Duration{delay}
}

// draw returns true with the given probability; the caller holds s.mu.
func (s *linkState) draw(probability float64) bool {
	return probability > 0 && s.random.Float64() < probability
}
