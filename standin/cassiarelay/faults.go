package cassiarelay

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// retransmitDelay is added to the delay of a lost part of a TCP stream, in place of a retransmission.
const retransmitDelay = 200 * time.Millisecond

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

// policy holds the faults and counters of a relay; it is safe for concurrent use.
type policy struct {
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
func (p *policy) faultsFor(sender netip.Addr) Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.byPrefix {
		if f.prefix.Contains(sender) {
			return f.faults
		}
	}
	return p.faults
}

func (p *policy) setDefault(faults Faults) {
	p.mu.Lock()
	p.faults = faults
	p.mu.Unlock()
	p.onChange()
}

func (p *policy) setForPrefix(prefix netip.Prefix, faults Faults) {
	p.mu.Lock()
	replaced := false
	for i := range p.byPrefix {
		if p.byPrefix[i].prefix == prefix {
			p.byPrefix[i].faults, replaced = faults, true
		}
	}
	if !replaced {
		p.byPrefix = append(p.byPrefix, prefixFaults{prefix, faults})
	}
	p.mu.Unlock()
	p.onChange()
}

func (p *policy) updateCounters(change func(*Counters)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.counters)
}

// deliveryDelays returns the delay of each copy of a datagram or part of a stream that is to be delivered: none if it
// is lost, two if it is duplicated.
func (p *policy) deliveryDelays(sender netip.Addr, size int, reply, stream bool) []time.Duration {
	return p.drawDelays(p.faultsFor(sender), size, reply, stream)
}

// drawDelays draws the delivery delays at random, as deliveryDelays does, with the given faults.
func (p *policy) drawDelays(f Faults, size int, reply, stream bool) []time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters.Parts++
	p.counters.Bytes += int64(size)
	if f.discards(reply) {
		p.counters.Dropped++
		return nil
	}
	delay := time.Duration((f.DelayMs + f.JitterMs*p.random.Float64()) * float64(time.Millisecond))
	lost := p.draw(f.Loss)
	switch {
	case lost && stream:
		return []time.Duration{delay + retransmitDelay}
	case stream:
		return []time.Duration{delay}
	case lost:
		p.counters.Dropped++
		return nil
	}
	if p.draw(f.Reorder) {
		p.counters.Reordered++
		delay += reorderDelay
	}
	if p.draw(f.Duplicate) {
		p.counters.Duplicated++
		return []time.Duration{delay, delay}
	}
	return []time.Duration{delay}
}

// draw returns true with the given probability; the caller holds p.mu.
func (p *policy) draw(probability float64) bool {
	return probability > 0 && p.random.Float64() < probability
}
