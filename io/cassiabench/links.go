package cassiabench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"cassiasaddle/standin/cassiarelay"
)

// minRetransmissionTimeout is what the loss of a packet costs a TCP connection, the least retransmission timeout of Linux.
const minRetransmissionTimeout = 200 * time.Millisecond

// delays are the links of a deployment: one-way delays and what goes wrong between availability zones.
type delays struct {
	BetweenZones time.Duration
	ToClients    time.Duration
	// Jitter is the largest random addition between availability zones.
	Jitter time.Duration
	// Loss is the share of packets lost between availability zones.
	Loss float64
}

// links are a deployment's links while a run plays faults on them.
type links struct {
	delays

	mu     sync.Mutex
	random *rand.Rand
	cut    map[string]bool
}

func newLinks(d delays, seed uint64) *links {
	return &links{delays: d, random: rand.New(rand.NewPCG(seed, 4)), cut: map[string]bool{}}
}

// setCut cuts an availability zone off from the others, or heals it.
func (l *links) setCut(zone string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[zone] = cut
}

// faults returns what happens to datagrams from one availability zone to another.
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

// waitOneWay waits for one way of a TCP exchange between availability zones; it ends with the context when they are cut.
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

// waitToClient waits for one way between a caller and the system.
func (l *links) waitToClient(ctx context.Context) { wait(ctx, l.ToClients) }

// wait returns after a time or when the context ends.
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
