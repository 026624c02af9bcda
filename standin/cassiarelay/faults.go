package cassiarelay

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// retransmitTime is the extra delay of a lost part of a TCP stream.
const retransmitTime = 200 * time.Millisecond

// reorderTime is the extra delay of a datagram that others overtake.
const reorderTime = 3 * time.Millisecond

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

func (f Faults) check() error {
	for _, share := range []float64{f.Loss, f.Reorder, f.Duplicate} {
		if share < 0 || share > 1 {
			return eris.New("loss, reorder and duplicate must be from 0 to 1")
		}
	}
	if f.DelayMs < 0 || f.JitterMs < 0 {
		return eris.New("delayMs and jitterMs must not be negative")
	}
	return nil
}

// swallows tells whether the faults drop everything in a direction.
func (f Faults) swallows(reply bool) bool { return f.Cut || f.HalfOpen || reply && f.SwallowReplies }

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
	from     []prefixFaults
	counters Counters
	// changed is called after each change.
	changed func()
}

type prefixFaults struct {
	prefix netip.Prefix
	faults Faults
}

// of returns the faults for a sender; the first matching prefix counts.
func (p *policy) of(sender netip.Addr) Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.from {
		if f.prefix.Contains(sender) {
			return f.faults
		}
	}
	return p.faults
}

func (p *policy) set(faults Faults) {
	p.mu.Lock()
	p.faults = faults
	p.mu.Unlock()
	p.changed()
}

func (p *policy) setFrom(prefix netip.Prefix, faults Faults) {
	p.mu.Lock()
	replaced := false
	for i := range p.from {
		if p.from[i].prefix == prefix {
			p.from[i].faults, replaced = faults, true
		}
	}
	if !replaced {
		p.from = append(p.from, prefixFaults{prefix, faults})
	}
	p.mu.Unlock()
	p.changed()
}

func (p *policy) count(change func(*Counters)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.counters)
}

// fate is what happens to one datagram or part of a stream: a delay for each copy that goes on.
func (p *policy) fate(sender netip.Addr, size int, reply, stream bool) []time.Duration {
	return p.fateUnder(p.of(sender), size, reply, stream)
}

// fateUnder draws the fate under some faults.
func (p *policy) fateUnder(f Faults, size int, reply, stream bool) []time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters.Parts++
	p.counters.Bytes += int64(size)
	if f.swallows(reply) {
		p.counters.Dropped++
		return nil
	}
	delay := time.Duration((f.DelayMs + f.JitterMs*p.random.Float64()) * float64(time.Millisecond))
	lost := p.hit(f.Loss)
	switch {
	case lost && stream:
		return []time.Duration{delay + retransmitTime}
	case stream:
		return []time.Duration{delay}
	case lost:
		p.counters.Dropped++
		return nil
	}
	if p.hit(f.Reorder) {
		p.counters.Reordered++
		delay += reorderTime
	}
	if p.hit(f.Duplicate) {
		p.counters.Duplicated++
		return []time.Duration{delay, delay}
	}
	return []time.Duration{delay}
}

// hit draws with a chance; the caller holds the lock.
func (p *policy) hit(share float64) bool { return share > 0 && p.random.Float64() < share }
