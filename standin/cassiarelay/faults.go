package cassiarelay

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// retransmitDelay is the extra delay of a lost part of a TCP stream.
const retransmitDelay = 200 * time.Millisecond

// reorderDelay is the extra delay of a datagram that others overtake.
const reorderDelay = 3 * time.Millisecond

// Faults are what a relay does to the link in each direction; the zero value does nothing.
type Faults struct {
	// DelayMs is the one-way delay.
	DelayMs float64 `json:"delayMs"`
	// JitterMs is the largest random addition to the delay.
	JitterMs float64 `json:"jitterMs"`
	// Loss, Reorder and Duplicate are shares of datagrams from 0 to 1; loss on TCP costs a retransmission's time.
	Loss      float64 `json:"loss"`
	Reorder   float64 `json:"reorder"`
	Duplicate float64 `json:"duplicate"`
	// Cut drops all datagrams, resets all connections and refuses new ones.
	Cut bool `json:"cut"`
	// HalfOpen swallows what both sides send and leaves connections open.
	HalfOpen bool `json:"halfOpen"`
	// SwallowReplies swallows only what comes back from upstream.
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

// discards tells whether the faults drop everything in a direction.
func (f Faults) discards(reply bool) bool { return f.Cut || f.HalfOpen || reply && f.SwallowReplies }

// Counters count what a relay did.
type Counters struct {
	Connections int `json:"connections"`
	Refused     int `json:"refused"`
	// Parts counts datagrams and parts of streams that arrived.
	Parts      int   `json:"parts"`
	Bytes      int64 `json:"bytes"`
	Dropped    int   `json:"dropped"`
	Duplicated int   `json:"duplicated"`
	Reordered  int   `json:"reordered"`
}

// policy holds a relay's faults, which may change while it runs.
type policy struct {
	mu       sync.Mutex
	random   *rand.Rand
	faults   Faults
	byPrefix []prefixFaults
	counters Counters
	// onChange is called after each change.
	onChange func()
}

type prefixFaults struct {
	prefix netip.Prefix
	faults Faults
}

// faultsFor returns the faults for a sender; the first matching prefix counts.
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

// deliveryDelays is what happens to one datagram or part of a stream: a delay for each copy that goes on.
func (p *policy) deliveryDelays(sender netip.Addr, size int, reply, stream bool) []time.Duration {
	return p.drawDelays(p.faultsFor(sender), size, reply, stream)
}

// drawDelays draws the fate under some faults.
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

// draw draws with a chance; the caller holds the lock.
func (p *policy) draw(probability float64) bool {
	return probability > 0 && p.random.Float64() < probability
}
