package cassiabench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"cassiasaddle/standin/cassiarelay"
)

// minRetransmissionTimeout is the delay that a lost packet adds to a TCP exchange: the minimum retransmission timeout
// of Linux.
const minRetransmissionTimeout = 200 * time.Millisecond

// linkProperties describes the links of a deployment: one-way delays, and the jitter and packet loss between
// availability zones.
type linkProperties struct {
	// BetweenZones is the one-way delay between availability zones.
	BetweenZones time.Duration
	// ToClients is the one-way delay between callers and VMs.
	ToClients time.Duration
	// Jitter is the largest random delay added between availability zones.
	Jitter time.Duration
	// Loss is the fraction of packets lost between availability zones.
	Loss float64
}

// links simulates the links of a deployment during a run, including zones that are cut off.
type links struct {
	linkProperties

	mu     sync.Mutex
	random *rand.Rand
	cut    map[string]bool
}

func newLinks(d linkProperties, seed uint64) *links {
	return &links{linkProperties: d, random: rand.New(rand.NewPCG(seed, 4)), cut: map[string]bool{}}
}

// setCut cuts an availability zone off from the others, or reconnects it.
func (l *links) setCut(zone string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[zone] = cut
}

// faults returns the faults of datagrams from one availability zone to another: none within a zone.
func (l *links) faults(from, to string) cassiarelay.Faults {
	if from == to {
		return cassiarelay.Faults{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return cassiarelay.Faults{
		DelayMs:  float64(l.BetweenZones) / float64(time.Millisecond),
		JitterMs: float64(l.Jitter) / float64(time.Millisecond),
		Loss:     l.Loss,
		Cut:      l.cut[from] || l.cut[to],
	}
}

// waitOneWay waits for the one-way delay of a TCP exchange between availability zones. If either zone is cut off, it
// waits until the context ends.
func (l *links) waitOneWay(ctx context.Context, from, to string) {
	f := l.faults(from, to)
	if f == (cassiarelay.Faults{}) {
		return
	}
	if f.Cut {
		<-ctx.Done()
		return
	}
	l.mu.Lock()
	delay := l.BetweenZones + time.Duration(l.random.Float64()*float64(l.Jitter))
	if l.random.Float64() < l.Loss {
		delay += minRetransmissionTimeout
	}
	l.mu.Unlock()
	wait(ctx, delay)
}

// waitToClient waits for the one-way delay between a caller and the VMs.
func (l *links) waitToClient(ctx context.Context) { wait(ctx, l.ToClients) }

// wait returns after d or when the context ends, whichever is first.
func wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
